//! The rows of claims.

use anvilhook_core::Verdict;
use anvilhook_core::attempts::AttemptId;
use anvilhook_core::names::InstanceName;
use anvilhook_core::units::WallTime;
use anvilhook_platform::{Error, Result, Row};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::keys::{BodyDigest, hex};

/// `Claim` is a claim as it is stored in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Claim {
    /// The attempt that may run the request.
    pub attempt: AttemptId,
    /// The digest of what was sent under the key.
    pub body: BodyDigest,
    /// The instance that made the claim.
    pub instance: InstanceName,
    /// When the claim was made, for display only.
    pub claimed_at: WallTime,
    /// The epoch in which the row was last written.
    pub epoch: u64,
    /// The state of the request.
    pub state: ClaimState,
}

/// `ClaimState` is the state of a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "is")]
pub enum ClaimState {
    /// It may be about to run, be running or have run.
    Claimed,
    /// It was not run and never will be; the key is free.
    Released,
    /// It has ended.
    Recorded {
        /// Its outcome.
        outcome: StoredOutcome,
    },
}

/// `StoredOutcome` is the outcome with which a caller's repeat is answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StoredOutcome {
    /// Whether the request ran.
    pub verdict: Verdict,
    /// The HTTP status that was sent to the caller.
    pub status: u16,
    /// The content type of the body, if there was one.
    pub content_type: Option<String>,
    /// The body that was sent to the caller.
    pub body: StoredBody,
}

/// `StoredBody` is a stored body, or the length of a body that was too large to store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "form")]
pub enum StoredBody {
    /// A body that is text.
    Text {
        /// The text.
        text: String,
    },
    /// A body that is not text.
    Binary {
        /// Its bytes, in hexadecimal digits.
        digits: String,
    },
    /// A body that is too large to store. The request ran, but its answer cannot be repeated.
    TooLarge {
        /// Its length, in bytes.
        len: usize,
    },
}

impl StoredBody {
    /// Returns the bytes, or `None` if they were not stored.
    ///
    /// ```
    /// use anvilhook_store::claims::StoredBody;
    ///
    /// let bytes = [0xff, 0x00, 0x7f].as_slice();
    /// assert_eq!(StoredBody::from(bytes).bytes().unwrap(), bytes);
    /// assert_eq!(StoredBody::TooLarge { len: 3 }.bytes(), None);
    /// ```
    pub fn bytes(&self) -> Option<Bytes> {
        match self {
            StoredBody::Text { text } => Some(Bytes::copy_from_slice(text.as_bytes())),
            StoredBody::Binary { digits } => unhex(digits),
            StoredBody::TooLarge { .. } => None,
        }
    }

    /// Returns the body's length, in bytes.
    pub fn len(&self) -> usize {
        match self {
            StoredBody::Text { text } => text.len(),
            StoredBody::Binary { digits } => digits.len() / 2,
            StoredBody::TooLarge { len } => *len,
        }
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl From<&[u8]> for StoredBody {
    fn from(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => StoredBody::Text { text: text.to_owned() },
            Err(_) => StoredBody::Binary { digits: hex(bytes) },
        }
    }
}

impl StoredOutcome {
    /// Drops a body of more than `max_bytes`.
    pub(super) fn bounded(mut self, max_bytes: usize) -> Self {
        let len = self.body.len();
        if len > max_bytes {
            self.body = StoredBody::TooLarge { len };
        }
        self
    }
}

impl Claim {
    pub(super) fn decode(row: &Row) -> Result<Self> {
        serde_json::from_str(&row.value)
            .map_err(|err| Error::BadAnswer { message: format!("row {}: {err}", row.key) })
    }

    pub(super) fn encode(&self) -> Result<String> {
        serde_json::to_string(self)
            .map_err(|err| Error::Unavailable { message: format!("cannot encode a claim: {err}") })
    }
}

/// Decodes hexadecimal digits, or returns `None` if the text is not valid hexadecimal.
fn unhex(digits: &str) -> Option<Bytes> {
    let pairs = digits.as_bytes().chunks(2);
    let bytes = pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok());
    bytes.collect::<Option<Vec<u8>>>().map(Bytes::from)
}
