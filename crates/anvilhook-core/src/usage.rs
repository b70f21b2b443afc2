//! Usage of client accounts: how many of their requests began to run in each window of time.
//!
//! The load that this answers: dozens of instances serve the same accounts, some of them end at any
//! moment, and what they tell each other is lost, doubled or late. So each counts in sums that only grow.
//! Of two sums of one instance the greater is the newer, and whoever has heard both goes by that.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::units::{Millis, WallTime};

/// How many windows are kept, the current one among them.
pub const KEPT_WINDOWS: u64 = 8;

/// The most accounts and instances that are counted in a window, which bounds what others can have kept.
const MOST_ACCOUNTS: usize = 8_192;
const MOST_INSTANCES: usize = 2_048;

/// `Windows` numbers spans of the same length since 1970.
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
    /// Makes windows of a length, of a millisecond at least.
    pub fn of(length: Millis) -> Self {
        Self { length: length.max(Millis(1)) }
    }

    /// Returns the window that a time is in.
    pub fn at(self, time: WallTime) -> u64 {
        time.0 / self.length.0
    }

    /// Returns when a window ends.
    pub fn end(self, window: u64) -> WallTime {
        WallTime(window.saturating_add(1).saturating_mul(self.length.0))
    }
}

/// `AccountCode` is the short form of a client account's name that instances use among themselves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AccountCode(pub u32);

/// `WindowCounts` is how many requests of some accounts began in a window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// The window.
    pub window: u64,
    /// The accounts, each with its sum.
    pub counts: Vec<(AccountCode, u32)>,
}

/// `Source` is who has counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// One instance of an availability zone, by the number of its process.
    Instance {
        /// Its availability zone.
        zone: u32,
        /// Its number.
        number: u64,
    },
    /// All instances of an availability zone, as one of them knows it.
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

/// `ZoneUsage` is what is known of one availability zone in one window.
#[derive(Clone, Debug, Default)]
struct ZoneUsage {
    instances: HashMap<u64, Counts>,
    told: Counts,
}

impl ZoneUsage {
    /// Returns the sums: what is known of its instances, or what was told of all of them, if that is more.
    fn sums(&self) -> Counts {
        let mut sums = Counts::new();
        for (account, count) in self.instances.values().flatten() {
            let sum = sums.entry(*account).or_default();
            *sum = sum.saturating_add(*count);
        }
        raise(&mut sums, self.told.iter().map(|(account, count)| (*account, *count)));
        sums
    }
}

/// `UsageCounters` is what one instance knows of all instances' usage.
///
/// ```
/// use anvilhook_core::usage::{AccountCode, Source, UsageCounters};
///
/// let (kitchen, own) = (AccountCode(1), Source::Instance { zone: 1, number: 7 });
/// let mut book = UsageCounters::new();
/// book.count(own, kitchen, 40);
/// let told = book.take_changes(10);
/// book.merge(Source::Instance { zone: 2, number: 8 }, &told, 40);
/// book.merge(Source::Instance { zone: 2, number: 8 }, &told, 40);
/// assert_eq!(book.totals(40)[&kitchen], 2);
/// ```
#[derive(Debug, Default)]
pub struct UsageCounters {
    windows: BTreeMap<u64, HashMap<u32, ZoneUsage>>,
    own: BTreeMap<u64, BTreeMap<AccountCode, u32>>,
    changed: BTreeSet<(u64, AccountCode)>,
}

impl UsageCounters {
    /// Makes a book in which nothing is counted.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that began to run at this instance, which is `own`.
    pub fn count(&mut self, own: Source, account: AccountCode, window: u64) {
        let count = self.own.entry(window).or_default().entry(account).or_default();
        *count = count.saturating_add(1);
        let counts = [(account, *count)];
        self.changed.insert((window, account));
        self.raise(own, window, &counts);
        self.forget(window);
    }

    /// Takes in what somebody has counted. `current` is the window now; what is far from it is not kept.
    pub fn merge(&mut self, from: Source, told: &[WindowCounts], current: u64) {
        let kept = current.saturating_sub(KEPT_WINDOWS)..=current.saturating_add(1);
        for WindowCounts { window, counts } in told {
            if kept.contains(window) {
                self.raise(from, *window, counts);
            }
        }
    }

    fn raise(&mut self, from: Source, window: u64, counts: &[(AccountCode, u32)]) {
        let zone = self.windows.entry(window).or_default().entry(from.zone()).or_default();
        let known = match from {
            Source::Zone(_) => &mut zone.told,
            Source::Instance { number, .. } => {
                if zone.instances.len() >= MOST_INSTANCES && !zone.instances.contains_key(&number) {
                    return;
                }
                zone.instances.entry(number).or_default()
            }
        };
        raise(known, counts.iter().copied());
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

    /// Returns the sums of an availability zone, of `most` accounts at most in each piece.
    pub fn zone_counts(&self, zone: u32, most: usize) -> Vec<WindowCounts> {
        let windows = self.windows.iter();
        let of_zone = windows.filter_map(|(window, zones)| Some((*window, zones.get(&zone)?)));
        of_zone
            .flat_map(|(window, usage)| {
                let mut sums: Vec<_> = usage.sums().into_iter().collect();
                sums.sort_unstable();
                let piece = move |counts: &[_]| WindowCounts { window, counts: counts.to_vec() };
                sums.chunks(most.max(1)).map(piece).collect::<Vec<_>>()
            })
            .collect()
    }

    /// Takes the own sums that have changed since they were taken last, of `most` accounts at most.
    pub fn take_changes(&mut self, most: usize) -> Vec<WindowCounts> {
        let mut changes: Vec<WindowCounts> = Vec::new();
        for _ in 0..most {
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

    /// Has the own sums of a window told again, in case that some were lost; `None` for those of all.
    pub fn resend(&mut self, window: Option<u64>) {
        let all = self.own.iter().filter(|(one, _)| window.is_none_or(|window| **one == window));
        let changes = all.flat_map(|(one, counts)| counts.keys().map(|account| (*one, *account)));
        self.changed.extend(changes);
    }

    /// Forgets windows that are too old to be reported; `current` is the window now.
    pub fn forget(&mut self, current: u64) {
        let oldest = current.saturating_sub(KEPT_WINDOWS);
        self.windows = self.windows.split_off(&oldest);
        self.own = self.own.split_off(&oldest);
        self.changed.retain(|(window, _)| *window >= oldest);
    }
}

fn raise(known: &mut Counts, counts: impl Iterator<Item = (AccountCode, u32)>) {
    for (account, count) in counts {
        if known.len() >= MOST_ACCOUNTS && !known.contains_key(&account) {
            return;
        }
        let before = known.entry(account).or_default();
        *before = count.max(*before);
    }
}

#[cfg(test)]
mod tests {
    use super::{AccountCode, KEPT_WINDOWS, Source, UsageCounters, WindowCounts};

    const KITCHEN: AccountCode = AccountCode(1);
    const OWN: Source = Source::Instance { zone: 1, number: 1 };

    fn told(window: u64, count: u32) -> Vec<WindowCounts> {
        vec![WindowCounts { window, counts: vec![(KITCHEN, count)] }]
    }

    /// News that comes doubled, late or out of order makes a report wrong.
    #[test]
    fn verify_old_and_doubled_news_change_nothing() {
        let (mut book, peer) = (UsageCounters::new(), Source::Instance { zone: 1, number: 2 });
        for count in [3, 5, 5, 4] {
            book.merge(peer, &told(9, count), 9);
        }
        book.count(OWN, KITCHEN, 9);

        assert_eq!(book.totals(9)[&KITCHEN], 6);
    }

    /// The sum of a zone and those of its instances, heard both, count the same requests twice.
    #[test]
    fn verify_a_zones_sum_and_its_instances_are_not_added() {
        let mut book = UsageCounters::new();
        book.merge(Source::Zone(2), &told(9, 10), 9);
        book.merge(Source::Instance { zone: 2, number: 2 }, &told(9, 4), 9);
        assert_eq!(book.totals(9)[&KITCHEN], 10);

        book.merge(Source::Instance { zone: 2, number: 3 }, &told(9, 8), 9);
        assert_eq!(book.totals(9)[&KITCHEN], 12);
    }

    /// An instance that starts again loses what its last start has counted.
    #[test]
    fn verify_another_start_counts_beside_the_one_before() {
        let mut book = UsageCounters::new();
        for number in [2, 3] {
            book.merge(Source::Instance { zone: 1, number }, &told(9, 4), 9);
        }

        assert_eq!(book.totals(9)[&KITCHEN], 8);
    }

    /// A long-lived instance keeps every window, or one of another writer's.
    #[test]
    fn verify_windows_are_bounded() {
        let mut book = UsageCounters::new();
        for window in 0..100 {
            book.count(OWN, KITCHEN, window);
        }
        book.merge(Source::Zone(2), &told(u64::MAX, 1), 99);
        book.merge(Source::Zone(2), &told(5, 1), 99);

        assert_eq!(book.windows.len() as u64, KEPT_WINDOWS + 1);
        assert_eq!(book.take_changes(1_000).len() as u64, KEPT_WINDOWS + 1);
        assert_eq!(book.take_changes(1_000), []);
        book.resend(Some(99));
        assert_eq!(book.take_changes(1_000), told(99, 1));
    }
}
