//! Replays overload in virtual time, with and without queues of waiting requests, and checks the queue's
//! properties by generated cases.

use std::collections::BTreeMap;

use anvilhook_core::pacing::{Pace, Waiting, pace_reading};
use anvilhook_core::units::Millis;
use anvilhook_core::waiting_queues::{Demand, Ticket, WaitingQueue, is_too_late, retry_after};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 8;
const INSTANCES: usize = 4;
const TIGHTEST: Millis = Millis(250);
const FIRST_EVENT_MS: f64 = 60.0;

/// The interval at which a waiting request is checked without a change.
const POLL_MS: u64 = 16;

/// `Piece` is a request with the time that an engine needs for its prompt, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Piece {
    /// When the caller first sent it, and when it last did.
    first_at: u64,
    at: u64,
    objective: u64,
    wait_limit: u64,
    deadline: u64,
    work: f64,
    excess: f64,
}

impl Piece {
    fn long(at: u64, work: f64) -> Self {
        let (objective, wait_limit, deadline) = (1_200, 4_000, 8_000);
        Self { first_at: at, at, objective, wait_limit, deadline, work, excess: 0.0 }
    }

    fn short(at: u64) -> Self {
        let (objective, wait_limit, deadline) = (250, 2_000, 4_000);
        Self { objective, wait_limit, deadline, work: 8.0, ..Self::long(at, 0.0) }
    }

    fn demand(&self) -> Demand {
        Demand {
            excess: self.excess,
            since: Millis(self.at),
            objective: Millis(self.objective),
            wait_limit: Millis(self.wait_limit),
            work_ms: self.work + FIRST_EVENT_MS,
            load_ms: self.work,
        }
    }

    fn waiting(&self, now: u64) -> Waiting {
        Waiting {
            age: Millis(now - self.at),
            objective: Millis(self.objective),
            wait_limit: Millis(self.wait_limit),
        }
    }

    fn time_left(&self, now: u64) -> u64 {
        (self.first_at + self.deadline).saturating_sub(now)
    }
}

/// `Outcome` counts the callers of long prompts by how they were served, and all rejections. An answer is on
/// time if it begins within the objective after the caller first sent its request.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    on_time: u32,
    late: u32,
    unserved: u32,
    rejections: u32,
    /// The most rejected callers that returned within 20 ms.
    returned_together: u32,
    /// The engine time spent for callers that had left.
    wasted_ms: f64,
    shorts_on_time: u32,
}

impl Outcome {
    /// Returns the worth of the answers to long prompts, if an answer on time is worth 3.4 and a late one 1.5.
    fn worth(&self) -> f64 {
        3.4 * f64::from(self.on_time) + 1.5 * f64::from(self.late)
    }

    fn plus(self, other: Outcome) -> Outcome {
        Outcome {
            on_time: self.on_time + other.on_time,
            late: self.late + other.late,
            unserved: self.unserved + other.unserved,
            rejections: self.rejections + other.rejections,
            returned_together: self.returned_together.max(other.returned_together),
            wasted_ms: self.wasted_ms + other.wasted_ms,
            shorts_on_time: self.shorts_on_time + other.shorts_on_time,
        }
    }

    fn record(&mut self, piece: &Piece, ready: u64) {
        let is_on_time = ready <= piece.first_at + piece.objective;
        let has_left = ready > piece.at + piece.wait_limit;
        match (piece.objective == TIGHTEST.0, is_on_time, has_left) {
            (true, ..) => self.shorts_on_time += u32::from(is_on_time),
            (_, true, _) => self.on_time += 1,
            (_, _, false) => self.late += 1,
            (_, _, true) => {
                self.unserved += 1;
                self.wasted_ms += piece.work;
            }
        }
    }
}

/// `Callers` is how callers act on a rejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Callers {
    /// They return after the retry time, if they have three times as long left.
    Honouring,
    /// They return after 50 ms.
    ReturningAtOnce,
}

/// `Replay` is the state of all instances and engines in virtual time.
struct Replay {
    has_queues: bool,
    callers: Callers,
    /// By how much predictions are wrong, as a factor.
    error: f64,
    free_at: [u64; ENGINES],
    queues: Vec<WaitingQueue>,
    held: Vec<BTreeMap<Ticket, Piece>>,
    arrivals: Vec<Piece>,
    outcome: Outcome,
    returns: BTreeMap<u64, u32>,
}

impl Replay {
    fn run(pieces: &[Piece], has_queues: bool, callers: Callers, error: f64) -> Outcome {
        let mut replay = Replay {
            has_queues,
            callers,
            error,
            free_at: [0; ENGINES],
            queues: vec![WaitingQueue::default(); INSTANCES],
            held: vec![BTreeMap::new(); INSTANCES],
            arrivals: pieces.to_vec(),
            outcome: Outcome::default(),
            returns: BTreeMap::new(),
        };
        let mut now = 0;
        while !replay.arrivals.is_empty() || replay.held.iter().any(|held| !held.is_empty()) {
            let due: Vec<Piece> = replay.arrivals.extract_if(.., |piece| piece.at <= now).collect();
            for (number, piece) in due.into_iter().enumerate() {
                let instance = (now as usize + number) % INSTANCES;
                replay.queues[instance].record_change();
                if !replay.check(instance, None, piece, now) {
                    let ticket = replay.queues[instance].join(piece.demand(), Millis(now));
                    replay.held[instance].insert(ticket, piece);
                }
            }
            for instance in 0..INSTANCES {
                replay.check_held(instance, now);
            }
            now += 1;
        }
        let returns = replay.returns.values().copied().max();
        Outcome { returned_together: returns.unwrap_or_default(), ..replay.outcome }
    }

    /// Checks the waiting requests of an instance: in order after an engine became free, or each by itself.
    fn check_held(&mut self, instance: usize, now: u64) {
        let has_changed = self.free_at.contains(&now) || now.is_multiple_of(POLL_MS);
        if self.has_queues {
            if has_changed {
                self.queues[instance].record_change();
            }
            while let Some(ticket) = self.queues[instance].next_unchecked(Millis(now)) {
                let piece = self.held[instance][&ticket];
                if !self.check(instance, Some(ticket), piece, now) {
                    self.queues[instance].record_held(ticket);
                }
            }
        } else {
            let due = self.held[instance]
                .iter()
                .filter(|(_, piece)| (now - piece.at).is_multiple_of(POLL_MS));
            let due: Vec<(Ticket, Piece)> = due.map(|(ticket, piece)| (*ticket, *piece)).collect();
            for (ticket, piece) in due {
                self.check(instance, Some(ticket), piece, now);
            }
        }
    }

    /// Sends or rejects a request, or returns false if it has to wait.
    fn check(&mut self, instance: usize, ticket: Option<Ticket>, piece: Piece, now: u64) -> bool {
        let engine = (0..ENGINES).min_by_key(|at| self.free_at[*at]).expect("engines");
        let backlog_ms = self.free_at[engine].saturating_sub(now) as f64;
        let (demand, queue) = (piece.demand(), &self.queues[instance]);
        let expected_rate = ENGINES as f64 / INSTANCES as f64;
        let wait_ms = queue.predict(ticket, &demand, expected_rate, Millis(now)).wait_ms;
        let predicted_ms = (backlog_ms + wait_ms + demand.work_ms) * self.error;
        let pace_of = |work, waiting| pace_reading(waiting, work, backlog_ms, TIGHTEST);
        let mut pace = pace_of(piece.work, &piece.waiting(now));
        if self.has_queues && piece.work > 50.0 {
            let could_use = |other: &Demand| other.load_ms * backlog_ms <= 10_000.0;
            if is_too_late(predicted_ms, demand.time_left(Millis(now))) {
                pace = Pace::Hopeless;
            } else if queue.is_preceded(ticket, &demand, Millis(now), could_use) {
                pace = Pace::Hold;
            }
        }
        match pace {
            Pace::Hold => return false,
            Pace::Hopeless => {
                self.reject(&piece, predicted_ms, now);
                ticket.inspect(|ticket| assert!(self.queues[instance].leave(*ticket, Millis(now))));
            }
            Pace::Free | Pace::Due => {
                self.free_at[engine] = self.free_at[engine].max(now) + piece.work as u64;
                self.outcome.record(&piece, self.free_at[engine] + FIRST_EVENT_MS as u64);
                ticket.inspect(|ticket| assert!(self.queues[instance].send(*ticket, Millis(now))));
            }
        }
        ticket.inspect(|ticket| assert!(self.held[instance].remove(ticket).is_some()));
        true
    }

    fn reject(&mut self, piece: &Piece, predicted_ms: f64, now: u64) {
        self.outcome.rejections += 1;
        let (objective, left) = (Millis(piece.objective), piece.time_left(now));
        let spread = (piece.first_at + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let pause = match (self.callers, self.has_queues) {
            (Callers::ReturningAtOnce, _) => 50,
            (_, true) => retry_after(predicted_ms, objective, Millis(left), spread).0,
            (_, false) => 700,
        };
        if pause > 0 && pause <= left / 3 {
            *self.returns.entry((now + pause) / 20).or_default() += 1;
            self.arrivals.push(Piece { at: now + pause, ..*piece });
        } else {
            self.outcome.unserved += 1;
        }
    }
}

/// Returns 40 s of requests at `load` of the capacity, times `burst` in the first 2 of every 8 s, with seven
/// short prompts for each long one. `is_long` selects, by time, whether long prompts come at all.
fn pieces(seed: u64, load: f64, burst: f64, is_long: impl Fn(u64) -> bool) -> Vec<Piece> {
    const SHORTS: f64 = 7.0;
    const MEAN_MS: f64 = 480.0;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let per_ms = ENGINES as f64 * load / (MEAN_MS + SHORTS * 8.0);
    let mut pieces = Vec::new();
    for at in 0..40_000u64 {
        let rate = per_ms * if at % 8_000 < 2_000 { burst } else { 1.0 };
        if is_long(at) && rng.random_bool(rate) {
            let work = if rng.random_bool(0.1) { 1_000.0 } else { rng.random_range(250.0..596.0) };
            pieces.push(Piece::long(at, work));
        }
        let shorts =
            (rate * SHORTS).floor() as u64 + u64::from(rng.random_bool((rate * SHORTS).fract()));
        pieces.extend((0..shorts).map(|_| Piece::short(at)));
    }
    pieces
}

/// Returns the sum of the outcomes of five seeds, without and with queues. Predictions are exact.
fn outcomes(load: f64, burst: f64, is_long: fn(u64) -> bool, callers: Callers) -> [Outcome; 2] {
    outcomes_with_error(load, burst, is_long, callers, 1.0)
}

fn outcomes_with_error(
    load: f64,
    burst: f64,
    is_long: fn(u64) -> bool,
    callers: Callers,
    error: f64,
) -> [Outcome; 2] {
    [false, true].map(|has_queues| {
        let runs = (1..=5).map(|seed| {
            let pieces = pieces(seed, load, burst, is_long);
            Replay::run(&pieces, has_queues, callers, error)
        });
        runs.fold(Outcome::default(), Outcome::plus)
    })
}

/// Guards against requests of a burst that are late because others, which are late already, are sent before
/// them.
#[test]
fn verify_a_burst_makes_fewer_requests_late() {
    let [without, with] = outcomes(0.8, 1.9, |_| true, Callers::Honouring);

    assert!(with.on_time > without.on_time, "{with:?} {without:?}");
    assert!(with.unserved < without.unserved, "{with:?} {without:?}");
}

/// Guards against long prompts that are late after each change of the mix.
#[test]
fn verify_a_flipping_mix_makes_fewer_requests_late() {
    let is_long = |at| at % 5_600 < 2_800;

    let [without, with] = outcomes(1.3, 1.0, is_long, Callers::Honouring);

    assert!(with.on_time > without.on_time, "{with:?} {without:?}");
    assert!(with.late < without.late, "{with:?} {without:?}");
}

/// Guards against rejecting requests that would have been served, if predictions from stale information are wrong
/// by a factor of two in either direction.
#[test]
fn verify_wrong_predictions_leave_no_more_callers_without_an_answer() {
    for error in [0.5, 2.0] {
        let [without, with] = outcomes_with_error(0.8, 1.9, |_| true, Callers::Honouring, error);

        assert!(with.unserved < without.unserved, "{error}: {with:?} {without:?}");
        assert!(with.worth() > without.worth(), "{error}: {with:?} {without:?}");
    }
}

/// Guards against callers that leave without an answer under lasting overload, against engine time for callers
/// that have left, and against rejected callers that return together.
#[test]
fn verify_rejected_callers_are_served_later() {
    let [without, with] = outcomes(1.5, 1.9, |_| true, Callers::Honouring);

    assert!(with.unserved < without.unserved, "{with:?} {without:?}");
    assert!(with.worth() > without.worth(), "{with:?} {without:?}");
    assert!(with.returned_together < 10, "{with:?}");
}

/// Guards against rejections that gain no answers if callers return at once.
#[test]
fn verify_callers_that_return_at_once_take_no_engine_time() {
    let [without, with] = outcomes(1.5, 1.9, |_| true, Callers::ReturningAtOnce);

    assert!(with.on_time > without.on_time, "{with:?} {without:?}");
    assert!(with.wasted_ms <= without.wasted_ms, "{with:?} {without:?}");
    assert!(with.unserved * 100 < without.unserved * 105, "{with:?} {without:?}");
}

fn demand(since: u64, objective: u64, work_ms: f64) -> Demand {
    let (objective, wait_limit) = (Millis(objective), Millis(4_000));
    Demand { excess: 0.0, since: Millis(since), objective, wait_limit, work_ms, load_ms: work_ms }
}

/// Sends the first request in the order.
fn send_first(queue: &mut WaitingQueue, now: u64) -> Option<Ticket> {
    let first = queue.next_unchecked(Millis(now))?;
    assert!(queue.send(first, Millis(now)));
    Some(first)
}

/// Guards against serving an account above its share, or a request that is late anyway, before others.
#[test]
fn verify_the_order_of_waiting_requests() {
    let mut queue = WaitingQueue::default();
    let now = 1_500;
    let above_share = Demand { excess: 0.2, ..demand(1_000, 1_200, 100.0) };
    let late = queue.join(demand(100, 1_200, 100.0), Millis(now));
    let more_slack = queue.join(demand(1_300, 1_200, 100.0), Millis(now));
    let above_share = queue.join(above_share, Millis(now));
    let less_slack = queue.join(demand(1_000, 1_200, 100.0), Millis(now));

    let order: Vec<Ticket> = std::iter::from_fn(|| send_first(&mut queue, now)).collect();

    assert_eq!(order, [less_slack, more_slack, late, above_share]);
}

/// Guards against idle engines: the first request prefers another engine and is held, and the next one must
/// not wait for it. Before the first one was checked, the next one must not take its engine.
#[test]
fn verify_an_engine_is_left_to_the_first_request_until_that_was_checked() {
    let mut queue = WaitingQueue::default();
    let (first, second) = (demand(0, 1_200, 100.0), demand(1, 1_200, 100.0));
    let (first_ticket, ticket) = (queue.join(first, Millis(2)), queue.join(second, Millis(2)));
    let is_preceded = |queue: &WaitingQueue, could_use: bool| {
        queue.is_preceded(Some(ticket), &second, Millis(3), |_| could_use)
    };

    queue.record_change();
    assert!(is_preceded(&queue, true));
    assert!(!is_preceded(&queue, false), "the first one could not use this engine");
    queue.record_held(first_ticket);
    assert!(!is_preceded(&queue, true));
    queue.record_change();
    assert!(is_preceded(&queue, true), "the engines have changed");
    assert!(!queue.is_outdated(Some(ticket)) && queue.is_outdated(None));
    queue.record_held(ticket);
    assert!(queue.is_outdated(Some(ticket)), "it found no engine after the last change");
    assert!(queue.leave(first_ticket, Millis(3)));
    assert!(!is_preceded(&queue, true));
}

/// Guards against starvation. All other requests come first: they are on time, or their account is within its
/// share. The request must still be sent before its caller leaves.
#[test]
fn verify_no_request_starves() {
    for (excess, objective) in [(0.0, 100), (0.0, 1_200), (2.0, 1_200)] {
        let mut queue = WaitingQueue::default();
        let starving = Demand { excess, ..demand(0, objective, 100.0) };
        let ticket = queue.join(starving, Millis(0));
        let sent_at = (1..4_000).step_by(100).find(|now| {
            for _ in 0..2 {
                queue.join(demand(*now, 400, 100.0), Millis(*now));
            }
            send_first(&mut queue, *now) == Some(ticket)
        });

        assert!(sent_at.is_some_and(|at| at < 3_600), "{excess} {objective}: {sent_at:?}");
    }
}

/// Guards against a place that is lost or doubled, and a request that waits past its deadline, when requests
/// join, are held, are sent and leave in any sequence.
#[test]
fn verify_places_are_neither_lost_nor_doubled() {
    const SEED: u64 = 20_261_203;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in 0..300 {
        let mut queue = WaitingQueue::default();
        let mut expected: BTreeMap<Ticket, Demand> = BTreeMap::new();
        let mut now = 0;
        for step in 0..200 {
            now += rng.random_range(0..60);
            let some = expected.keys().nth(rng.random_range(0..8)).copied();
            match (rng.random_range(0..6), some) {
                (0..2, _) => {
                    let mut joining =
                        demand(now, rng.random_range(1..3_000), rng.random_range(0.0..900.0));
                    joining.excess = f64::from(rng.random_range(0..2u8));
                    assert!(expected.insert(queue.join(joining, Millis(now)), joining).is_none());
                }
                (2, _) => {
                    queue.record_change();
                    while let Some(next) = queue.next_unchecked(Millis(now)) {
                        let held = expected[&next];
                        let is_preceded =
                            queue.is_preceded(Some(next), &held, Millis(now), |_| true);
                        assert!(!is_preceded, "{SEED} {case} {step}: {next:?} was next");
                        queue.record_held(next);
                    }
                }
                (3, Some(ticket)) => {
                    expected.remove(&ticket);
                    assert!(queue.leave(ticket, Millis(now)));
                    assert!(!queue.leave(ticket, Millis(now)) && !queue.send(ticket, Millis(now)));
                }
                (4, _) => {
                    queue.record_change();
                    let first = send_first(&mut queue, now);
                    assert_eq!(
                        first.map(|first| expected.remove(&first).is_some()),
                        first.map(|_| true)
                    );
                }
                (_, Some(ticket)) => {
                    let waiting = expected[&ticket];
                    let prediction = queue.predict(Some(ticket), &waiting, 1.0, Millis(now));
                    assert!(
                        (prediction.position as usize) < expected.len(),
                        "{SEED} {case} {step}"
                    );
                    assert!(prediction.wait_ms.is_finite() && prediction.wait_ms >= 0.0);
                    let is_over = now >= waiting.since.0 + waiting.wait_limit.0;
                    let is_last_call = waiting.is_last_call(Millis(now));
                    assert!(!is_over || is_too_late(1.0, waiting.time_left(Millis(now))));
                    assert!(
                        !is_last_call
                            || !queue.is_preceded(Some(ticket), &waiting, Millis(now), |_| true)
                    );
                }
                (_, None) => {}
            }
            assert_eq!(queue.len(), expected.len(), "{SEED} {case} {step}");
        }
    }
}

/// Guards against retry times that callers don't honour, that are too short to change anything, or that bring
/// callers back together.
#[test]
fn verify_retry_times_are_bounded_and_spread() {
    const SEED: u64 = 20_261_204;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in 0..10_000 {
        let (predicted_ms, left) = (rng.random_range(0.0..50_000.0), rng.random_range(0..9_000));
        let objective = Millis(rng.random_range(1..3_000));
        let retry = |spread| retry_after(predicted_ms, objective, Millis(left), spread).0;

        let (soonest, some, latest) = (retry(0), retry(rng.random()), retry(u64::MAX));

        assert!(latest <= left / 3, "{SEED} {case}");
        assert!(soonest >= 60.min(left / 3), "{SEED} {case}");
        assert!((soonest..=latest).contains(&some), "{SEED} {case}");
        assert!(left < 600 || latest * 3 >= soonest * 4, "{SEED} {case}: {soonest} {latest}");
    }
}

/// Guards against rejecting requests that would be served. The rate at which the queue drains is overestimated
/// by a factor of two at first; it is then measured.
#[test]
fn verify_the_predicted_wait_follows_the_observed_rate() {
    let mut queue = WaitingQueue::default();
    for number in 0..200 {
        queue.join(demand(number, 1_200, 100.0), Millis(number));
    }
    let last = demand(200, 1_200, 100.0);
    let at_first = queue.predict(None, &last, 2.0, Millis(200)).wait_ms;
    assert!((10_000.0..15_000.0).contains(&at_first), "{at_first}");
    for now in (300..8_000).step_by(100) {
        send_first(&mut queue, now);
    }

    let rate = queue.drain_rate(2.0, Millis(8_000));

    assert!((0.9..1.3).contains(&rate), "{rate}");
}
