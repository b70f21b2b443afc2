//! Divides a request rate among instances that do not coordinate each request.
//!
//! Designed for: an upstream in need that names the requests a second which it accepts from all instances
//! together, with one to several hundred instances. Each instance knows only how many there are and its own
//! position among them; messages between them may all be lost.
//!
//! Time is divided into turns. The quotas of all positions in one turn add up to the rate, and each position
//! gets its share over several turns. Where there are more instances than requests in a turn, most of them
//! have no quota in it: an instance that always had one request in hand would make the sum as large as the
//! number of instances.

use crate::units::{Millis, WallTime};

/// The length of a turn.
pub const TURN: Millis = Millis(1_000);

/// The number of turns after which positions are exchanged. Within them, quotas depend on the time since their
/// first turn only, so that instances which know slightly different rates still get different turns.
const EXCHANGE_TURNS: u64 = 64;

/// The lowest and the highest rate that is divided, in requests a second. No answer of an upstream that named a
/// lower one could ever end its limit, and quotas of a higher one can't be computed exactly.
const MIN_PER_S: f64 = 0.25;
const MAX_PER_S: f64 = 1e6;

/// The maximum number of turns that are searched for the next one with a quota.
const MAX_TURNS: u64 = 2_000;

/// The share of the time left to a request, and to its objective, for which it may wait. The rest is for the
/// work.
const WAITING_SHARE: f64 = 0.5;

/// The fraction of the positions by which they are exchanged; its multiples are spread evenly.
const EXCHANGE_FRACTION: f64 = 0.618_033_988_749_895;

/// `RateShare` is the position of an instance among all instances that share a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateShare {
    position: usize,
    instances: usize,
}

impl RateShare {
    /// Creates the share of the instance at a position, counted from 0, among a number of instances.
    ///
    /// ```
    /// use anvilhook_core::rate_shares::RateShare;
    /// use anvilhook_core::units::WallTime;
    ///
    /// let shares = (0..4).map(|position| RateShare::new(position, 4));
    /// let sum: u32 = shares.map(|share| share.quota(10.0, share.turn_at(WallTime(0)))).sum();
    /// assert_eq!(sum, 10);
    /// ```
    pub fn new(position: usize, instances: usize) -> Self {
        let instances = instances.max(1);
        Self { position: position % instances, instances }
    }

    /// Returns the number of instances.
    pub fn instances(self) -> usize {
        self.instances
    }

    /// Returns the number of the turn at a time. The turns of different positions begin at different times,
    /// so that a busy upstream does not get the requests of all instances at once.
    pub fn turn_at(self, time: WallTime) -> u64 {
        time.0.saturating_add(self.offset()) / TURN.0
    }

    /// Returns when a turn begins.
    pub fn start_of(self, turn: u64) -> WallTime {
        WallTime((turn * TURN.0).saturating_sub(self.offset()))
    }

    fn offset(self) -> u64 {
        TURN.0 * self.position as u64 / self.instances as u64
    }

    /// Returns how many requests the instance may send in a turn, at a rate of `per_s` for all instances.
    pub fn quota(self, per_s: f64, turn: u64) -> u32 {
        let rate = per_s.clamp(MIN_PER_S, MAX_PER_S) * TURN.as_secs_f64();
        let (exchange, turn) = (turn / EXCHANGE_TURNS, turn % EXCHANGE_TURNS);
        let position = self.position_after(exchange) as f64;
        // For all positions p of n, the sum of floor((x + p) / n) is floor(x).
        let total = |turns: u64| ((turns as f64 * rate + position) / self.instances as f64).floor();
        (total(turn + 1) - total(turn)) as u32
    }

    fn position_after(self, exchange: u64) -> usize {
        let fraction = (exchange as f64 * EXCHANGE_FRACTION).fract();
        (self.position + (fraction * self.instances as f64) as usize) % self.instances
    }

    /// Returns the next turn after `turn` in which the instance has a quota.
    pub fn next_turn(self, per_s: f64, turn: u64) -> u64 {
        let last = turn + MAX_TURNS;
        (turn + 1..last).find(|turn| self.quota(per_s, *turn) > 0).unwrap_or(last)
    }
}

/// `QuotaMeter` counts what an instance has used of its quota in the current turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaMeter {
    turn: u64,
    used: u32,
}

impl QuotaMeter {
    /// Returns whether a request may be sent.
    pub fn has_quota(&self, share: RateShare, per_s: f64, time: WallTime) -> bool {
        self.left(share, per_s, time) > 0
    }

    /// Returns how many requests may be sent in the current turn.
    pub fn left(&self, share: RateShare, per_s: f64, time: WallTime) -> u32 {
        let turn = share.turn_at(time);
        share.quota(per_s, turn).saturating_sub(self.used_in(turn))
    }

    /// Takes one request from the quota. Returns false if none is left.
    ///
    /// ```
    /// use anvilhook_core::rate_shares::{QuotaMeter, RateShare};
    /// use anvilhook_core::units::WallTime;
    ///
    /// let (share, mut meter) = (RateShare::new(0, 1), QuotaMeter::default());
    /// assert!(meter.try_take(share, 1.0, WallTime(5_000)));
    /// assert!(!meter.try_take(share, 1.0, WallTime(5_900)));
    /// assert_eq!(meter.next_at(share, 1.0, WallTime(5_900)), WallTime(6_000));
    /// assert!(meter.try_take(share, 1.0, WallTime(6_000)));
    /// ```
    pub fn try_take(&mut self, share: RateShare, per_s: f64, time: WallTime) -> bool {
        let turn = share.turn_at(time);
        let used = self.used_in(turn);
        let is_left = used < share.quota(per_s, turn);
        *self = Self { turn, used: used + u32::from(is_left) };
        is_left
    }

    /// Returns when the next request may be sent.
    pub fn next_at(&self, share: RateShare, per_s: f64, time: WallTime) -> WallTime {
        if self.has_quota(share, per_s, time) {
            return time;
        }
        share.start_of(share.next_turn(per_s, share.turn_at(time)))
    }

    fn used_in(&self, turn: u64) -> u32 {
        if self.turn == turn { self.used } else { 0 }
    }
}

/// `QuotaQueue` is what is known when a request could be sent only within a quota that is used up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaQueue {
    /// The time until the instance may send the next request.
    pub next_in: Millis,
    /// The requests that wait for the same quotas and come first.
    pub ahead: u32,
    /// The requests a second that the instance may send within these quotas.
    pub per_s: f64,
}

/// `QueueDecision` is whether a request waits for a quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// It waits.
    Wait,
    /// It is refused at once; a repeat can be sent after this time.
    Refuse(Millis),
}

impl QuotaQueue {
    /// Decides whether a request waits whose caller waits for `time_left`, and whose answer should begin within
    /// `objective_left`.
    ///
    /// A request behind others waits only if it can be on time. If more requests arrive than the quotas allow,
    /// a longer queue would make all of them late, and no more of them would be served.
    ///
    /// ```
    /// use anvilhook_core::rate_shares::{QueueDecision, QuotaQueue};
    /// use anvilhook_core::units::Millis;
    ///
    /// let first = QuotaQueue { next_in: Millis(200), ahead: 0, per_s: 2.0 };
    /// assert_eq!(first.decide(Millis(1_000), Millis(100)), QueueDecision::Wait);
    /// assert_eq!(first.decide(Millis(300), Millis(100)), QueueDecision::Refuse(Millis(200)));
    /// let behind = QuotaQueue { ahead: 1, ..first };
    /// assert_eq!(behind.decide(Millis(9_000), Millis(1_500)), QueueDecision::Wait);
    /// assert_eq!(behind.decide(Millis(9_000), Millis(1_000)), QueueDecision::Refuse(Millis(700)));
    /// ```
    pub fn decide(&self, time_left: Millis, objective_left: Millis) -> QueueDecision {
        let behind_ms = f64::from(self.ahead) / self.per_s.max(MIN_PER_S) * 1e3;
        let wait = self.next_in + Millis(behind_ms as u64);
        let limit = if self.ahead == 0 { time_left } else { objective_left.min(time_left) };
        let is_in_time = wait.0 as f64 <= limit.0 as f64 * WAITING_SHARE;
        if is_in_time { QueueDecision::Wait } else { QueueDecision::Refuse(wait) }
    }
}
