//! Divides a service's capacity among client accounts while more work is requested than its engines can do.
//!
//! Designed for: dozens of client accounts of which one may send half of the demand, at hundreds of instances
//! that each serve few of the accounts, where the messages between instances may be lost, duplicated or late.
//! The demand changes within a second, and half of the instances may terminate at once. Work is therefore
//! counted in sums that decay within seconds, and each message carries whole sums, so that the next one
//! replaces what was lost.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::pacing::{FIRST_EVENT_MS, Slots};
use crate::units::Millis;
use crate::usage::{AccountCode, Source};
use crate::waiting_queues::CERTAIN_SHARE;

/// The time in which a sum decays to 1/e, in milliseconds. A shorter time would follow single long prompts
/// instead of the demand; a longer one would count demand that ended before the burst.
const DECAY_MS: f64 = 2_000.0;

/// How long the sums and excesses that another instance sent are used.
pub const MAX_AGE: Millis = Millis(2_000);

/// The share of the requested work that must have been held back or rejected for a service to count as
/// contended. A few prompts that are held back for a moment so that shorter ones pass them stay below it.
const MIN_UNMET_SHARE: f64 = 0.05;

/// The minimum excess, and that of an account that has had one since the last computation. Without the margin
/// between them, an excess would end and return several times a second, and each time all requests of the
/// account that wait would be sent at once.
const MIN_EXCESS: f64 = 0.5;
const MIN_KEPT_EXCESS: f64 = 0.1;

/// How many times as much as another account an account with an excess requests at least. If many accounts with
/// the same demand are above their shares, their sums differ by less, since requests are not equal; some of
/// them would otherwise be held back for the others.
const SIZE_FACTOR: f64 = 3.0;
const KEPT_SIZE_FACTOR: f64 = 2.0;

/// The same if only the sums of this instance are known. It sees few requests of each account, so sums of
/// accounts with the same demand differ more.
const LOCAL_SIZE_FACTOR: f64 = 8.0;

/// The minimum demand of these other accounts, as a share of the capacity. Less would be served in time even
/// behind the requests of others, and is not worth delaying them.
const MIN_PROTECTED_SHARE: f64 = 0.02;

/// The maximum excess, for an account whose share is close to zero.
const MAX_EXCESS: f64 = 1_000.0;

/// The requested work below which an account is not active, in milliseconds.
const MIN_ACTIVE_MS: f64 = 1.0;

/// The lowest weight of an account.
const MIN_WEIGHT: f64 = 1e-6;

/// The maximum number of sums of other instances that are stored.
const MAX_SUMS: usize = 16_384;

/// The maximum number of own sums; beyond it, further accounts are not counted.
const MAX_OWN_SUMS: usize = 8_192;

/// The backlog of a prefill engine above which requests of an account with an excess wait, as a share of the
/// tightest objective. It leaves most of the objective to the requests of other accounts, and is large enough
/// to keep the engine busy.
const BACKLOG_SHARE: f64 = 0.2;

/// The share of an engine's slots that is not given to accounts with an excess while they wait, at least one
/// slot.
const SLOT_RESERVE: f64 = 0.125;

/// `Demand` is the work that an account requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The requested work, in milliseconds of engine time.
    pub asked_ms: f64,
    /// The weight of the account; an account with twice the weight has twice the share.
    pub weight: f64,
}

/// Returns the max-min fair share of each account, in milliseconds of engine time.
///
/// An account that asks for less than its part by weight gets all that it asks for, and the rest is divided
/// among the others in the same way. The shares add up to the capacity, or to the demand if that is less.
///
/// ```
/// use anvilhook_core::fair_shares::{Demand, fair_shares};
///
/// let demands = [100.0, 900.0, 500.0].map(|asked_ms| Demand { asked_ms, weight: 1.0 });
/// assert_eq!(fair_shares(900.0, &demands), [100.0, 400.0, 400.0]);
/// assert_eq!(fair_shares(2_000.0, &demands), [100.0, 900.0, 500.0]);
/// ```
pub fn fair_shares(capacity_ms: f64, demands: &[Demand]) -> Vec<f64> {
    let asked = |at: usize| demands[at].asked_ms.max(0.0);
    let weight = |at: usize| demands[at].weight.max(MIN_WEIGHT);
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| (asked(*a) / weight(*a)).total_cmp(&(asked(*b) / weight(*b))));
    let mut shares = vec![0.0; demands.len()];
    let mut left_ms = capacity_ms.max(0.0);
    let mut left_weight: f64 = (0..demands.len()).map(weight).sum();
    for at in order {
        let part = (weight(at) / left_weight).clamp(0.0, 1.0);
        shares[at] = asked(at).min(left_ms * part);
        left_ms = (left_ms - shares[at]).max(0.0);
        left_weight = (left_weight - weight(at)).max(MIN_WEIGHT);
    }
    shares
}

/// `AccountKey` identifies a client account at a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AccountKey {
    /// The hash of the service's name.
    pub service: u32,
    /// The account.
    pub account: AccountCode,
}

/// `WorkSum` is the recent work of an account at a service, as sums that decay.
///
/// ```
/// use anvilhook_core::fair_shares::WorkSum;
/// use anvilhook_core::units::Millis;
///
/// let sum = WorkSum { asked_ms: 100.0, sent_ms: 50.0 };
/// let later = sum.after(Millis(2_000));
/// assert!((later.asked_ms - 36.8).abs() < 0.1 && (later.sent_ms - 18.4).abs() < 0.1);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkSum {
    /// The work that was requested, in milliseconds of engine time.
    pub asked_ms: f64,
    /// The part of it that was sent to engines.
    pub sent_ms: f64,
}

impl WorkSum {
    /// Returns what is left of the sum after a time.
    pub fn after(self, time: Millis) -> Self {
        let factor = (-(time.0 as f64) / DECAY_MS).exp();
        Self { asked_ms: self.asked_ms * factor, sent_ms: self.sent_ms * factor }
    }

    fn add(&mut self, other: Self) {
        self.asked_ms += other.asked_ms;
        self.sent_ms += other.sent_ms;
    }
}

/// `AccountSum` is a [`WorkSum`] in the form in which instances exchange it, in whole milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountSum {
    /// The account and the service.
    pub key: AccountKey,
    /// The work that was requested, in milliseconds.
    pub asked_ms: u32,
    /// The part of it that was sent to engines, in milliseconds.
    pub sent_ms: u32,
}

impl AccountSum {
    fn of(key: AccountKey, sum: WorkSum) -> Self {
        Self { key, asked_ms: sum.asked_ms.round() as u32, sent_ms: sum.sent_ms.round() as u32 }
    }

    fn sum(&self) -> WorkSum {
        WorkSum { asked_ms: f64::from(self.asked_ms), sent_ms: f64::from(self.sent_ms) }
    }
}

/// `Excesses` are the accounts above their shares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Excesses {
    /// The excess of each account that has one: what it requested above its share, as a factor of the share.
    pub by_account: HashMap<AccountKey, f64>,
    /// The services with less capacity than is requested.
    pub contended: HashSet<u32>,
}

impl Excesses {
    /// Computes the excesses from the sums of all accounts. `is_local` states that only the sums of this
    /// instance are known, and `before` are the excesses computed last.
    ///
    /// The capacity of a service is the work that was sent to its engines. The excess follows from what an
    /// account requested, not from what it was given: an account that is held back to its share would
    /// otherwise have no excess any more, and the requests of the others would queue behind its requests again.
    ///
    /// ```
    /// use anvilhook_core::fair_shares::{AccountKey, Excesses, WorkSum};
    /// use anvilhook_core::usage::AccountCode;
    ///
    /// let key = |account| AccountKey { service: 1, account: AccountCode(account) };
    /// let sums = [
    ///     (key(1), WorkSum { asked_ms: 900.0, sent_ms: 500.0 }),
    ///     (key(2), WorkSum { asked_ms: 100.0, sent_ms: 100.0 }),
    /// ];
    /// let excesses = Excesses::of(&sums.into(), false, &Excesses::default());
    /// assert!((excesses.by_account[&key(1)] - 0.8).abs() < 1e-9);
    /// assert!(!excesses.by_account.contains_key(&key(2)));
    /// ```
    pub fn of(sums: &HashMap<AccountKey, WorkSum>, is_local: bool, before: &Excesses) -> Self {
        let thresholds = |key: &AccountKey| match before.by_account.contains_key(key) {
            _ if is_local => (MIN_EXCESS, LOCAL_SIZE_FACTOR),
            true => (MIN_KEPT_EXCESS, KEPT_SIZE_FACTOR),
            false => (MIN_EXCESS, SIZE_FACTOR),
        };
        let mut by_service: HashMap<u32, Vec<(AccountKey, WorkSum)>> = HashMap::new();
        for (key, sum) in sums.iter().filter(|(_, sum)| sum.asked_ms >= MIN_ACTIVE_MS) {
            by_service.entry(key.service).or_default().push((*key, *sum));
        }
        let mut excesses = Self::default();
        for (service, mut accounts) in by_service {
            let asked_ms: f64 = accounts.iter().map(|(_, sum)| sum.asked_ms).sum();
            let sent_ms: f64 = accounts.iter().map(|(_, sum)| sum.sent_ms).sum();
            if sent_ms > asked_ms * (1.0 - MIN_UNMET_SHARE) {
                continue;
            }
            excesses.contended.insert(service);
            // Without any capacity there is nothing to divide.
            if sent_ms < MIN_ACTIVE_MS {
                continue;
            }
            accounts.sort_by(|(_, a), (_, b)| a.asked_ms.total_cmp(&b.asked_ms));
            let demands = accounts.iter().map(|(_, sum)| Demand::of(sum));
            let shares = fair_shares(sent_ms, &demands.collect::<Vec<_>>());
            let (mut smaller, mut smaller_ms) = (0, 0.0);
            for ((key, sum), share_ms) in accounts.iter().zip(shares) {
                let (min_excess, size_factor) = thresholds(key);
                // The factors differ among accounts, so the position can move back by a few.
                while smaller > 0 && accounts[smaller - 1].1.asked_ms * size_factor > sum.asked_ms {
                    smaller -= 1;
                    smaller_ms -= accounts[smaller].1.asked_ms;
                }
                while accounts[smaller].1.asked_ms * size_factor <= sum.asked_ms {
                    smaller_ms += accounts[smaller].1.asked_ms;
                    smaller += 1;
                }
                let excess = (sum.asked_ms / share_ms - 1.0).min(MAX_EXCESS);
                if excess >= min_excess
                    && smaller_ms >= sent_ms * MIN_PROTECTED_SHARE
                    && smaller > 0
                {
                    excesses.by_account.insert(*key, excess);
                }
            }
        }
        excesses
    }

    /// Returns the `most` largest excesses, in percent.
    pub fn largest(&self, most: usize) -> Vec<(AccountKey, u32)> {
        let percent = |excess: f64| (excess * 100.0).round() as u32;
        let mut all: Vec<_> =
            self.by_account.iter().map(|(key, excess)| (*key, percent(*excess))).collect();
        all.sort_unstable_by_key(|(key, percent)| (std::cmp::Reverse(*percent), *key));
        all.truncate(most);
        all
    }
}

impl Demand {
    fn of(sum: &WorkSum) -> Self {
        Self { asked_ms: sum.asked_ms, weight: 1.0 }
    }
}

/// `Origin` identifies the message that a value came from.
///
/// A value of the same sender is replaced only by one with a higher sequence, so that duplicated and delayed
/// messages change nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Origin {
    /// The number of the sender's process.
    pub sender: u64,
    /// The number of the sender's publication.
    pub sequence: u32,
    /// When the message was received.
    pub received_at: Millis,
}

impl Origin {
    fn replaces(&self, before: &Origin) -> bool {
        self.sender != before.sender || self.sequence > before.sequence
    }

    fn is_valid(&self, now: Millis) -> bool {
        self.received_at + MAX_AGE > now
    }
}

/// `AccountSums` holds the recent work of client accounts at all instances as far as this instance knows it.
///
/// ```
/// use anvilhook_core::fair_shares::{AccountKey, AccountSums, Origin};
/// use anvilhook_core::units::Millis;
/// use anvilhook_core::usage::{AccountCode, Source};
///
/// let key = AccountKey { service: 1, account: AccountCode(7) };
/// let (mut one, mut other) = (AccountSums::default(), AccountSums::default());
/// one.record_asked(key, 40.0, Millis(0));
/// let origin = Origin { sender: 1, sequence: 1, received_at: Millis(0) };
/// let source = Source::Instance { zone: 3, number: 1 };
/// other.merge(source, origin, &one.own(Millis(0)));
/// other.merge(source, origin, &one.own(Millis(0)));
/// assert_eq!(other.totals(3, Millis(0))[&key].asked_ms, 40.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AccountSums {
    own: HashMap<AccountKey, (Millis, WorkSum)>,
    others: HashMap<(Source, AccountKey), (Origin, WorkSum)>,
    /// The excesses that the leader of the zone sent last.
    received: Option<(Origin, Excesses)>,
}

impl AccountSums {
    /// Records work that an account requests here.
    pub fn record_asked(&mut self, key: AccountKey, work_ms: f64, now: Millis) {
        self.record(key, WorkSum { asked_ms: work_ms, sent_ms: 0.0 }, now);
    }

    /// Records requested work that is sent to an engine.
    pub fn record_sent(&mut self, key: AccountKey, work_ms: f64, now: Millis) {
        self.record(key, WorkSum { asked_ms: 0.0, sent_ms: work_ms }, now);
    }

    fn record(&mut self, key: AccountKey, work: WorkSum, now: Millis) {
        if self.own.len() >= MAX_OWN_SUMS && !self.own.contains_key(&key) {
            return;
        }
        let (at, sum) = self.own.entry(key).or_insert((now, WorkSum::default()));
        *sum = sum.after(now - std::mem::replace(at, now));
        sum.add(work);
    }

    /// Returns this instance's own sums.
    pub fn own(&self, now: Millis) -> Vec<AccountSum> {
        let current = self.own.iter().map(|(key, (at, sum))| (*key, sum.after(now - *at)));
        sorted(current)
    }

    /// Returns the sums of all instances of the availability zone `zone`, which is this instance's own.
    pub fn zone_sums(&self, zone: u32, now: Millis) -> Vec<AccountSum> {
        sorted(self.sums_where(
            now,
            |source| matches!(source, Source::Instance { zone: of, .. } if of == zone),
        ))
    }

    /// Returns the sums of all instances, for an instance of the availability zone `zone`.
    ///
    /// Where the sums of a whole zone are known, those of its instances are not added to them.
    pub fn totals(&self, zone: u32, now: Millis) -> HashMap<AccountKey, WorkSum> {
        let valid = self.others.iter().filter(|(_, (origin, _))| origin.is_valid(now));
        let whole: HashSet<u32> = valid
            .filter_map(|((source, _), _)| match source {
                Source::Zone(of) if *of != zone => Some(*of),
                _ => None,
            })
            .collect();
        self.sums_where(now, |source| match source {
            Source::Zone(of) => of != zone,
            Source::Instance { zone: of, .. } => !whole.contains(&of),
        })
    }

    fn sums_where(
        &self,
        now: Millis,
        is_counted: impl Fn(Source) -> bool,
    ) -> HashMap<AccountKey, WorkSum> {
        let mut sums: HashMap<AccountKey, WorkSum> =
            self.own.iter().map(|(key, (at, sum))| (*key, sum.after(now - *at))).collect();
        for ((source, key), (origin, sum)) in &self.others {
            if origin.is_valid(now) && is_counted(*source) {
                sums.entry(*key).or_default().add(sum.after(now - origin.received_at));
            }
        }
        sums
    }

    /// Merges the sums of another instance, or those of an availability zone from its leader.
    pub fn merge(&mut self, source: Source, origin: Origin, sums: &[AccountSum]) {
        for sum in sums {
            let entry = (source, sum.key);
            let is_newer = match self.others.get(&entry) {
                Some((before, _)) => origin.replaces(before),
                None => self.others.len() < MAX_SUMS,
            };
            if is_newer {
                self.others.insert(entry, (origin, sum.sum()));
            }
        }
    }

    /// Merges the excesses that the leader of this instance's zone has computed, in percent.
    pub fn merge_excesses(&mut self, origin: Origin, excesses: &[(AccountKey, u32)]) {
        if self.received.as_ref().is_some_and(|(before, _)| !origin.replaces(before)) {
            return;
        }
        let by_account: HashMap<AccountKey, f64> =
            excesses.iter().map(|(key, percent)| (*key, f64::from(*percent) / 100.0)).collect();
        let contended = by_account.keys().map(|key| key.service).collect();
        self.received = Some((origin, Excesses { by_account, contended }));
    }

    /// Returns the excesses that are in force: those that the leader sent, or else those that follow from the
    /// sums known here. `before` are those returned last.
    pub fn excesses(&self, zone: u32, before: &Excesses, now: Millis) -> Excesses {
        match &self.received {
            Some((origin, received)) if origin.is_valid(now) => received.clone(),
            _ => self.computed_excesses(zone, before, now),
        }
    }

    /// Returns the excesses that follow from the sums known here, whatever a leader sent.
    ///
    /// A leader must send these: two instances that both act as leaders for a moment would otherwise send each
    /// other's excesses back and forth without end.
    pub fn computed_excesses(&self, zone: u32, before: &Excesses, now: Millis) -> Excesses {
        let is_local = !self.others.values().any(|(origin, _)| origin.is_valid(now));
        Excesses::of(&self.totals(zone, now), is_local, before)
    }

    /// Drops the values that have expired.
    pub fn drop_expired(&mut self, now: Millis) {
        self.others.retain(|_, (origin, _)| origin.is_valid(now));
        self.own.retain(|_, (at, sum)| sum.after(now - *at).asked_ms >= MIN_ACTIVE_MS / 2.0);
        self.received.take_if(|(origin, _)| !origin.is_valid(now));
    }
}

/// Returns the sums of active accounts in the form in which instances exchange them, the largest first.
fn sorted(sums: impl IntoIterator<Item = (AccountKey, WorkSum)>) -> Vec<AccountSum> {
    let sums = sums.into_iter().map(|(key, sum)| AccountSum::of(key, sum));
    let mut sums: Vec<_> = sums.filter(|sum| f64::from(sum.asked_ms) >= MIN_ACTIVE_MS).collect();
    sums.sort_unstable_by_key(|sum| (std::cmp::Reverse(sum.asked_ms), sum.key));
    sums
}

/// `Contender` is a request that waits while engines are busy, with what decides whether it lets requests of
/// other accounts pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contender {
    /// The excess of its account.
    pub excess: f64,
    /// The time since it arrived.
    pub age: Millis,
    /// The time from its arrival within which its answer must begin; it lets others pass only if it could
    /// still be answered in that time.
    pub limit: Millis,
    /// The number of requests without excess that are held back at this instance, for the same service and
    /// stage, because engines are too busy for them.
    pub others_held: u32,
}

impl Contender {
    /// Returns whether the request could be answered within its limit if its work, with what is queued before
    /// it at the engine, takes `work_ms` from now on.
    fn has_time(&self, work_ms: f64) -> bool {
        self.age.0 as f64 + work_ms + FIRST_EVENT_MS < self.limit.0 as f64
    }

    /// Returns whether a prompt that could be sent to its prefill engine lets others pass. The arguments are
    /// those of [`pace_reading`](crate::pacing::pace_reading).
    ///
    /// ```
    /// use anvilhook_core::fair_shares::Contender;
    /// use anvilhook_core::units::Millis;
    ///
    /// let contender =
    ///     Contender { excess: 0.8, age: Millis(0), limit: Millis(250), others_held: 0 };
    /// assert!(contender.yields_reading(12.0, 200.0, Millis(250)));
    /// assert!(!contender.yields_reading(12.0, 20.0, Millis(250)));
    /// assert!(!Contender { excess: 0.0, ..contender }.yields_reading(12.0, 200.0, Millis(250)));
    /// ```
    pub fn yields_reading(&self, work_ms: f64, backlog_ms: f64, tightest: Millis) -> bool {
        let is_busy = self.others_held > 0 || backlog_ms > tightest.0 as f64 * BACKLOG_SHARE;
        self.excess > 0.0 && is_busy && self.has_time(backlog_ms * CERTAIN_SHARE + work_ms)
    }

    /// Returns whether a prompt that has been read and could be sent to its decode engine lets others pass.
    /// The arguments are those of [`pace_generating`](crate::pacing::pace_generating).
    ///
    /// ```
    /// use anvilhook_core::fair_shares::Contender;
    /// use anvilhook_core::pacing::Slots;
    /// use anvilhook_core::units::Millis;
    ///
    /// let contender =
    ///     Contender { excess: 0.8, age: Millis(0), limit: Millis(250), others_held: 0 };
    /// assert!(contender.yields_generating(5.0, Slots { slots: 16, in_flight: 14 }));
    /// assert!(!contender.yields_generating(5.0, Slots { slots: 16, in_flight: 13 }));
    /// ```
    pub fn yields_generating(&self, first_event_ms: f64, slots: Slots) -> bool {
        let reserve = (f64::from(slots.slots) * SLOT_RESERVE).max(1.0);
        let open = (f64::from(slots.slots) - reserve).max(1.0);
        let is_busy = self.others_held > 0 || f64::from(slots.in_flight) >= open;
        self.excess > 0.0 && is_busy && self.has_time(first_event_ms)
    }
}
