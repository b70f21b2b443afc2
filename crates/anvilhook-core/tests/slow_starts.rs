//! Replays instances that send requests to an upstream that is closed, reopening or new, on a virtual clock.
//!
//! Each instance would send all of its requests to the upstream, because it looks idle.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use anvilhook_core::slow_starts::{Candidates, SlowStart};
use anvilhook_core::units::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const INSTANCES: usize = 63;
const FIXED_PAUSE: Millis = Millis(800);
const DIGEST_INTERVAL: u64 = 200;

fn hash_of(instance: usize, closings: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (instance, "upstream", closings).hash(&mut hasher);
    hasher.finish()
}

/// `Network` is what happens to information between instances.
#[derive(Clone, Copy)]
struct Network {
    delay: u64,
    loss: f64,
}

const LATE: Network = Network { delay: 150, loss: 0.0 };
const LOSSY: Network = Network { delay: 150, loss: 0.3 };
const STALE: Network = Network { delay: 2_000, loss: 0.0 };
const CUT: Network = Network { delay: 150, loss: 1.0 };

/// `Crash` replays an upstream that refuses connections until a time.
struct Crash {
    has_part: bool,
    network: Network,
    up_at: u64,
    /// The requests of each instance in a second.
    rate: f64,
    /// The number of instances that run, of those that are known.
    running: usize,
}

/// `Outcome` is when attempts were made, and when each instance's first one succeeded.
#[derive(Default)]
struct Outcome {
    refused_at: Vec<u64>,
    served_at: Vec<Option<u64>>,
}

impl Outcome {
    fn refused_between(&self, from: u64, to: u64) -> usize {
        self.refused_at.iter().filter(|at| (from..to).contains(*at)).count()
    }
}

impl Crash {
    fn new(has_part: bool, network: Network, up_at: u64) -> Self {
        Self { has_part, network, up_at, rate: 14.0, running: INSTANCES }
    }

    fn run(&self, seed: u64, end: u64) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let states: Vec<SlowStart> = (0..self.running).map(|_| SlowStart::default()).collect();
        let mut own_until = vec![Millis::ZERO; self.running];
        let mut notices: VecDeque<(u64, usize, Millis)> = VecDeque::new();
        let mut outcome = Outcome { served_at: vec![None; self.running], ..Outcome::default() };
        for at in 1..end {
            let now = Millis(at);
            while let Some((_, to, left)) = notices.pop_front_if(|notice| notice.0 <= at) {
                match self.has_part {
                    true => states[to].close_by_peer(now + left, now),
                    false => states[to].extend(now + left),
                };
            }
            for from in 0..self.running {
                let state = &states[from];
                let is_digest_due = (at + from as u64).is_multiple_of(DIGEST_INTERVAL);
                let mut is_published = is_digest_due && own_until[from] > now;
                let is_open = match self.has_part {
                    true => state.is_open_to(hash_of(from, state.closings()), INSTANCES, now),
                    false => state.closed_until(now).is_none(),
                };
                if rng.random_bool(self.rate / 1e3) && is_open {
                    if at >= self.up_at {
                        outcome.served_at[from].get_or_insert(at);
                    } else {
                        outcome.refused_at.push(at);
                        match self.has_part {
                            true => state.close(None, now).is_some(),
                            false => state.extend(now + FIXED_PAUSE),
                        };
                        own_until[from] = state.closed_until(now).expect("closed now");
                        is_published = true;
                    }
                }
                for to in 0..self.running {
                    if is_published && to != from && !rng.random_bool(self.network.loss) {
                        notices.push_back((at + self.network.delay, to, own_until[from] - now));
                    }
                }
            }
        }
        outcome
    }
}

/// Guards against 150 to 230 attempts to each dead engine whenever its closed time ended: all instances
/// tried it at the same moment.
#[test]
fn verify_a_dead_upstream_costs_a_few_attempts_at_each_reopening() {
    for network in [LATE, LOSSY] {
        let (mut with, mut without) = (Vec::new(), Vec::new());
        for seed in 0..20 {
            // The first closed time ends at 0.8 to 1 s, and the second one 1.6 s after an attempt.
            let after = |has_part| Crash::new(has_part, network, u64::MAX).run(seed, 5_000);
            with.push(after(true).refused_between(500, 2_200));
            without.push(after(false).refused_between(500, 1_500));
        }

        println!("loss {}: with {with:?}, without {without:?}", network.loss);
        assert!(with.iter().all(|attempts| *attempts <= 12), "{with:?}");
        assert!(with.iter().sum::<usize>() <= 6 * with.len(), "{with:?}");
        assert!(without.iter().all(|attempts| *attempts >= 50), "{without:?}");
    }
}

/// Guards against more attempts than without the part when no information arrives at all: each
/// instance then closes the upstream after its own attempt.
#[test]
fn verify_instances_without_information_close_the_upstream_themselves() {
    let refused = |has_part| Crash::new(has_part, CUT, u64::MAX).run(1, 6_000).refused_at.len();

    let (with, without) = (refused(true), refused(false));

    println!("no information: with {with}, without {without}");
    assert!(with < without, "{with} {without}");
}

/// Guards against an upstream that is up again and stays closed to some instances, also while the number of
/// instances that is known is twice that of those that run.
#[test]
fn verify_a_restarted_upstream_opens_to_all_instances() {
    for (network, running) in [(LATE, INSTANCES), (LOSSY, INSTANCES), (LATE, INSTANCES / 2)] {
        let crash = Crash { running, rate: 50.0, ..Crash::new(true, network, 2_000) };
        let outcome = crash.run(2, 6_000);

        let served: Vec<u64> = outcome.served_at.iter().map(|at| at.expect("served")).collect();
        let (first, last) = (served.iter().min(), served.iter().max());

        // The longest closed time, the growth, and a request's and a notice's delay.
        println!("first {first:?}, last {last:?}");
        assert!(last < Some(&(2_000 + 1_600 + 800 + 400)), "{served:?}");
        assert!(last.zip(first).is_some_and(|(last, first)| last - first <= 1_000), "{served:?}");
    }
}

/// Guards against closed times that grow with each late notice: notices 2 s late delay the opening by these 2 s
/// at most, and the upstream still costs fewer attempts than without the part.
#[test]
fn verify_stale_notices_delay_the_opening_by_their_age_at_most() {
    let run = |has_part| {
        let crash = Crash { rate: 50.0, ..Crash::new(has_part, STALE, 2_000) };
        let outcome = crash.run(3, 8_000);
        let served = outcome.served_at.iter().map(|at| at.expect("served"));
        (outcome.refused_at.len(), served.max().expect("there are instances"))
    };

    let (with, without) = (run(true), run(false));

    println!("notices 2 s late: with {with:?}, without {without:?}");
    assert!(with.0 < without.0 && with.1 < 2_000 + 1_600 + 800 + 2_000 + 400, "{with:?}");
}

/// Returns how many requests a new engine with 16 slots and a queue of 48 refuses in its first 600 ms, and
/// in its first second.
/// Instances know the requests of the others as they were 150 ms before, and choose the engine while they
/// know of fewer than 16.
fn refused_by_a_new_engine(has_part: bool, seed: u64) -> [usize; 2] {
    const RUN_MS: u64 = 400;
    // 900 requests a second in total, as one engine got in the logs.
    const RATE_PER_MS: f64 = 0.9 / INSTANCES as f64;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let state = SlowStart::listed(Millis(1));
    let mut ends: Vec<(u64, usize)> = Vec::new();
    let mut known = vec![vec![0usize; INSTANCES]; 1_200];
    let (mut slots, mut refused) = ([0u64; 16], [0, 0]);
    for at in 1..1_000 {
        ends.retain(|(end, _)| *end > at);
        for instance in 0..INSTANCES {
            let own = ends.iter().filter(|(_, from)| *from == instance).count();
            let of_others = known[at as usize].iter().sum::<usize>() - known[at as usize][instance];
            let is_open =
                !has_part || state.is_open_to(hash_of(instance, 0), INSTANCES, Millis(at));
            if !rng.random_bool(RATE_PER_MS) || !is_open || own + of_others >= 16 {
                continue;
            }
            if ends.len() >= 64 {
                refused[0] += usize::from(at <= 600);
                refused[1] += 1;
                continue;
            }
            let slot = slots.iter_mut().min().expect("there are 16");
            *slot = (*slot).max(at) + RUN_MS;
            ends.push((*slot, instance));
        }
        for (_, from) in &ends {
            known[at as usize + 150][*from] += 1;
        }
    }
    refused
}

/// Guards against 250 refused requests within 0.3 s at each of two engines that had just been listed. Later
/// refusals, when all instances see at the same moment that the engine has free slots again, are fewer.
#[test]
fn verify_a_new_engine_is_not_sent_more_than_it_can_take() {
    let refused = |has_part| (0..20).map(move |seed| refused_by_a_new_engine(has_part, seed));

    let (with, without): (Vec<_>, Vec<_>) = (refused(true).collect(), refused(false).collect());

    println!("new engine: with {with:?}, without {without:?}");
    assert!(with.iter().all(|refused| refused[0] == 0), "{with:?}");
    assert!(without.iter().all(|refused| refused[0] >= 40), "{without:?}");
    let total = |all: &[[usize; 2]]| all.iter().map(|refused| refused[1]).sum::<usize>();
    assert!(total(&with) * 2 <= total(&without), "{with:?} {without:?}");
}

/// Guards against a closed time that is extended, or counted twice, by information about it that arrives
/// after its end, and against ignoring a new closed time.
#[test]
fn verify_late_information_about_an_ended_closed_time_is_ignored() {
    let state = SlowStart::default();
    let first = state.close(None, Millis(1_000)).expect("it was open");

    let is_extended = state.close_by_peer(Millis(1_950), Millis(1_900));
    let is_closed_again = state.close_by_peer(Millis(2_700), Millis(1_950));

    assert_eq!((first.length, first.count, first.previous), (Millis(800), 1, None));
    assert!(!is_extended && is_closed_again);
    assert_eq!(state.closings(), 2);
    assert_eq!(state.close(None, Millis(1_960)), None, "it is closed");
    let next = state.close(None, Millis(2_710)).expect("it has reopened");
    assert_eq!((next.length, next.count, next.previous), (Millis(1_600), 3, Some(Millis(750))));
    let later = state.close(None, Millis(9_000)).expect("it has reopened");
    assert_eq!((later.length, later.count, later.previous), (Millis(800), 1, None));
    assert_eq!(state.close(Some(Millis(4_000)), Millis(9_100)), None, "it is closed");
    assert_eq!(state.closed_until(Millis(9_100)), Some(Millis(13_100)));
}

/// Guards against an instance that loses an upstream which was open to it, and against closed times and
/// growth beyond their bounds. Seed "slow-starts-1" of generated cases.
#[test]
fn verify_the_share_grows_without_gaps_within_its_bounds() {
    let mut rng = ChaCha8Rng::seed_from_u64(0x510_57A2_7501);
    for case in 0..2_000 {
        let (hash, instances) = (rng.random(), rng.random_range(0..=390));
        let state = SlowStart::default();
        let mut now = Millis(rng.random_range(0..5_000));
        for _ in 0..rng.random_range(1..6) {
            if let Some(closing) = state.close(None, now) {
                assert!((800..=1_600).contains(&closing.length.0), "case {case}: {closing:?}");
            }
            now += Millis(rng.random_range(0..3_000));
        }
        let opens_at = state.closed_until(now).unwrap_or(now);

        let times = || (0..=800).step_by(20).map(|after| opens_at + Millis(after));
        let shares: Vec<f64> = times().map(|at| state.share(instances, at)).collect();
        let opened: Vec<bool> = times().map(|at| state.is_open_to(hash, instances, at)).collect();

        assert!(shares.is_sorted() && opened.is_sorted(), "case {case}: {shares:?} {opened:?}");
        assert!(shares[0] > 0.0 && shares.last() == Some(&1.0), "case {case}: {shares:?}");
        assert_eq!(opened.last(), Some(&true), "case {case}");
    }
}

/// Guards against a service without upstreams: if most are starting, or none has room, none is passed over.
#[test]
fn verify_the_rule_counts_only_with_enough_other_upstreams() {
    let cases = [((1, 0, 0), false), ((3, 2, 2), false), ((2, 2, 1), true), ((0, 4, 0), false)];
    for ((starting, settled, with_room), expected) in cases {
        let candidates = Candidates { starting, settled, with_room };
        assert_eq!(candidates.may_pass_over(), expected, "{candidates:?}");
    }
}
