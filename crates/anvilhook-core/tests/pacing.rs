//! Loads at their worst, replayed against the decisions on when work is sent, in virtual time.

use std::collections::BinaryHeap;

use anvilhook_core::pacing::{Pace, Slots, Waiting, pace_generating, pace_reading};
use anvilhook_core::units::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The objective and the caller's patience of a kind of request, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Kind {
    objective: u64,
    patience: u64,
}

const QUESTION: Kind = Kind { objective: 250, patience: 2_000 };
const DESCRIPTION: Kind = Kind { objective: 600, patience: 2_400 };

/// `Piece` is a prompt, or a prompt's output, with the time that an engine works on it.
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
            wait_limit: Millis(self.kind.patience),
        }
    }
}

/// What became of a load: for each kind by its objective, how many were on time, and the longest
/// wait before the sending.
#[derive(Debug, Default)]
struct Tally {
    questions: usize,
    questions_on_time: usize,
    descriptions: usize,
    descriptions_on_time: usize,
    longest_wait: u64,
}

impl Tally {
    fn note(&mut self, piece: &Piece, sent: u64, begun: u64) {
        let is_on_time = usize::from(begun - piece.arrived <= piece.kind.objective);
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

/// Returns clumps of prompts: every 400 ms come twelve questions of 12 ms and five descriptions with
/// a heavy tail, one in ten of them eight times as long as the rest.
fn clumps_of_prompts(seed: u64) -> Vec<Piece> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut pieces = Vec::new();
    for clump in 0..60u64 {
        let mut add = |kind, work| {
            pieces.push(Piece { kind, arrived: clump * 400 + rng.random_range(0..60), work });
        };
        (0..12).for_each(|_| add(QUESTION, 12));
        (0..5).for_each(|at| add(DESCRIPTION, if (clump + at) % 10 == 0 { 800 } else { 100 }));
    }
    pieces.sort_by_key(|piece| piece.arrived);
    pieces
}

/// Plays prompts at readers that read in the order of arrival. What waits is looked at every 2 ms,
/// and goes to the reader with the least backlog.
fn read(pieces: &[Piece], readers: usize, is_paced: bool) -> Tally {
    let mut free_at = vec![0u64; readers];
    let mut tally = Tally::default();
    let mut held: Vec<Piece> = Vec::new();
    let mut coming = pieces.iter().copied().peekable();
    let mut now = 0;
    while !held.is_empty() || coming.peek().is_some() {
        while let Some(piece) = coming.next_if(|piece| piece.arrived <= now) {
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
            tally.note(piece, now, free_at[reader]);
            false
        });
        now += 2;
    }
    tally
}

/// Symptom: short questions are late though the readers are busy for little more than half of the
/// time.
/// Sequence: prompts come in clumps, and each is sent at once; some take eight times as long as
/// others.
/// Cause: an engine reads in the order of arrival, so what was sent can't be passed any more.
#[test]
fn verify_short_prompts_pass_long_ones_that_come_in_a_clump() {
    for seed in 1..=5 {
        let pieces = clumps_of_prompts(seed);

        let (paced, at_once) = (read(&pieces, 3, true), read(&pieces, 3, false));

        let share = |tally: &Tally| tally.questions_on_time as f64 / tally.questions as f64;
        assert!(share(&paced) > 0.93, "{paced:?}");
        assert!(share(&at_once) < 0.85, "{at_once:?}");
        assert!(paced.descriptions_on_time + 12 > at_once.descriptions_on_time, "{paced:?}");
        assert!(paced.longest_wait < DESCRIPTION.patience, "{paced:?}");
    }
}

/// Symptom: the longest prompts are given up by their callers unserved.
/// Sequence: for seconds more short prompts come than the readers can take.
/// Cause: what is always passed must be sent before its caller leaves.
#[test]
fn verify_no_prompt_is_passed_for_ever() {
    let mut pieces: Vec<Piece> =
        (0..3_000).map(|at| Piece { kind: QUESTION, arrived: at * 4, work: 14 }).collect();
    pieces.push(Piece { kind: DESCRIPTION, arrived: 1_000, work: 900 });
    pieces.sort_by_key(|piece| piece.arrived);

    let tally = read(&pieces, 3, true);

    assert_eq!(tally.descriptions, 1);
    assert!(tally.longest_wait > 1_000, "{tally:?}");
    assert!(tally.longest_wait < DESCRIPTION.patience, "{tally:?}");
}

/// Plays outputs at one generator with `slots` places. Without pacing they wait at the engine in
/// the order of arrival.
fn generate(pieces: &[Piece], slots: usize, is_paced: bool) -> Tally {
    let mut tally = Tally::default();
    let mut ends: BinaryHeap<std::cmp::Reverse<u64>> = BinaryHeap::new();
    let mut held: Vec<Piece> = Vec::new();
    let mut queue = std::collections::VecDeque::new();
    let mut coming = pieces.iter().copied().peekable();
    let mut now = 0;
    while !held.is_empty() || !queue.is_empty() || coming.peek().is_some() {
        while ends.peek().is_some_and(|end| end.0 <= now) {
            ends.pop();
        }
        while let Some(piece) = coming.next_if(|piece| piece.arrived <= now) {
            held.push(piece);
        }
        held.retain(|piece| {
            let in_flight = (ends.len() + queue.len()) as u32;
            let places = Slots { slots: slots as u32, in_flight };
            let (work, waiting) = (piece.work as f64, piece.waiting(now));
            if is_paced && pace_generating(&waiting, 20.0, work, places) == Pace::Hold {
                return true;
            }
            queue.push_back((*piece, now));
            false
        });
        while ends.len() < slots
            && let Some((piece, sent)) = queue.pop_front()
        {
            ends.push(std::cmp::Reverse(now + piece.work));
            tally.note(&piece, sent, now);
        }
        now += 2;
    }
    tally
}

/// Symptom: for as long as a burst of long outputs lasts, and after it, every stream begins late.
/// Sequence: for three seconds a fifth more streams come than there are places.
/// Cause: in the order of arrival each waits behind all before it. Who can be on time goes before
/// who is late already, so that the wait falls on a few.
#[test]
fn verify_a_burst_of_outputs_makes_a_few_streams_late_and_not_all() {
    let at = |arrived| Piece { kind: QUESTION, arrived, work: 600 };
    let (before, after) = ((0..200).map(|n| n * 10), (0..300).map(|n| 5_000 + n * 10));
    let burst = (0..600).map(|n| 2_000 + n * 5);
    let pieces: Vec<Piece> = before.chain(burst).chain(after).map(at).collect();

    let (paced, at_once) = (generate(&pieces, 100, true), generate(&pieces, 100, false));

    let late = |tally: &Tally| tally.questions - tally.questions_on_time;
    assert!(late(&at_once) > 100, "{at_once:?}");
    assert!(late(&paced) * 2 < late(&at_once), "{paced:?} {at_once:?}");
    assert!(paced.longest_wait < QUESTION.patience, "{paced:?}");
}

#[test]
fn verify_engines_with_few_places_are_used() {
    let waiting =
        Waiting { age: Millis(9_000), objective: Millis(100), wait_limit: Millis(100_000) };
    for slots in [1, 2, 3] {
        let places = Slots { slots, in_flight: 0 };
        assert_eq!(pace_generating(&waiting, 20.0, 5_000.0, places), Pace::Free, "{slots}");
    }
}
