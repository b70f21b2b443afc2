//! Counts the work that client accounts request from model engines, and holds which accounts are above their
//! fair shares.
//!
//! [`anvilhook_core::fair_shares`] decides; this module supplies its inputs and stores its last result, so that
//! a request only looks up its own account.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use anvilhook_core::fair_shares::{AccountKey, AccountSum, AccountSums, Excesses, Origin};
use anvilhook_core::units::Millis;
use anvilhook_core::usage::Source;

use crate::hashes::hash_of;
use crate::relay::Stage;
use crate::usage::code_of;

/// The interval at which the excesses are computed again. It is shorter than that of the messages.
const REFRESH_INTERVAL: Millis = Millis(100);

/// The maximum number of accounts above their shares that are sent to other instances.
const MAX_EXCESSES: usize = 32;

/// How long excesses are still sent after the last one has ended, so that the other instances learn that from a
/// message and not from its expiry.
const SEND_TIME: Millis = Millis(2_000);

/// `HeldCounts` are numbers of held requests by service and stage.
type HeldCounts = HashMap<(Arc<str>, Stage), Arc<AtomicU32>>;

/// `AccountShares` holds the work and the excesses of client accounts.
#[derive(Debug)]
pub struct AccountShares {
    /// The hash of this instance's availability zone.
    zone: u32,
    state: Mutex<State>,
    /// The number of requests without excess that are held back here, by service and stage.
    held: Mutex<HeldCounts>,
}

#[derive(Debug, Default)]
struct State {
    sums: AccountSums,
    excesses: Arc<Excesses>,
    refreshed_at: Option<Millis>,
    /// The excesses last computed for other instances.
    sent: Excesses,
    /// When a service was last contended in such a computation.
    contended_at: Option<Millis>,
    sequence: u32,
}

/// `HeldRequest` counts a request without excess as held back, until it is dropped.
#[derive(Debug)]
pub struct HeldRequest(Arc<AtomicU32>);

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl AccountShares {
    /// Creates the shares of an instance in an availability zone, given by its hash; no work is known yet.
    pub fn in_zone(zone: u32) -> Self {
        Self { zone, state: Mutex::default(), held: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Records work that an account requests from a service's engines, in milliseconds.
    pub fn record_asked(&self, key: AccountKey, work_ms: f64, now: Millis) {
        self.state().sums.record_asked(key, work_ms, now);
    }

    /// Records requested work that is sent to an engine, in milliseconds.
    pub fn record_sent(&self, key: AccountKey, work_ms: f64, now: Millis) {
        self.state().sums.record_sent(key, work_ms, now);
    }

    /// Returns the accounts that are above their shares.
    pub fn excesses(&self, now: Millis) -> Arc<Excesses> {
        let (sums, before) = {
            let mut state = self.state();
            if state.refreshed_at.is_some_and(|at| at + REFRESH_INTERVAL > now) {
                return Arc::clone(&state.excesses);
            }
            state.refreshed_at = Some(now);
            state.sums.drop_expired(now);
            (state.sums.clone(), Arc::clone(&state.excesses))
        };
        // Computed from a copy: other requests need not wait for it.
        let excesses = Arc::new(sums.excesses(self.zone, &before, now));
        self.state().excesses = Arc::clone(&excesses);
        excesses
    }

    /// Returns the excess of an account at a service, 0 if it is within its share.
    pub fn excess(&self, key: AccountKey, now: Millis) -> f64 {
        self.excesses(now).by_account.get(&key).copied().unwrap_or(0.0)
    }

    /// Returns whether a service has less capacity than is requested.
    pub fn is_contended(&self, service: &str, now: Millis) -> bool {
        self.excesses(now).contended.contains(&service_code(service))
    }

    /// Counts a request without excess as held back until the guard is dropped.
    pub fn hold(&self, service: &Arc<str>, stage: Stage) -> HeldRequest {
        let mut held = self.held.lock().expect("no panic under this lock");
        let count = held.entry((Arc::clone(service), stage)).or_default();
        count.fetch_add(1, Ordering::AcqRel);
        HeldRequest(Arc::clone(count))
    }

    /// Returns how many requests without excess are held back here.
    pub fn held(&self, service: &Arc<str>, stage: Stage) -> u32 {
        let held = self.held.lock().expect("no panic under this lock");
        held.get(&(Arc::clone(service), stage)).map_or(0, |count| count.load(Ordering::Acquire))
    }

    /// Returns the sequence of the next publication.
    pub(crate) fn next_sequence(&self) -> u32 {
        let mut state = self.state();
        state.sequence += 1;
        state.sequence
    }

    /// Returns this instance's sums.
    pub(crate) fn own_sums(&self, now: Millis) -> Vec<AccountSum> {
        self.state().sums.own(now)
    }

    /// Returns the sums of the availability zone of this instance.
    pub(crate) fn zone_sums(&self, now: Millis) -> Vec<AccountSum> {
        self.state().sums.zone_sums(self.zone, now)
    }

    /// Returns the accounts above their shares, in percent, for the instances of this availability zone. Returns
    /// `None` if no service is contended, and none was a short time ago.
    pub(crate) fn sent_excesses(&self, now: Millis) -> Option<Vec<(AccountKey, u32)>> {
        let (sums, before) = {
            let state = self.state();
            (state.sums.clone(), state.sent.clone())
        };
        let excesses = sums.computed_excesses(self.zone, &before, now);
        let largest = excesses.largest(MAX_EXCESSES);
        let mut state = self.state();
        if !excesses.contended.is_empty() {
            state.contended_at = Some(now);
        }
        state.sent = excesses;
        state.contended_at.is_some_and(|at| at + SEND_TIME > now).then_some(largest)
    }

    /// Merges the sums of another instance, or those of an availability zone from its leader.
    pub(crate) fn merge(&self, source: Source, origin: Origin, sums: &[AccountSum]) {
        self.state().sums.merge(source, origin, sums);
    }

    /// Merges the excesses that the leader of this availability zone has computed.
    pub(crate) fn merge_excesses(&self, origin: Origin, excesses: &[(AccountKey, u32)]) {
        self.state().sums.merge_excesses(origin, excesses);
    }
}

/// Returns the key of an account at a service.
pub fn key_of(service: &str, account: &Arc<str>) -> AccountKey {
    AccountKey { service: service_code(service), account: code_of(account) }
}

/// Returns the hash of a service's name that instances use among themselves.
pub fn service_code(service: &str) -> u32 {
    hash_of(service) as u32
}
