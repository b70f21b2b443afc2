//! Keys of claims, and digests of the requests that were sent under them.

use std::fmt;
use std::sync::Arc;

use anvilhook_core::names::{AccountName, ServiceName};
use anvilhook_platform::RowKey;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The prefix of the rows of claims.
pub(super) const CLAIMS_PREFIX: &str = "claims/";

/// `ClaimKey` is a caller's idempotency key within an account and a service.
///
/// Only a digest of the caller's text is stored, so the text may be arbitrary and of any length.
///
/// ```
/// use anvilhook_core::names::{AccountName, ServiceName};
/// use anvilhook_store::claims::ClaimKey;
///
/// let account = AccountName::try_new("papadakis").unwrap();
/// let service = ServiceName::try_new("chef-alerts").unwrap();
/// let key = ClaimKey::new(&account, &service, "fridge 7, 06:40");
/// assert!(key.row_key().as_str().starts_with("claims/papadakis/chef-alerts/"));
/// ```
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimKey(RowKey);

impl ClaimKey {
    /// Creates a key from the caller's text.
    pub fn new(account: &AccountName, service: &ServiceName, text: &str) -> Self {
        let digest = hex(Sha256::digest(text));
        Self(RowKey::new(format!("{CLAIMS_PREFIX}{account}/{service}/{digest}")))
    }

    /// Returns the key of the claim's row.
    pub fn row_key(&self) -> &RowKey {
        &self.0
    }
}

/// `BodyDigest` is the digest of a request. It is equal for two requests with the same key only if the
/// requests are the same.
///
/// ```
/// use anvilhook_store::claims::BodyDigest;
///
/// let digest = BodyDigest::of(&[b"POST", b"/alerts", b"{}"]);
/// assert_ne!(digest, BodyDigest::of(&[b"POST", b"/alerts{}", b""]));
/// ```
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct BodyDigest(Arc<str>);

impl BodyDigest {
    /// Digests the parts that identify a request, such as method, path and body.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            // The length ensures that a byte moved from one part to the next changes the digest.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(Arc::from(hex(hasher.finalize())))
    }
}

impl From<[u8; 32]> for BodyDigest {
    /// Converts a SHA-256 digest that was computed elsewhere.
    fn from(digest: [u8; 32]) -> Self {
        Self(Arc::from(hex(digest)))
    }
}

impl fmt::Display for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Writes bytes as hexadecimal digits.
pub(super) fn hex(bytes: impl AsRef<[u8]>) -> String {
    bytes.as_ref().iter().map(|byte| format!("{byte:02x}")).collect()
}
