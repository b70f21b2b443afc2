//! Replays overload with a large client account in virtual time, to test which requests are late.

use std::collections::HashMap;

use anvilhook_core::fair_shares::{
    AccountKey, AccountSums, Contender, Demand, Excesses, Origin, WorkSum, fair_shares,
};
use anvilhook_core::pacing::{Pace, Waiting, pace_reading};
use anvilhook_core::units::Millis;
use anvilhook_core::usage::{AccountCode, Source};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ZONE: u32 = 1;
const LARGE: AccountCode = AccountCode(1_000);
const TIGHTEST: Millis = Millis(250);

/// The interval between two exchanges of sums.
const EXCHANGE_MS: u64 = 200;

fn key(account: u32) -> AccountKey {
    AccountKey { service: 7, account: AccountCode(account) }
}

fn work(asked_ms: f64, sent_ms: f64) -> WorkSum {
    WorkSum { asked_ms, sent_ms }
}

/// Guards against capacity that is given out twice or not at all, and against an account that gets less than
/// it asks for although that is less than an equal share. Generated cases, seeds 1 to 2,000.
#[test]
fn verify_shares_are_max_min_fair() {
    for seed in 1..=2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(1..40);
        let capacity = rng.random_range(0.0..5_000.0);
        let mut demand = || Demand {
            asked_ms: if rng.random_bool(0.2) { 0.0 } else { rng.random_range(0.0..1_000.0) },
            weight: if rng.random_bool(0.5) { 1.0 } else { rng.random_range(0.5..4.0) },
        };
        let demands: Vec<_> = (0..count).map(|_| demand()).collect();

        let shares = fair_shares(capacity, &demands);

        let asked: f64 = demands.iter().map(|demand| demand.asked_ms).sum();
        let weights: f64 = demands.iter().map(|demand| demand.weight).sum();
        let given: f64 = shares.iter().sum();
        let tolerance = 1e-6 * (1.0 + capacity);
        assert!((given - capacity.min(asked)).abs() < tolerance, "seed {seed}: {given}");
        for (demand, share) in demands.iter().zip(&shares) {
            let equal = capacity * demand.weight / weights;
            assert!(*share <= demand.asked_ms + tolerance, "seed {seed}");
            assert!(*share >= demand.asked_ms.min(equal) - tolerance, "seed {seed}");
            // An account that gets less than it asks for gets no less by weight than any other.
            let is_least =
                |other: &f64, weight: f64| share / demand.weight + tolerance >= other / weight;
            let mut others = shares.iter().zip(&demands);
            let is_met = *share > demand.asked_ms - tolerance;
            assert!(is_met || others.all(|(s, d)| is_least(s, d.weight)), "seed {seed}");
        }
    }
}

/// Guards against shares of demands that are no numbers, which would spread to all other shares.
#[test]
fn verify_invalid_demands_take_nothing_from_others() {
    let of = |asked_ms, weight| Demand { asked_ms, weight };
    let demands = [of(f64::NAN, 1.0), of(-5.0, f64::NAN), of(60.0, 1.0), of(f64::INFINITY, 1.0)];

    let shares = fair_shares(100.0, &demands);

    assert_eq!((shares[0], shares[1], shares[2]), (0.0, 0.0, 50.0));
    assert!((shares[3] - 50.0).abs() < 1e-3, "{shares:?}");
    assert!(fair_shares(100.0, &[]).is_empty());
}

/// Guards against requests that are delayed for their account where no other account would gain.
#[test]
fn verify_an_excess_needs_contention_and_another_account() {
    let cases = [
        ("all is served", vec![work(900.0, 900.0), work(100.0, 100.0)], 0),
        ("little is held back", vec![work(900.0, 880.0), work(100.0, 100.0)], 0),
        ("alone", vec![work(900.0, 300.0)], 0),
        ("the other is idle", vec![work(900.0, 300.0), work(0.0, 0.0)], 0),
        ("equal accounts", vec![work(500.0, 250.0), work(520.0, 260.0)], 0),
        ("nothing is served", vec![work(500.0, 0.0), work(20.0, 0.0)], 0),
        ("one is large", vec![work(900.0, 500.0), work(100.0, 100.0)], 1),
    ];
    for (name, sums, expected) in cases {
        let sums = sums.into_iter().enumerate().map(|(at, sum)| (key(at as u32), sum));

        let excesses = Excesses::of(&sums.collect(), false, &Excesses::default());

        assert_eq!(excesses.by_account.len(), expected, "{name}: {excesses:?}");
    }
}

/// Guards against some of many accounts with about the same demand that are held back for the others.
/// Generated cases, seeds 1 to 500.
#[test]
fn verify_accounts_of_the_same_size_have_no_excess() {
    for seed in 1..=500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..100);
        let sent = rng.random_range(0.05..0.9);
        let mut sum = || rng.random_range(300.0..800.0);
        let equal: Vec<_> = (0..count).map(|_| sum()).collect();
        let sums = equal.iter().enumerate();
        let mut sums: HashMap<_, _> =
            sums.map(|(at, ms)| (key(at as u32), work(*ms, ms * sent))).collect();

        assert!(Excesses::of(&sums, false, &Excesses::default()).by_account.is_empty(), "{seed}");

        sums.insert(key(200), work(80_000.0, 0.0));
        let excesses = Excesses::of(&sums, false, &Excesses::default()).by_account;
        assert_eq!(excesses.keys().collect::<Vec<_>>(), [&key(200)], "{seed}");
    }
}

/// Guards against sums that are counted twice because a message was duplicated or delayed, or because both an
/// instance and the leader of its zone sent them; and against sums of instances that terminated.
#[test]
fn verify_sums_are_neither_lost_nor_doubled() {
    let mut sender = AccountSums::default();
    sender.record_asked(key(1), 100.0, Millis(0));
    let early = sender.own(Millis(0));
    sender.record_asked(key(1), 50.0, Millis(0));
    let late = sender.own(Millis(0));
    let origin = |sender, sequence| Origin { sender, sequence, received_at: Millis(0) };
    let (near, far) =
        (Source::Instance { zone: ZONE, number: 5 }, Source::Instance { zone: 2, number: 6 });
    let mut sums = AccountSums::default();
    let asked = |sums: &AccountSums, now| {
        sums.totals(ZONE, Millis(now)).get(&key(1)).map_or(0.0, |sum| sum.asked_ms)
    };

    for (sequence, message) in [(2, &late), (2, &late), (1, &early)] {
        sums.merge(near, origin(5, sequence), message);
    }
    assert_eq!(asked(&sums, 0), 150.0);
    sums.merge(far, origin(6, 1), &early);
    assert_eq!(asked(&sums, 0), 250.0);
    sums.merge(Source::Zone(2), origin(9, 1), &late);
    assert_eq!(asked(&sums, 0), 300.0, "the zone's sums contain those of its instance");
    assert_eq!(sums.zone_sums(ZONE, Millis(0))[0].asked_ms, 150);

    assert!((asked(&sums, 1_000) - 300.0 * (-0.5f64).exp()).abs() < 0.1);
    assert_eq!(asked(&sums, 2_000), 0.0, "nothing was received for 2 s");
    sums.drop_expired(Millis(2_000));
    sums.merge(near, origin(5, 1), &early);
    assert_eq!(asked(&sums, 0), 100.0, "a restarted count is accepted after the expiry");
}

/// Guards against excesses that two instances send back and forth because each acts as the leader, and against
/// excesses that stay in force when no leader sends them any more.
#[test]
fn verify_received_excesses_are_not_passed_on_and_expire() {
    let mut sums = AccountSums::default();
    let origin = |sequence, at| Origin { sender: 5, sequence, received_at: Millis(at) };
    let in_force = |sums: &AccountSums, now| {
        sums.excesses(ZONE, &Excesses::default(), Millis(now)).by_account.len()
    };

    sums.merge_excesses(origin(2, 0), &[(key(1), 250)]);
    sums.merge_excesses(origin(1, 100), &[]);

    assert_eq!(in_force(&sums, 1_900), 1, "an older message was ignored");
    let computed = sums.computed_excesses(ZONE, &Excesses::default(), Millis(0));
    assert!(computed.by_account.is_empty(), "{computed:?}");
    assert_eq!(in_force(&sums, 2_000), 0);
    sums.merge_excesses(origin(3, 200), &[]);
    assert_eq!(in_force(&sums, 300), 0);
}

/// Guards against a small account that is treated as large because its client has moved to another instance:
/// the sums at both must not exceed what it requests.
#[test]
fn verify_an_account_that_moves_keeps_its_sum() {
    let (mut before, mut after) = (AccountSums::default(), AccountSums::default());
    (0..6_000).for_each(|ms| before.record_asked(key(1), 1.0, Millis(ms)));
    let origin = Origin { sender: 5, sequence: 1, received_at: Millis(6_000) };
    after.merge(Source::Instance { zone: ZONE, number: 5 }, origin, &before.own(Millis(6_000)));
    let steady = before.own(Millis(6_000))[0].asked_ms;

    for ms in 6_000..7_900 {
        after.record_asked(key(1), 1.0, Millis(ms));
        let asked = after.totals(ZONE, Millis(ms))[&key(1)].asked_ms;
        assert!((asked - f64::from(steady)).abs() < 0.06 * f64::from(steady), "{ms}: {asked}");
    }
}

/// `Piece` is a prompt that is to be read.
#[derive(Clone, Copy, Debug)]
struct Piece {
    account: AccountCode,
    arrived: u64,
    work: u64,
    objective: u64,
    wait_limit: u64,
    is_held_by_pace: bool,
}

impl Piece {
    /// Returns whether it is of a small account and arrives when the sums are known, and early enough to be
    /// on time in the replay.
    fn counts_as_small(&self) -> bool {
        self.account != LARGE && (1_000..LENGTH_MS - 1_300).contains(&self.arrived)
    }

    fn waiting(&self, now: u64) -> Waiting {
        Waiting {
            age: Millis(now - self.arrived),
            objective: Millis(self.objective),
            wait_limit: Millis(self.wait_limit),
        }
    }
}

/// `Rule` is how long a request of an account with an excess lets others pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    /// Not at all, as without the part.
    None,
    /// As long as it can be on time.
    Objective,
    /// As long as its caller waits.
    WaitLimit,
}

/// `Scene` is a replayed load.
#[derive(Clone, Copy, Debug)]
struct Scene {
    rule: Rule,
    /// The work requested in each millisecond, as a multiple of the capacity.
    demand: f64,
    /// The part of it that the large account requests.
    large: f64,
    /// The share of the messages that are lost; as many are duplicated.
    lost: f64,
    /// Whether half of the instances terminate in the middle of the load.
    half_gone: bool,
}

const FLOOD: Scene =
    Scene { rule: Rule::WaitLimit, demand: 1.33, large: 0.5, lost: 0.0, half_gone: false };

/// `Outcome` counts the prompts of small accounts, those that were on time, and the work that was done.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Outcome {
    small: usize,
    small_on_time: usize,
    large_ms: u64,
    done_ms: u64,
}

impl Outcome {
    fn on_time(&self) -> f64 {
        self.small_on_time as f64 / self.small as f64
    }
}

const READERS: usize = 8;
const INSTANCES: usize = 8;
const SMALL_ACCOUNTS: u32 = 20;
const LENGTH_MS: u64 = 6_000;

/// Replays a load of short and long prompts. Each account's prompts arrive at one instance, and the large one's
/// at the last. Instance 0 is the leader of the zone and survives. Outcomes count from the second second on.
fn replay(scene: Scene, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sums = vec![AccountSums::default(); INSTANCES];
    let mut excesses = vec![Excesses::default(); INSTANCES];
    let mut held: Vec<Vec<Piece>> = vec![Vec::new(); INSTANCES];
    let mut free_at = [0u64; READERS];
    let (mut outcome, mut instances) = (Outcome::default(), INSTANCES);
    let mean_work = (12.0 * 10.0 + 120.0) / 11.0;
    for now in 0..LENGTH_MS {
        if scene.half_gone && now == LENGTH_MS / 2 {
            instances = INSTANCES / 2;
        }
        if rng.random_bool(READERS as f64 * scene.demand / mean_work) {
            let is_large = rng.random_bool(scene.large);
            let account =
                if is_large { LARGE } else { AccountCode(rng.random_range(0..SMALL_ACCOUNTS)) };
            let at = if is_large { instances - 1 } else { account.0 as usize % instances };
            let (work, objective, wait_limit) =
                if rng.random_ratio(1, 11) { (120, 1_200, 8_000) } else { (12, 250, 4_000) };
            let key = AccountKey { service: 7, account };
            sums[at].record_asked(key, work as f64, Millis(now));
            let (arrived, is_held_by_pace) = (now, false);
            let piece = Piece { account, arrived, work, objective, wait_limit, is_held_by_pace };
            outcome.small += usize::from(piece.counts_as_small());
            held[at].push(piece);
        }
        if now % EXCHANGE_MS == 0 {
            publish(&mut sums[..instances], &excesses[0], scene.lost, now, &mut rng);
        }
        for at in 0..instances {
            if now % 50 == 0 {
                excesses[at] = sums[at].excesses(ZONE, &excesses[at], Millis(now));
            }
            let excess_of = |piece: &Piece| {
                let key = AccountKey { service: 7, account: piece.account };
                excesses[at].by_account.get(&key).copied().unwrap_or(0.0)
            };
            let is_other = |one: &&Piece| one.is_held_by_pace && excess_of(one) == 0.0;
            let others_held = held[at].iter().filter(is_other).count() as u32;
            let own_sums = &mut sums[at];
            held[at].retain_mut(|piece| {
                let reader = (0..READERS).min_by_key(|at| free_at[*at]).expect("readers");
                let backlog = free_at[reader].saturating_sub(now);
                let (work_ms, backlog_ms) = (piece.work as f64, backlog as f64);
                let waiting = piece.waiting(now);
                let pace = pace_reading(&waiting, work_ms, backlog_ms, TIGHTEST);
                piece.is_held_by_pace = pace == Pace::Hold;
                let excess = if scene.rule == Rule::None { 0.0 } else { excess_of(piece) };
                let limit = match scene.rule {
                    Rule::WaitLimit => waiting.wait_limit,
                    Rule::None | Rule::Objective => waiting.objective,
                };
                let contender = Contender { excess, age: waiting.age, limit, others_held };
                let yields = contender.yields_reading(work_ms, backlog_ms, TIGHTEST);
                if pace == Pace::Hold || (pace == Pace::Free && yields) {
                    return true;
                }
                if pace == Pace::Hopeless {
                    return false;
                }
                free_at[reader] = now.max(free_at[reader]) + piece.work;
                own_sums.record_sent(
                    AccountKey { service: 7, account: piece.account },
                    work_ms,
                    Millis(now),
                );
                let is_on_time = free_at[reader] - piece.arrived + 60 <= piece.objective;
                outcome.small_on_time += usize::from(piece.counts_as_small() && is_on_time);
                if free_at[reader] <= LENGTH_MS {
                    outcome.done_ms += piece.work;
                    outcome.large_ms += if piece.account == LARGE { piece.work } else { 0 };
                }
                false
            });
        }
    }
    outcome
}

/// Sends the sums of all instances to the leader, and the excesses that follow to all instances.
fn publish(sums: &mut [AccountSums], before: &Excesses, lost: f64, now: u64, rng: &mut ChaCha8Rng) {
    let mut copies =
        || if rng.random_bool(lost) { 0 } else { 1 + u32::from(rng.random_bool(lost)) };
    let sequence = (now / EXCHANGE_MS) as u32 + 1;
    let origin =
        |sender: usize| Origin { sender: sender as u64, sequence, received_at: Millis(now) };
    for at in 1..sums.len() {
        let own = sums[at].own(Millis(now));
        for _ in 0..copies() {
            let source = Source::Instance { zone: ZONE, number: at as u64 };
            sums[0].merge(source, origin(at), &own);
        }
    }
    let excesses = sums[0].excesses(ZONE, before, Millis(now)).largest(32);
    for one in &mut sums[1..] {
        for _ in 0..copies() {
            one.merge_excesses(origin(0), &excesses);
        }
    }
}

/// Returns the sum of the outcomes of a load over the seeds 1 to 6.
fn replays(scene: Scene) -> Outcome {
    let mut sum = Outcome::default();
    for outcome in (1..=6).map(|seed| replay(scene, seed)) {
        sum.small += outcome.small;
        sum.small_on_time += outcome.small_on_time;
        sum.large_ms += outcome.large_ms;
        sum.done_ms += outcome.done_ms;
    }
    sum
}

/// Guards against a large account that makes the requests of small ones late, and against capacity that is
/// left unused while its requests wait: it gets all that the others leave.
#[test]
fn verify_a_large_account_does_not_make_others_late() {
    for (demand, expected) in [(1.33, 0.99), (1.6, 0.99), (1.9, 0.95)] {
        let scene = Scene { demand, ..FLOOD };
        let (with, without) = (replays(scene), replays(Scene { rule: Rule::None, ..scene }));

        println!("{demand}: with {with:?}, without {without:?}");
        assert!(with.on_time() > expected, "{demand}: {with:?}");
        assert!(without.on_time() < with.on_time(), "{demand}: {without:?}");
        assert!(with.done_ms as f64 > without.done_ms as f64 * 0.99, "{demand}: {with:?}");
    }
    let most = replays(Scene { large: 0.9, demand: 1.5, ..FLOOD });
    assert!(most.on_time() > 0.97, "{most:?}");
    assert!(most.large_ms as f64 > most.done_ms as f64 * 0.8, "{most:?}");
}

/// Guards against requests that are delayed for their account while the engines have capacity for all.
#[test]
fn verify_nothing_changes_without_contention() {
    let scene = Scene { demand: 0.7, ..FLOOD };

    let (with, without) = (replays(scene), replays(Scene { rule: Rule::None, ..scene }));

    assert_eq!(with, without);
}

/// Guards against small accounts that are held back by what is wrongly known: lost and duplicated messages,
/// half of the instances gone, and no message at all, where the outcome must be close to that without shares.
#[test]
fn verify_lost_sums_and_instances_do_no_harm() {
    let lossy = replays(Scene { lost: 0.3, ..FLOOD });
    assert!(lossy.on_time() > 0.98, "{lossy:?}");
    let halved = replays(Scene { half_gone: true, ..FLOOD });
    assert!(halved.on_time() > 0.98, "{halved:?}");
    for demand in [1.33, 1.9] {
        let silent = replays(Scene { lost: 1.0, demand, ..FLOOD });
        let without = replays(Scene { rule: Rule::None, demand, ..FLOOD });
        println!("{demand}: silent {silent:?}, without {without:?}");
        assert!(silent.on_time() > without.on_time() - 0.05, "{demand}: {silent:?}");
    }
}

/// Guards against a bound on the waiting that makes the rule useless unnoticed: a request that lets others pass
/// only while it can be on time is sent before them once it is late. Also shows the cost of that bound.
#[test]
fn verify_the_limit_of_waiting_decides_the_outcome() {
    let [bounded, unbounded] = [Rule::Objective, Rule::WaitLimit]
        .map(|rule| replays(Scene { rule, demand: 1.6, ..FLOOD }));

    println!("bounded {bounded:?}, unbounded {unbounded:?}");
    assert!(unbounded.on_time() > bounded.on_time(), "{bounded:?}, {unbounded:?}");
    assert!(unbounded.large_ms < bounded.large_ms, "{bounded:?}, {unbounded:?}");
}
