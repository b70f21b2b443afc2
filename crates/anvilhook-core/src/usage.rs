//! Counts the usage of client accounts: how many of their requests began to run in each time window.
//!
//! Designed for: dozens of instances that serve the same accounts, where any instance may terminate
//! at any moment and updates are lost, duplicated or late. Each instance therefore counts in sums that
//! only grow. Of two sums of one instance the greater is the newer, and a receiver keeps that one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::units::{Millis, WallTime};

/// The number of windows before the current one that are retained.
pub const RETAINED_WINDOWS: u64 = 8;

/// The maximum numbers of accounts and instances that are counted in a window. They bound the memory
/// that updates of other instances can take up.
const MAX_ACCOUNTS: usize = 8_192;
const MAX_INSTANCES: usize = 2_048;

/// `Windows` numbers consecutive time windows of one length since 1970.
///
/// ```
/// use anvilhook_core::units::{Millis, WallTime};
/// use anvilhook_core::usage::Windows;
///
/// let windows = Windows::of(Millis(5_000));
/// assert_eq!(windows.at(WallTime(14_999)), 2);
/// assert_eq!(windows.end(2), WallTime(15_000));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Windows {
    length: Millis,
}

impl Windows {
    /// Creates windows of the given length, at least one millisecond.
    pub fn of(length: Millis) -> Self {
        Self { length: length.max(Millis(1)) }
    }

    /// Returns the window that contains a time.
    pub fn at(self, time: WallTime) -> u64 {
        time.0 / self.length.0
    }

    /// Returns when a window ends.
    pub fn end(self, window: u64) -> WallTime {
        WallTime(window.saturating_add(1).saturating_mul(self.length.0))
    }
}

/// `AccountCode` is the hash of a client account's name that instances use among themselves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AccountCode(pub u32);

/// `WindowCounts` holds how many requests of some accounts began to run in a window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// The window.
    pub window: u64,
    /// The accounts, each with its number of requests.
    pub counts: Vec<(AccountCode, u32)>,
}

/// `Source` identifies whose requests were counted.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Source {
    /// One instance of an availability zone, identified by the number of its process.
    Instance {
        /// Its availability zone.
        zone: u32,
        /// The number of its process.
        number: u64,
    },
    /// All instances of an availability zone, as known by one of them.
    Zone(u32),
}

impl Source {
    fn zone(self) -> u32 {
        match self {
            Source::Instance { zone, .. } | Source::Zone(zone) => zone,
        }
    }
}

type Counts = HashMap<AccountCode, u32>;

/// `ZoneUsage` holds the known counts of one availability zone in one window.
#[derive(Clone, Debug, Default)]
struct ZoneUsage {
    instances: HashMap<u64, Counts>,
    reported: Counts,
}

impl ZoneUsage {
    /// Returns the sum for each account: the total over the known instances or the sum reported for
    /// the whole zone, whichever is greater.
    fn sums(&self) -> Counts {
        let mut sums = Counts::new();
        for (account, count) in self.instances.values().flatten() {
            let sum = sums.entry(*account).or_default();
            *sum = sum.saturating_add(*count);
        }
        merge_sums(&mut sums, self.reported.iter().map(|(account, count)| (*account, *count)));
        sums
    }
}

/// `UsageCounters` holds the usage of all instances as far as this instance knows it.
///
/// ```
/// use anvilhook_core::usage::{AccountCode, Source, UsageCounters};
///
/// let (account, own) = (AccountCode(1), Source::Instance { zone: 1, number: 7 });
/// let mut counters = UsageCounters::new();
/// counters.count(own, account, 40);
/// let changes = counters.take_changes(10);
/// counters.merge(Source::Instance { zone: 2, number: 8 }, &changes, 40);
/// counters.merge(Source::Instance { zone: 2, number: 8 }, &changes, 40);
/// assert_eq!(counters.totals(40)[&account], 2);
/// ```
#[derive(Debug, Default)]
pub struct UsageCounters {
    windows: BTreeMap<u64, HashMap<u32, ZoneUsage>>,
    own: BTreeMap<u64, BTreeMap<AccountCode, u32>>,
    changed: BTreeSet<(u64, AccountCode)>,
}

impl UsageCounters {
    /// Creates empty counters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that began to run at this instance, whose source is `own`.
    pub fn count(&mut self, own: Source, account: AccountCode, window: u64) {
        let count = self.own.entry(window).or_default().entry(account).or_default();
        *count = count.saturating_add(1);
        let counts = [(account, *count)];
        self.changed.insert((window, account));
        self.merge_window(own, window, &counts);
        self.forget(window);
    }

    /// Merges the counts of another source. `current` is the present window; counts of windows far
    /// from it are dropped.
    pub fn merge(&mut self, from: Source, updates: &[WindowCounts], current: u64) {
        let retained = current.saturating_sub(RETAINED_WINDOWS)..=current.saturating_add(1);
        for WindowCounts { window, counts } in updates {
            if retained.contains(window) {
                self.merge_window(from, *window, counts);
            }
        }
    }

    fn merge_window(&mut self, from: Source, window: u64, counts: &[(AccountCode, u32)]) {
        let zone = self.windows.entry(window).or_default().entry(from.zone()).or_default();
        let known = match from {
            Source::Zone(_) => &mut zone.reported,
            Source::Instance { number, .. } => {
                if zone.instances.len() >= MAX_INSTANCES && !zone.instances.contains_key(&number) {
                    return;
                }
                zone.instances.entry(number).or_default()
            }
        };
        merge_sums(known, counts.iter().copied());
    }

    /// Returns the sums of a window over all availability zones.
    pub fn totals(&self, window: u64) -> BTreeMap<AccountCode, u32> {
        let mut totals = BTreeMap::new();
        for zone in self.windows.get(&window).into_iter().flat_map(HashMap::values) {
            for (account, count) in zone.sums() {
                let total: &mut u32 = totals.entry(account).or_default();
                *total = total.saturating_add(count);
            }
        }
        totals
    }

    /// Returns the sums of an availability zone, in pieces of at most `max_accounts` accounts.
    pub fn zone_counts(&self, zone: u32, max_accounts: usize) -> Vec<WindowCounts> {
        let windows = self.windows.iter();
        let of_zone = windows.filter_map(|(window, zones)| Some((*window, zones.get(&zone)?)));
        of_zone
            .flat_map(|(window, usage)| {
                let mut sums: Vec<_> = usage.sums().into_iter().collect();
                sums.sort_unstable();
                let piece = move |counts: &[_]| WindowCounts { window, counts: counts.to_vec() };
                sums.chunks(max_accounts.max(1)).map(piece).collect::<Vec<_>>()
            })
            .collect()
    }

    /// Takes the sums of this instance that changed since they were last taken, for at most
    /// `max_accounts` accounts.
    pub fn take_changes(&mut self, max_accounts: usize) -> Vec<WindowCounts> {
        let mut changes: Vec<WindowCounts> = Vec::new();
        for _ in 0..max_accounts {
            let Some((window, account)) = self.changed.pop_first() else { break };
            let count = self.own.get(&window).and_then(|counts| counts.get(&account));
            let Some(count) = count.copied() else { continue };
            match changes.last_mut().filter(|last| last.window == window) {
                Some(last) => last.counts.push((account, count)),
                None => changes.push(WindowCounts { window, counts: vec![(account, count)] }),
            }
        }
        changes
    }

    /// Marks the sums of this instance in a window as changed, so that they are sent again in case
    /// some were lost. `None` marks all windows.
    pub fn resend(&mut self, window: Option<u64>) {
        let all = self.own.iter().filter(|(one, _)| window.is_none_or(|window| **one == window));
        let changes = all.flat_map(|(one, counts)| counts.keys().map(|account| (*one, *account)));
        self.changed.extend(changes);
    }

    /// Drops windows that are too old to be reported; `current` is the present window.
    pub fn forget(&mut self, current: u64) {
        let oldest = current.saturating_sub(RETAINED_WINDOWS);
        self.windows = self.windows.split_off(&oldest);
        self.own = self.own.split_off(&oldest);
        self.changed.retain(|(window, _)| *window >= oldest);
    }
}

/// Sets each known sum to the maximum of itself and the given one.
fn merge_sums(known: &mut Counts, counts: impl Iterator<Item = (AccountCode, u32)>) {
    for (account, count) in counts {
        if known.len() >= MAX_ACCOUNTS && !known.contains_key(&account) {
            return;
        }
        let before = known.entry(account).or_default();
        *before = count.max(*before);
    }
}

#[cfg(test)]
mod tests {
    use super::{AccountCode, RETAINED_WINDOWS, Source, UsageCounters, WindowCounts};

    const ACCOUNT: AccountCode = AccountCode(1);
    const OWN: Source = Source::Instance { zone: 1, number: 1 };

    fn counts_of(window: u64, count: u32) -> Vec<WindowCounts> {
        vec![WindowCounts { window, counts: vec![(ACCOUNT, count)] }]
    }

    /// Guards against wrong sums when updates arrive duplicated, late or out of order.
    #[test]
    fn verify_old_and_duplicated_updates_change_nothing() {
        let (mut counters, peer) = (UsageCounters::new(), Source::Instance { zone: 1, number: 2 });
        for count in [3, 5, 5, 4] {
            counters.merge(peer, &counts_of(9, count), 9);
        }
        counters.count(OWN, ACCOUNT, 9);

        assert_eq!(counters.totals(9)[&ACCOUNT], 6);
    }

    /// Guards against counting requests twice when both the sum of a zone and the sums of its
    /// instances are received.
    #[test]
    fn verify_a_zones_sum_and_its_instances_are_not_added() {
        let mut counters = UsageCounters::new();
        counters.merge(Source::Zone(2), &counts_of(9, 10), 9);
        counters.merge(Source::Instance { zone: 2, number: 2 }, &counts_of(9, 4), 9);
        assert_eq!(counters.totals(9)[&ACCOUNT], 10);

        counters.merge(Source::Instance { zone: 2, number: 3 }, &counts_of(9, 8), 9);
        assert_eq!(counters.totals(9)[&ACCOUNT], 12);
    }

    /// Guards against losing the counts of an instance's previous process when it restarts.
    #[test]
    fn verify_a_restart_keeps_the_counts_of_the_previous_process() {
        let mut counters = UsageCounters::new();
        for number in [2, 3] {
            counters.merge(Source::Instance { zone: 1, number }, &counts_of(9, 4), 9);
        }

        assert_eq!(counters.totals(9)[&ACCOUNT], 8);
    }

    /// Guards against a long-lived instance that retains all windows, or windows far from the present
    /// one that another instance sent.
    #[test]
    fn verify_windows_are_bounded() {
        let mut counters = UsageCounters::new();
        for window in 0..100 {
            counters.count(OWN, ACCOUNT, window);
        }
        counters.merge(Source::Zone(2), &counts_of(u64::MAX, 1), 99);
        counters.merge(Source::Zone(2), &counts_of(5, 1), 99);

        assert_eq!(counters.windows.len() as u64, RETAINED_WINDOWS + 1);
        assert_eq!(counters.take_changes(1_000).len() as u64, RETAINED_WINDOWS + 1);
        assert_eq!(counters.take_changes(1_000), []);
        counters.resend(Some(99));
        assert_eq!(counters.take_changes(1_000), counts_of(99, 1));
    }
}
