//! Accounts of callers.

use serde::{Deserialize, Serialize};

/// `AccountSpec` declares a caller's credentials and limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The SHA-256 digests of the bearer tokens that the account may present, in hexadecimal.
    pub token_sha256: Vec<String>,
    /// The most requests that may be admitted in a second over all instances.
    pub requests_per_s: u32,
    /// The most requests that may be open at once over all instances.
    pub open_requests: u32,
}
