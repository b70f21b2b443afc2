//! Checks a caller's API key against the active configuration.

use anvilhook_core::api_keys::{KeyDigest, KeyHasher};
use anvilhook_core::units::Clock;
use http::StatusCode;
use http::header::{AUTHORIZATION, HeaderMap};

use super::Gateway;
use super::answers::{Outcome, OwnAnswer};
use super::requests::Exchange;
use crate::wires::Wire;

/// The maximum length of a key, in bytes. No account has a longer one, so it is not even hashed.
const MAX_KEY_BYTES: usize = 4_096;

/// The reason sent to callers whose key is unknown, withdrawn or missing.
const UNKNOWN_KEY: &str = "unknown_key";

/// Returns the digest of the key that a caller presents. Unreadable credentials count as none. So do two
/// `Authorization` headers, because an upstream or an intermediate cache might use either of them.
///
/// It does not depend on whether the configuration has accounts: one that is adopted while the request waits may have
/// them.
pub(super) fn key_of(hasher: &KeyHasher, headers: &HeaderMap) -> Option<KeyDigest> {
    let mut credentials = headers.get_all(AUTHORIZATION).iter();
    let (first, second) = (credentials.next()?, credentials.next());
    if second.is_some() {
        return None;
    }
    let (scheme, key) = first.to_str().ok()?.split_once(' ')?;
    let key = key.trim();
    let is_key = scheme.eq_ignore_ascii_case("bearer") && (1..=MAX_KEY_BYTES).contains(&key.len());
    is_key.then(|| hasher.digest(key.as_bytes()))
}

/// Returns the answer for a caller that may not be served.
pub(super) fn no_access() -> OwnAnswer {
    OwnAnswer::failed(StatusCode::UNAUTHORIZED, UNKNOWN_KEY)
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Returns whether a request may still be sent: its caller is waiting, and the configuration that is active now
    /// allows it on the terms by which its message was built. The message could otherwise contain a key or lack the
    /// account.
    pub(super) fn may_still_send(&self, exchange: &Exchange) -> bool {
        self.has_current_access(exchange) && !exchange.has_lost_its_caller(self.now())
    }

    /// Returns whether a request's access is that by the configuration that is active now.
    pub(super) fn has_current_access(&self, exchange: &Exchange) -> bool {
        let Some(config) = self.config() else { return true };
        exchange.access_by(&config).is_some_and(|access| access.is_same_caller(&exchange.access))
    }

    /// Returns whether a message of another instance contains an API key. An instance that does not know the accounts
    /// yet takes keys for credentials of the upstream's.
    pub(super) fn contains_key(&self, headers: &HeaderMap) -> bool {
        let key = key_of(self.wire().key_hasher(), headers);
        let config = self.config();
        key.zip(config).is_some_and(|(key, config)| config.known_account(&key).is_some())
    }

    /// Checks a request's key again, by the configuration that is active now. Returns the final answer if
    /// the request is no longer allowed.
    ///
    /// Otherwise a request could still be served although its key was withdrawn while it waited.
    pub(super) fn check_access(&self, exchange: &mut Exchange) -> Option<Outcome> {
        let config = self.config()?;
        match exchange.access_by(&config) {
            Some(access) => {
                exchange.access = access;
                None
            }
            None => Some(Outcome::Own(no_access())),
        }
    }
}
