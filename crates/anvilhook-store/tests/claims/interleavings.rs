//! Tests every order of the steps of instances that race for one key, with a lost answer or a kill at
//! every point. In each order the request runs at most once, and callers get true answers.
//!
//! A run is replayed from its start for each order. The steps are the calls to the table and the
//! dispatch; each choice selects which instance continues, and with which fault.

use anvilhook_core::Verdict;
use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::ManualClock;
use anvilhook_platform::{Condition, RowKey, Table, Transaction, Write};
use anvilhook_standin::platform::{LocalPlatform, Loss, PlatformOptions};
use anvilhook_store::claims::{ClaimOptions, ClaimOutcome, ClaimRequest, Claims, Sweeper};

use crate::fixtures::{CallerOutcome, Upstream, caller_outcome, claims, outcome, request};
use crate::gates::{Choices, Gated, Move, Racer, Served, Step, now_or_never};

/// `Rule` determines when an instance dispatches.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Rule {
    /// Only after its claim is known to be written.
    ClaimKnown,
    /// Also if its claim's answer was lost. This is a broken rule that the check must detect.
    ClaimSent,
}

/// `Scenario` is a race that is checked in all orders.
#[derive(Clone, Copy)]
struct Scenario {
    rule: Rule,
    /// A first attempt has been made and released before the race.
    released_before: bool,
    /// The upstream refuses the first instance's request as not run.
    first_refused: bool,
    /// The released row expires during the race, and a third instance sweeps.
    sweeps: bool,
    max_faults: usize,
    max_switches: usize,
}

const PLAIN: Scenario = Scenario {
    rule: Rule::ClaimKnown,
    released_before: false,
    first_refused: false,
    sweeps: false,
    max_faults: 2,
    max_switches: usize::MAX,
};

async fn serve(
    claims: Claims<Gated, ManualClock>,
    table: Gated,
    req: ClaimRequest,
    upstream: Upstream,
    rule: Rule,
) -> Served {
    let held = match claims.claim(&req).await {
        ClaimOutcome::Won(held) => held,
        ClaimOutcome::Refused { doubtful: Some(held), .. } if rule == Rule::ClaimSent => held,
        ClaimOutcome::Refused { doubtful: Some(held), .. } => {
            let _ = claims.release(&held).await;
            return (CallerOutcome::NotRun, 0);
        }
        other => return (caller_outcome(&other), 0),
    };
    table.pass(Step::Dispatch).await;
    if upstream.run() == Verdict::NotRun {
        let _ = claims.release(&held).await;
        return (CallerOutcome::NotRun, 0);
    }
    let _ = claims.record(&held, outcome(b"{}")).await;
    (CallerOutcome::Answer, 1)
}

/// Begins an epoch and sweeps.
async fn sweep(claims: Claims<Gated, ManualClock>, table: Gated, epoch: u64) -> Served {
    begin_epoch(&table, Some(epoch)).await;
    let _ = claims.sweep(&mut Sweeper::default(), |_| false).await;
    (CallerOutcome::Replay, 0)
}

async fn begin_epoch(table: &impl Table, at: Option<u64>) {
    let key = RowKey::new("claim-epoch");
    let conditions =
        Vec::from_iter(at.map(|version| Condition::AtVersion { key: key.clone(), version }));
    let writes = vec![Write::Put { key, value: "{}".to_owned() }];
    let _ = table.commit(&Transaction { conditions, writes }).await;
}

/// `Requests` contains the requests, which are digested only once for all orders.
struct Requests {
    raced: ClaimRequest,
    other: ClaimRequest,
}

impl Requests {
    fn raced(&self, attempt: usize) -> ClaimRequest {
        ClaimRequest { attempt: AttemptId(attempt as u128), ..self.raced.clone() }
    }
}

/// Runs one order, and returns the violation that occurred in it, if any.
fn run(scenario: &Scenario, choices: &mut Choices, reqs: &Requests) -> Option<String> {
    let clock = ManualClock::new();
    let platform = LocalPlatform::new(clock.clone(), PlatformOptions::default());
    let upstream = Upstream::default();
    // Two lost answers already leave a claim in doubt.
    let options = ClaimOptions { max_tries: 2, ..ClaimOptions::default() };
    let instance = |number: usize| {
        let table = Gated::new(&platform);
        let claims = claims(table.clone(), &clock, number, options);
        // The instance knows the epoch before the race, as it does after its first claim.
        now_or_never(claims.claim(&reqs.other));
        (claims, table)
    };
    if scenario.released_before {
        let (claims, _) = instance(0);
        let ClaimOutcome::Won(held) = now_or_never(claims.claim(&reqs.raced(9))) else {
            return Some("the first claim must be won".to_owned());
        };
        now_or_never(claims.release(&held)).unwrap();
    }
    if scenario.sweeps {
        (0..4).for_each(|_| now_or_never(begin_epoch(&platform, None)));
    }

    let mut racers = Vec::new();
    for number in 1..=2 {
        let (claims, table) = instance(number);
        let mut upstream = upstream.clone();
        upstream.refuses = scenario.first_refused && number == 1;
        let serving = serve(claims, table.clone(), reqs.raced(number), upstream, scenario.rule);
        racers.push(Racer::new(&table, serving));
    }
    if scenario.sweeps {
        let (claims, table) = instance(3);
        racers.push(Racer::new(&table, sweep(claims, table.clone(), 5)));
    }
    let faults = race(scenario, &platform, &mut racers, choices);

    // The callers repeat at a healthy instance.
    platform.land_late_writes();
    let (claims, table) = instance(4);
    let (last, _) =
        now_or_never(serve(claims, table, reqs.raced(4), upstream.clone(), Rule::ClaimKnown));
    let runs = upstream.runs();
    find_violation(&racers, faults, last, runs)
}

/// Makes moves until all racers have ended, and returns the number of faults among them.
fn race(
    scenario: &Scenario,
    platform: &LocalPlatform<ManualClock>,
    racers: &mut [Racer],
    choices: &mut Choices,
) -> usize {
    let (mut faults, mut switches, mut last) = (0, 0, None);
    let mut late = false;
    loop {
        let mut moves = Vec::new();
        for (number, racer) in racers.iter().enumerate() {
            let is_last = last.is_none_or(|last: usize| last == number);
            let last_can_go = last.is_some_and(|last| racers[last].future.is_some());
            if is_last || !last_can_go || switches < scenario.max_switches {
                racer.moves(number, faults < scenario.max_faults, &mut moves);
            }
        }
        if moves.is_empty() {
            return faults;
        }
        if late {
            moves.push(Move::LandLateWrites);
        }
        match moves[choices.choose(moves.len())] {
            Move::Go { racer, loss } => {
                switches += usize::from(last.is_some_and(|last| last != racer));
                last = Some(racer);
                faults += usize::from(loss.is_some());
                late |= loss == Some(Loss::LateEffect);
                racers[racer].go(loss);
            }
            Move::Kill { racer } => {
                faults += 1;
                racers[racer].future = None;
            }
            Move::LandLateWrites => {
                late = false;
                platform.land_late_writes();
            }
        }
    }
}

/// Returns the violation in the result of an order, if any.
fn find_violation(
    racers: &[Racer],
    faults: usize,
    last: CallerOutcome,
    runs: usize,
) -> Option<String> {
    let served: Vec<Served> = racers.iter().filter_map(|racer| racer.served).collect();
    if runs > 1 {
        return Some(format!("ran {runs} times; answers {served:?}, then {last:?}"));
    }
    if served.iter().any(|(answer, runs)| *answer == CallerOutcome::NotRun && *runs > 0) {
        return Some(format!("a false not-run; answers {served:?}"));
    }
    let is_true = match last {
        CallerOutcome::Answer | CallerOutcome::Replay => runs == 1,
        // Without a fault, a repeat after both have ended gets the recorded outcome.
        CallerOutcome::MayHaveRun => faults > 0,
        CallerOutcome::NotRun | CallerOutcome::KeyReused => false,
    };
    (!is_true).then(|| format!("after {faults} faults and {runs} runs a repeat gets {last:?}"))
}

/// Runs all orders, and returns their number and the first violation.
fn check(scenario: &Scenario) -> (usize, Option<String>) {
    let mut choices = Choices::default();
    let reqs = Requests { raced: request("k", "", 0), other: request("other", "", 90) };
    let mut orders = 0;
    loop {
        orders += 1;
        if let Some(violation) = run(scenario, &mut choices, &reqs) {
            return (orders, Some(violation));
        }
        if !choices.advance() {
            return (orders, None);
        }
    }
}

fn assert_no_violation(scenario: &Scenario) {
    let (orders, violation) = check(scenario);

    assert_eq!(violation, None, "after {orders} orders");
    assert!(orders > 1_000, "only {orders} orders");
}

#[test]
fn verify_two_instances_that_race_run_a_request_once() {
    assert_no_violation(&PLAIN);
}

#[test]
fn verify_a_refused_request_runs_once_at_the_other() {
    assert_no_violation(&Scenario { first_refused: true, ..PLAIN });
}

#[test]
fn verify_a_released_key_is_taken_over_once() {
    assert_no_violation(&Scenario { released_before: true, max_switches: 2, ..PLAIN });
}

#[test]
fn verify_a_released_key_is_taken_over_once_during_a_sweep() {
    let scenario = Scenario { released_before: true, sweeps: true, ..PLAIN };
    assert_no_violation(&Scenario { max_faults: 0, max_switches: 4, ..scenario });
}

#[test]
fn verify_the_check_catches_a_dispatch_without_a_known_claim() {
    let broken = Scenario { rule: Rule::ClaimSent, ..PLAIN };

    let (_, violation) = check(&broken);

    assert!(violation.is_some_and(|violation| violation.starts_with("ran 2 times")));
}
