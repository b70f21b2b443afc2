//! Counts the usage of client accounts, and merges the counts that other instances publish.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use anvilhook_core::api_keys::ClientAccount;
use anvilhook_core::clock_offsets::ClockOffsets;
use anvilhook_core::units::{Millis, WallTime};
use anvilhook_core::usage::{AccountCode, Source, UsageCounters, WindowCounts, Windows};
use serde::{Deserialize, Serialize};

use crate::hashes::hash_of;

/// How long after its end a window's sums are sent again, in case some were lost.
const RESEND_AFTER: Millis = Millis(800);

/// The maximum number of accounts in one datagram.
pub(crate) const MAX_UPDATE_ACCOUNTS: usize = 90;

/// The maximum number of account names that are retained. An account may already have been removed when its
/// usage is reported.
const MAX_NAMES: usize = 8_192;

/// `UsageUpdate` is an update on usage that one instance sends to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageUpdate {
    /// The time by the sender's own clock.
    pub time: WallTime,
    /// The last window whose report was accepted, or 0 if none is known.
    pub reported: u64,
    /// The numbers of requests that began, by window and account.
    pub windows: Vec<WindowCounts>,
}

/// `Usage` counts the requests that begin to run, if usage is to be reported.
#[derive(Debug)]
pub struct Usage {
    windows: Option<Windows>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    counters: UsageCounters,
    names: HashMap<AccountCode, Arc<str>>,
    clocks: ClockOffsets,
    last_resent: u64,
    reported: u64,
}

impl Usage {
    /// Creates empty counts by windows of the length `window`; `time` is the wall-clock time at `now`.
    /// Without a length, nothing is counted.
    pub fn new(window: Option<Millis>, time: WallTime, now: Millis) -> Self {
        let state = State {
            counters: UsageCounters::new(),
            names: HashMap::new(),
            clocks: ClockOffsets::new(time, now),
            last_resent: 0,
            reported: 0,
        };
        Self { windows: window.map(Windows::of), state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Returns the windows by which requests are counted, if any.
    pub fn windows(&self) -> Option<Windows> {
        self.windows
    }

    /// Returns the wall-clock time, as the median of the known instances' clocks.
    pub fn time(&self, now: Millis) -> WallTime {
        self.state().clocks.time(now)
    }

    /// Records names of accounts for use in reports.
    pub(crate) fn learn_names<'n>(&self, names: impl Iterator<Item = &'n Arc<str>>) {
        if self.windows.is_none() {
            return;
        }
        let mut state = self.state();
        for name in names {
            if state.names.len() < MAX_NAMES {
                state.names.insert(code_of(name), Arc::clone(name));
            }
        }
    }

    /// Counts a request of an account that began to run at `began_at`. `own` identifies this instance.
    pub fn count(&self, own: Source, account: &ClientAccount, began_at: Millis) {
        let Some(windows) = self.windows else { return };
        let mut state = self.state();
        let window = windows.at(state.clocks.time(began_at));
        state.counters.count(own, code_of(&account.name), window);
    }

    /// Merges the counts of another instance, or those of an availability zone from its zone leader.
    pub(crate) fn merge(&self, from: Source, update: &UsageUpdate, now: Millis) {
        let Some(windows) = self.windows else { return };
        let mut state = self.state();
        if let Source::Instance { number, .. } = from {
            state.clocks.record(number, update.time, now);
        }
        let current = windows.at(state.clocks.time(now));
        state.counters.merge(from, &update.windows, current);
        // The report of a window that has not ended yet can't have been accepted.
        if update.reported < current {
            state.reported = state.reported.max(update.reported);
        }
    }

    /// Takes the changes of this instance's own counts that are to be sent to the others, if any.
    pub(crate) fn take_update(&self, now: Millis) -> Option<UsageUpdate> {
        let windows = self.windows?;
        let mut state = self.state();
        let ended = windows.at(WallTime(state.clocks.time(now).0.saturating_sub(RESEND_AFTER.0)));
        let last_ended = ended.saturating_sub(1);
        if state.last_resent < last_ended {
            state.last_resent = last_ended;
            state.counters.resend(Some(last_ended));
        }
        let changes = state.counters.take_changes(MAX_UPDATE_ACCOUNTS);
        (!changes.is_empty()).then(|| state.update(changes, now))
    }

    /// Marks all own counts to be sent again, because a new instance is to receive them.
    pub(crate) fn resend_all(&self) {
        self.state().counters.resend(None);
    }

    /// Returns the updates on an availability zone that are to be sent to the other ones.
    pub(crate) fn zone_updates(&self, zone: u32, now: Millis) -> Vec<UsageUpdate> {
        if self.windows.is_none() {
            return Vec::new();
        }
        let state = self.state();
        let pieces = state.counters.zone_counts(zone, MAX_UPDATE_ACCOUNTS).into_iter();
        let unreported = pieces.filter(|piece| piece.window > state.reported);
        let mut updates: Vec<_> = unreported.map(|piece| state.update(vec![piece], now)).collect();
        if updates.is_empty() {
            updates.push(state.update(Vec::new(), now));
        }
        updates
    }

    /// Returns the sums of a window over all instances, by account name.
    pub fn totals(&self, window: u64) -> Vec<(Arc<str>, u32)> {
        let state = self.state();
        let totals = state.counters.totals(window).into_iter();
        let named =
            totals.filter_map(|(code, count)| Some((state.names.get(&code)?.clone(), count)));
        named.collect()
    }

    /// Returns the last window whose report is known to have been accepted, or 0 if none is known.
    pub fn reported(&self) -> u64 {
        self.state().reported
    }

    /// Records that the report of a window was accepted, or that the window needs no report any more.
    pub(crate) fn record_reported(&self, window: u64) {
        let mut state = self.state();
        state.reported = state.reported.max(window);
    }
}

impl State {
    fn update(&self, windows: Vec<WindowCounts>, now: Millis) -> UsageUpdate {
        UsageUpdate { time: self.clocks.own_time(now), reported: self.reported, windows }
    }
}

/// Returns the code of an account's name.
pub(crate) fn code_of(name: &Arc<str>) -> AccountCode {
    AccountCode(hash_of(&**name) as u32)
}
