//! Searches the state machine of leases and orders exhaustively, within bounds.
//!
//! The cases have two or three instances and engines that check fencing numbers or ignore them.
//! Instances may pause at any step; answers may be lost, holders killed and engines crashed.

mod steps;
mod world;

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};

use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Millis;

use steps::{Label, steps};
use world::{Case, Defect, Violation, World};

/// The maximum number of states in one search.
const MAX_STATES: usize = 3_000_000;

const BOTH_KINDS: &[Fencing] = &[Fencing::Checks, Fencing::Ignores];

struct Outcome {
    states: usize,
    violation: Option<(Violation, Vec<Label>)>,
    /// For each engine, whether an order from a later holder took effect in any state.
    successor_applied: Vec<bool>,
}

/// `WideHasher` computes a hash of 128 bits, so that no two states of a search collide by chance.
#[derive(Default)]
struct WideHasher(u128);

impl Hasher for WideHasher {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            let mixed = (self.0 ^ u128::from(u64::from_le_bytes(word))).wrapping_mul(MULTIPLIER);
            self.0 = mixed ^ (mixed >> 61);
        }
    }

    fn finish(&self) -> u64 {
        self.0 as u64
    }
}

const MULTIPLIER: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;

fn fingerprint(world: &World) -> u128 {
    let mut hasher = WideHasher::default();
    world.hash(&mut hasher);
    hasher.0
}

/// Visits every state in breadth-first order, so that the reported path to a violation is a shortest one.
fn search(case: &Case, defect: Defect) -> Outcome {
    let start = World::new(case);
    let mut parents = HashMap::from([(fingerprint(&start), None)]);
    let mut queue = VecDeque::from([start]);
    let mut successor_applied = vec![false; case.engines.len()];
    while let Some(world) = queue.pop_front() {
        let current = fingerprint(&world);
        for (label, next) in steps(&world, case, defect) {
            let next = match next {
                Ok(next) => next,
                Err(violation) => {
                    let mut path = path_to(current, &parents);
                    path.push(label);
                    let violation = Some((violation, path));
                    return Outcome { states: parents.len(), violation, successor_applied };
                }
            };
            let Entry::Vacant(entry) = parents.entry(fingerprint(&next)) else { continue };
            entry.insert(Some((current, label)));
            for (applied, engine) in successor_applied.iter_mut().zip(&next.engines) {
                *applied |= engine.applied_term.0 > 1;
            }
            queue.push_back(next);
        }
        assert!(parents.len() <= MAX_STATES, "{}: more than {MAX_STATES} states", case.name);
    }
    Outcome { states: parents.len(), violation: None, successor_applied }
}

fn path_to(end: u128, parents: &HashMap<u128, Option<(u128, Label)>>) -> Vec<Label> {
    let mut path = Vec::new();
    let mut at = end;
    while let Some(Some((before, label))) = parents.get(&at) {
        path.push(*label);
        at = *before;
    }
    path.reverse();
    path
}

/// The smallest case: two instances, one engine of each kind, a pause at any step and one lost answer.
const PAUSED: Case = Case {
    name: "holder paused, one lost answer, both kinds of engines",
    engines: BOTH_KINDS,
    lengths: &[28, 1_000],
    end: Millis(40),
    renewals: 0,
    lost_answers: 1,
    kills: 0,
    crashes: 0,
    terms: 2,
    releases: false,
};

const ONE_CHECKS: &[Fencing] = &[Fencing::Checks];
const ONE_IGNORES: &[Fencing] = &[Fencing::Ignores];

/// All cases. The ones with more faults have only one engine, to bound the number of states.
const CASES: [Case; 9] = [
    PAUSED,
    Case { name: "killed, engine checks", engines: ONE_CHECKS, kills: 1, ..PAUSED },
    Case { name: "released, engine checks", engines: ONE_CHECKS, releases: true, ..PAUSED },
    Case { name: "released, engine ignores", engines: ONE_IGNORES, releases: true, ..PAUSED },
    Case { name: "killed, engine ignores", engines: ONE_IGNORES, kills: 1, ..PAUSED },
    Case {
        name: "renewed late, engine checks",
        engines: ONE_CHECKS,
        renewals: 1,
        lost_answers: 0,
        ..PAUSED
    },
    Case { name: "renewed late, engine ignores", engines: ONE_IGNORES, renewals: 1, ..PAUSED },
    Case {
        name: "engine crashes, engine ignores",
        engines: ONE_IGNORES,
        crashes: 1,
        kills: 1,
        ..PAUSED
    },
    Case {
        name: "two consecutive holders paused or killed, engine ignores",
        engines: ONE_IGNORES,
        lengths: &[28, 58, 1_000],
        end: Millis(70),
        kills: 1,
        terms: 3,
        ..PAUSED
    },
];

#[test]
fn verify_no_interleaving_breaks_the_rules() {
    for case in CASES {
        let outcome = search(&case, Defect::None);

        println!("{}: {} states", case.name, outcome.states);
        assert_eq!(outcome.violation, None, "{}", case.name);
        assert!(outcome.successor_applied.iter().all(|applied| *applied), "{}", case.name);
    }
}

/// Guards against a search that is too weak to find anything. The harness disables one rule around the
/// core's decisions, and the search must report the violation that follows from it.
#[test]
fn verify_the_search_finds_each_defect() {
    const OVERLAPPING: Violation = "an order arrived while a different one was running";
    const SERVING: Violation = "an order took effect while the engine was serving";
    const STALE_LEASE: Violation =
        "an instance relied on its lease after another had taken over the pool";
    for (defect, engines, expected) in [
        (Defect::NoEvidence, ONE_IGNORES, OVERLAPPING),
        (Defect::NoLeaseCheck, ONE_CHECKS, STALE_LEASE),
        (Defect::NoLeaseCheck, ONE_IGNORES, STALE_LEASE),
        (Defect::NoReadBeforeOrder, ONE_CHECKS, OVERLAPPING),
        (Defect::NoReadBeforeOrder, ONE_IGNORES, OVERLAPPING),
        (Defect::NoRecordBeforeOrder, ONE_CHECKS, OVERLAPPING),
        (Defect::NoRecordBeforeOrder, ONE_IGNORES, SERVING),
        (Defect::UnmarkedTooEarly, ONE_IGNORES, SERVING),
    ] {
        let case = Case { engines, ..PAUSED };

        let outcome = search(&case, defect);

        println!("{defect:?} at {engines:?}: {:?}, {} states", outcome.violation, outcome.states);
        let found = outcome.violation.map(|(violation, _)| violation);
        assert_eq!(found, Some(expected), "{defect:?} at {engines:?}");
    }
}
