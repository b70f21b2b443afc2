//! Usage of client accounts, as this instance counts it and hears it from others.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use anvilhook_core::api_keys::ClientAccount;
use anvilhook_core::clock_offsets::ClockOffsets;
use anvilhook_core::units::{Millis, WallTime};
use anvilhook_core::usage::{AccountCode, Source, UsageCounters, WindowCounts, Windows};
use serde::{Deserialize, Serialize};

use crate::hashes::hash_of;

/// How long after its end a window's sums are told again, in case that some were lost.
const TOLD_AGAIN_AFTER: Millis = Millis(800);

/// The most accounts of which one datagram tells.
pub(crate) const MOST_TOLD: usize = 90;

/// The most names of accounts that are remembered; an account may be gone when its usage is reported.
const MOST_NAMES: usize = 8_192;

/// `UsageUpdate` is what one instance tells another of usage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageUpdate {
    /// The time by the sender's own clock.
    pub time: WallTime,
    /// The last window whose report was accepted, 0 if none is known.
    pub reported: u64,
    /// How many requests of accounts began in some windows.
    pub windows: Vec<WindowCounts>,
}

/// `Usage` counts what begins to run, if usage is to be reported.
#[derive(Debug)]
pub struct Usage {
    windows: Option<Windows>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    book: UsageCounters,
    names: HashMap<AccountCode, Arc<str>>,
    clocks: ClockOffsets,
    told_again: u64,
    reported: u64,
}

impl Usage {
    /// Makes a count by windows of a length, at the time of day `time`; nothing is counted without windows.
    pub fn new(window: Option<Millis>, time: WallTime, now: Millis) -> Self {
        let state = State {
            book: UsageCounters::new(),
            names: HashMap::new(),
            clocks: ClockOffsets::new(time, now),
            told_again: 0,
            reported: 0,
        };
        Self { windows: window.map(Windows::of), state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Returns the windows by which is counted, if any.
    pub fn windows(&self) -> Option<Windows> {
        self.windows
    }

    /// Returns the time of day.
    pub fn time(&self, now: Millis) -> WallTime {
        self.state().clocks.time(now)
    }

    /// Notes names of accounts, which reports name.
    pub(crate) fn learn_names<'n>(&self, names: impl Iterator<Item = &'n Arc<str>>) {
        if self.windows.is_none() {
            return;
        }
        let mut state = self.state();
        for name in names {
            if state.names.len() < MOST_NAMES {
                state.names.insert(code_of(name), Arc::clone(name));
            }
        }
    }

    /// Counts a request of an account that began to run at `began_at` for this instance, which is `own`.
    pub fn count(&self, own: Source, account: &ClientAccount, began_at: Millis) {
        let Some(windows) = self.windows else { return };
        let mut state = self.state();
        let window = windows.at(state.clocks.time(began_at));
        state.book.count(own, code_of(&account.name), window);
    }

    /// Takes in what another instance, or one that tells for its availability zone, has counted.
    pub(crate) fn merge(&self, from: Source, news: &UsageUpdate, now: Millis) {
        let Some(windows) = self.windows else { return };
        let mut state = self.state();
        if let Source::Instance { number, .. } = from {
            state.clocks.record(number, news.time, now);
        }
        let current = windows.at(state.clocks.time(now));
        state.book.merge(from, &news.windows, current);
        // No report of a window that is yet to end can have been accepted.
        if news.reported < current {
            state.reported = state.reported.max(news.reported);
        }
    }

    /// Takes what others are to be told of this instance's own counts, if anything.
    pub(crate) fn take_update(&self, now: Millis) -> Option<UsageUpdate> {
        let windows = self.windows?;
        let mut state = self.state();
        let ended =
            windows.at(WallTime(state.clocks.time(now).0.saturating_sub(TOLD_AGAIN_AFTER.0)));
        let last_ended = ended.saturating_sub(1);
        if state.told_again < last_ended {
            state.told_again = last_ended;
            state.book.resend(Some(last_ended));
        }
        let changes = state.book.take_changes(MOST_TOLD);
        (!changes.is_empty()).then(|| state.news(changes, now))
    }

    /// Has all own counts told, to somebody new.
    pub(crate) fn resend_all(&self) {
        self.state().book.resend(None);
    }

    /// Returns what other availability zones are to be told of an availability zone.
    pub(crate) fn zone_updates(&self, zone: u32, now: Millis) -> Vec<UsageUpdate> {
        if self.windows.is_none() {
            return Vec::new();
        }
        let state = self.state();
        let pieces = state.book.zone_counts(zone, MOST_TOLD).into_iter();
        let unreported = pieces.filter(|piece| piece.window > state.reported);
        let mut news: Vec<_> = unreported.map(|piece| state.news(vec![piece], now)).collect();
        if news.is_empty() {
            news.push(state.news(Vec::new(), now));
        }
        news
    }

    /// Returns the sums of a window over all instances, by the accounts' names.
    pub fn totals(&self, window: u64) -> Vec<(Arc<str>, u32)> {
        let state = self.state();
        let totals = state.book.totals(window).into_iter();
        let named =
            totals.filter_map(|(code, count)| Some((state.names.get(&code)?.clone(), count)));
        named.collect()
    }

    /// Returns the last window whose report was accepted, as far as is known.
    pub fn reported(&self) -> u64 {
        self.state().reported
    }

    /// Notes that the report of a window was accepted.
    pub(crate) fn record_reported(&self, window: u64) {
        let mut state = self.state();
        state.reported = state.reported.max(window);
    }
}

impl State {
    fn news(&self, windows: Vec<WindowCounts>, now: Millis) -> UsageUpdate {
        UsageUpdate { time: self.clocks.own_time(now), reported: self.reported, windows }
    }
}

fn code_of(name: &Arc<str>) -> AccountCode {
    AccountCode(hash_of(&**name) as u32)
}
