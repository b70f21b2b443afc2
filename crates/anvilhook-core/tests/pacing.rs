//! Simulates worst-case loads in virtual time to test when waiting work is sent to engines.

use std::collections::BinaryHeap;

use anvilhook_core::pacing::{Pace, Slots, Waiting, pace_generating, pace_reading};
use anvilhook_core::units::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// `Kind` holds the objective and the caller's wait limit of a kind of request, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Kind {
    objective: u64,
    wait_limit: u64,
}

const QUESTION: Kind = Kind { objective: 250, wait_limit: 2_000 };
const DESCRIPTION: Kind = Kind { objective: 600, wait_limit: 2_400 };

/// `Piece` is a prompt, or the output for a prompt, with the time that an engine needs for it in `work`.
#[derive(Clone, Copy, Debug)]
struct Piece {
    kind: Kind,
    arrived: u64,
    work: u64,
}

impl Piece {
    fn waiting(&self, now: u64) -> Waiting {
        Waiting {
            age: Millis(now - self.arrived),
            objective: Millis(self.kind.objective),
            wait_limit: Millis(self.kind.wait_limit),
        }
    }
}

/// `Outcome` counts, for each kind, the pieces and those that met their objective. It also records the
/// longest time that a piece waited before it was sent.
#[derive(Debug, Default)]
struct Outcome {
    questions: usize,
    questions_on_time: usize,
    descriptions: usize,
    descriptions_on_time: usize,
    longest_wait: u64,
}

impl Outcome {
    fn record(&mut self, piece: &Piece, sent: u64, output_begun: u64) {
        let is_on_time = usize::from(output_begun - piece.arrived <= piece.kind.objective);
        if piece.kind.objective == QUESTION.objective {
            self.questions += 1;
            self.questions_on_time += is_on_time;
        } else {
            self.descriptions += 1;
            self.descriptions_on_time += is_on_time;
        }
        self.longest_wait = self.longest_wait.max(sent - piece.arrived);
    }
}

/// Returns bursts of prompts. Every 400 ms, twelve questions of 12 ms and five descriptions arrive. The
/// descriptions have a heavy tail: one in ten is eight times as long as the others.
fn bursts_of_prompts(seed: u64) -> Vec<Piece> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut pieces = Vec::new();
    for burst in 0..60u64 {
        let mut add = |kind, work| {
            pieces.push(Piece { kind, arrived: burst * 400 + rng.random_range(0..60), work });
        };
        (0..12).for_each(|_| add(QUESTION, 12));
        (0..5).for_each(|at| add(DESCRIPTION, if (burst + at) % 10 == 0 { 800 } else { 100 }));
    }
    pieces.sort_by_key(|piece| piece.arrived);
    pieces
}

/// Simulates engines that prefill prompts in the order of arrival. Waiting prompts are checked every 2 ms,
/// and each that is sent goes to the engine with the smallest backlog.
fn simulate_readers(pieces: &[Piece], readers: usize, is_paced: bool) -> Outcome {
    let mut free_at = vec![0u64; readers];
    let mut outcome = Outcome::default();
    let mut held: Vec<Piece> = Vec::new();
    let mut arrivals = pieces.iter().copied().peekable();
    let mut now = 0;
    while !held.is_empty() || arrivals.peek().is_some() {
        while let Some(piece) = arrivals.next_if(|piece| piece.arrived <= now) {
            held.push(piece);
        }
        held.retain(|piece| {
            let reader = (0..readers).min_by_key(|at| free_at[*at]).expect("readers");
            let backlog = free_at[reader].saturating_sub(now);
            let (work, waiting) = (piece.work as f64, piece.waiting(now));
            let pace = pace_reading(&waiting, work, backlog as f64, Millis(QUESTION.objective));
            if is_paced && pace == Pace::Hold {
                return true;
            }
            free_at[reader] = now.max(free_at[reader]) + piece.work;
            outcome.record(piece, now, free_at[reader]);
            false
        });
        now += 2;
    }
    outcome
}

/// Guards against short questions that are late although the readers are busy for little more than half of
/// the time. Prompts arrive in bursts, and some take eight times as long as others. If each is sent at once,
/// short prompts can't overtake long ones any more, since an engine prefills in the order of arrival.
#[test]
fn verify_short_prompts_overtake_long_ones_in_a_burst() {
    for seed in 1..=5 {
        let pieces = bursts_of_prompts(seed);

        let (paced, at_once) =
            (simulate_readers(&pieces, 3, true), simulate_readers(&pieces, 3, false));

        let share = |outcome: &Outcome| outcome.questions_on_time as f64 / outcome.questions as f64;
        assert!(share(&paced) > 0.93, "{paced:?}");
        assert!(share(&at_once) < 0.85, "{at_once:?}");
        assert!(paced.descriptions_on_time + 12 > at_once.descriptions_on_time, "{paced:?}");
        assert!(paced.longest_wait < DESCRIPTION.wait_limit, "{paced:?}");
    }
}

/// Guards against long prompts whose callers leave before they are served. For seconds, more short prompts
/// arrive than the readers can process, and all of them overtake the long prompt. It must still be sent
/// before its caller leaves.
#[test]
fn verify_no_prompt_is_overtaken_forever() {
    let mut pieces: Vec<Piece> =
        (0..3_000).map(|at| Piece { kind: QUESTION, arrived: at * 4, work: 14 }).collect();
    pieces.push(Piece { kind: DESCRIPTION, arrived: 1_000, work: 900 });
    pieces.sort_by_key(|piece| piece.arrived);

    let outcome = simulate_readers(&pieces, 3, true);

    assert_eq!(outcome.descriptions, 1);
    assert!(outcome.longest_wait > 1_000, "{outcome:?}");
    assert!(outcome.longest_wait < DESCRIPTION.wait_limit, "{outcome:?}");
}

/// Simulates outputs at one generator with `slots` slots. Without pacing they wait at the engine in the order
/// of arrival.
fn simulate_generator(pieces: &[Piece], slots: usize, is_paced: bool) -> Outcome {
    let mut outcome = Outcome::default();
    let mut slots_free_at: BinaryHeap<std::cmp::Reverse<u64>> = BinaryHeap::new();
    let mut held: Vec<Piece> = Vec::new();
    let mut queue = std::collections::VecDeque::new();
    let mut arrivals = pieces.iter().copied().peekable();
    let mut now = 0;
    while !held.is_empty() || !queue.is_empty() || arrivals.peek().is_some() {
        while slots_free_at.peek().is_some_and(|free_at| free_at.0 <= now) {
            slots_free_at.pop();
        }
        while let Some(piece) = arrivals.next_if(|piece| piece.arrived <= now) {
            held.push(piece);
        }
        held.retain(|piece| {
            let in_flight = (slots_free_at.len() + queue.len()) as u32;
            let engine_slots = Slots { slots: slots as u32, in_flight };
            let (work, waiting) = (piece.work as f64, piece.waiting(now));
            if is_paced && pace_generating(&waiting, 20.0, work, engine_slots) == Pace::Hold {
                return true;
            }
            queue.push_back((*piece, now));
            false
        });
        while slots_free_at.len() < slots
            && let Some((piece, sent)) = queue.pop_front()
        {
            slots_free_at.push(std::cmp::Reverse(now + piece.work));
            outcome.record(&piece, sent, now);
        }
        now += 2;
    }
    outcome
}

/// Guards against streams that all begin late during a burst of long outputs and after it. For three seconds
/// a fifth more streams arrive than there are slots for. In the order of arrival each waits behind all earlier
/// ones. Streams that can still be on time must go before those that are already late, so that only a few
/// have to wait.
#[test]
fn verify_a_burst_of_outputs_makes_a_few_streams_late_and_not_all() {
    let at = |arrived| Piece { kind: QUESTION, arrived, work: 600 };
    let (before, after) = ((0..200).map(|n| n * 10), (0..300).map(|n| 5_000 + n * 10));
    let burst = (0..600).map(|n| 2_000 + n * 5);
    let pieces: Vec<Piece> = before.chain(burst).chain(after).map(at).collect();

    let (paced, at_once) =
        (simulate_generator(&pieces, 100, true), simulate_generator(&pieces, 100, false));

    let late = |outcome: &Outcome| outcome.questions - outcome.questions_on_time;
    assert!(late(&at_once) > 100, "{at_once:?}");
    assert!(late(&paced) * 2 < late(&at_once), "{paced:?} {at_once:?}");
    assert!(paced.longest_wait < QUESTION.wait_limit, "{paced:?}");
}

#[test]
fn verify_engines_with_few_slots_are_used() {
    let waiting =
        Waiting { age: Millis(9_000), objective: Millis(100), wait_limit: Millis(100_000) };
    for slots in [1, 2, 3] {
        let engine_slots = Slots { slots, in_flight: 0 };
        assert_eq!(pace_generating(&waiting, 20.0, 5_000.0, engine_slots), Pace::Free, "{slots}");
    }
}
