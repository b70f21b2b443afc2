//! The accounts of callers.

use serde::{Deserialize, Serialize};

use super::checks::require;
use crate::errors::Result;

/// The length of a SHA-256 digest in hexadecimal.
const DIGEST_HEX_LEN: usize = 64;

/// `AccountSpec` declares a caller's credentials and limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The SHA-256 digests of the bearer tokens that the account may present, in hexadecimal.
    pub token_sha256: Vec<String>,
    /// The maximum number of requests admitted per second over all instances.
    pub requests_per_s: u32,
    /// The maximum number of open requests over all instances.
    pub open_requests: u32,
}

impl AccountSpec {
    /// Checks the rules on the account's own fields.
    pub(super) fn check(&self) -> Result<()> {
        for (i, digest) in self.token_sha256.iter().enumerate() {
            let is_digest =
                digest.len() == DIGEST_HEX_LEN && digest.bytes().all(|b| b.is_ascii_hexdigit());
            require(is_digest, &format!("token_sha256[{i}]"), "64 hexadecimal digits")?;
        }
        require(self.requests_per_s > 0, "requests_per_s", "at least 1")?;
        require(self.open_requests > 0, "open_requests", "at least 1")
    }
}
