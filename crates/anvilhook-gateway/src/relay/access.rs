//! Whether a caller may be served: its API key against the configuration in force.

use anvilhook_core::api_keys::KeyDigest;
use anvilhook_core::units::Clock;
use http::StatusCode;
use http::header::{AUTHORIZATION, HeaderMap};

use super::Gateway;
use super::answers::{Outcome, OwnAnswer};
use super::requests::Exchange;
use crate::configs::Config;
use crate::wires::Wire;

/// The longest key, in bytes. A longer one is nobody's, and not worth its digest.
const MAX_KEY_BYTES: usize = 4_096;

/// The reason of answers to callers whose key is unknown, withdrawn or missing.
const UNKNOWN_KEY: &str = "unknown_key";

/// Returns the digest of the key that a caller shows. Credentials that can't be read, and two of them, are
/// none: it would not be known which of them an upstream or a cache in between goes by.
pub(super) fn key_of(config: &Config, headers: &HeaderMap) -> Option<KeyDigest> {
    let accounts = config.accounts()?;
    let mut credentials = headers.get_all(AUTHORIZATION).iter();
    let (first, second) = (credentials.next()?, credentials.next());
    if second.is_some() {
        return None;
    }
    let (scheme, key) = first.to_str().ok()?.split_once(' ')?;
    let key = key.trim();
    let is_key = scheme.eq_ignore_ascii_case("bearer") && (1..=MAX_KEY_BYTES).contains(&key.len());
    is_key.then(|| accounts.digest(key.as_bytes()))
}

/// Returns the answer to a caller that may not be served.
pub(super) fn no_access() -> OwnAnswer {
    OwnAnswer::failed(StatusCode::UNAUTHORIZED, UNKNOWN_KEY)
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Looks a request's key up anew, by the configuration in force now. Returns the answer if it allows
    /// the request no more.
    ///
    /// A key that is withdrawn while a request waits would otherwise still be served.
    pub(super) fn denied(&self, exchange: &mut Exchange) -> Option<Outcome> {
        let config = self.config()?;
        match config.access(&exchange.route, exchange.key.as_ref()) {
            Some(access) => {
                exchange.access = access;
                None
            }
            None => Some(Outcome::Own(no_access())),
        }
    }
}
