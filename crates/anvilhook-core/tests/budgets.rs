//! Tests the retry budget, outlier ejection and account limits.

use anvilhook_core::ejections::{Ejection, EjectionOptions};
use anvilhook_core::limits::{
    AccountDemand, AccountLimiter, AccountShare, LimitOptions, PeerDemand, ShareAllocator,
};
use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::AccountSpec;
use anvilhook_core::retries::{RetryBudget, RetryBudgetOptions};
use anvilhook_core::units::Millis;

fn account(requests_per_s: u32, open_requests: u32) -> AccountSpec {
    AccountSpec { token_sha256: Vec::new(), requests_per_s, open_requests }
}

fn peer(index: usize, requests_per_s: f64, received_at: Option<Millis>) -> PeerDemand {
    let instance = InstanceName::try_new(&format!("entry-{index}")).expect("a name");
    let demand = AccountDemand { requests_per_s, open_requests: requests_per_s as u64 };
    PeerDemand { instance, demand, received_at, hears_all: true }
}

#[test]
fn verify_retries_stay_a_share_of_successes() {
    // Guards against attempts that multiply while an upstream fails. 1,000 successes are followed by
    // 1,000 failures that all request a retry. A bound per request would not limit the retries of the
    // instance.
    let budget = RetryBudget::new(&RetryBudgetOptions { share: 0.1, max_saved: 20 });

    (0..1_000).for_each(|_| budget.record_success());
    let retries = (0..1_000).filter(|_| budget.try_take()).count();

    assert_eq!(retries, 20);
}

#[test]
fn verify_ejection_and_slow_return() {
    let ejection = Ejection::new(&EjectionOptions::default());
    // Each step: the time, whether the attempt failed, and the share right after the attempt.
    let steps = [
        (0, true, 1.0),
        (1, false, 1.0),
        (2, true, 1.0),
        (3, true, 1.0),
        (4, true, 0.0),
        (2_003, false, 0.0),
        (2_004, false, 0.1),
        (7_004, false, 0.55),
        // A single failure while the share grows again ejects the upstream for twice as long.
        (7_005, true, 0.0),
        (11_004, false, 0.0),
        (11_005, false, 0.1),
        (21_005, false, 1.0),
    ];

    for (now, failed, share) in steps {
        let now = Millis(now);
        if failed {
            ejection.record_failure(now)
        } else {
            ejection.record_success(now)
        }
        assert_eq!(ejection.share(now), share, "at {now}");
    }
}

#[test]
fn verify_limiter_enforces_rate_and_open_requests() {
    let options = LimitOptions { burst: Millis(1_000), ..Default::default() };
    let limiter = AccountLimiter::new(&account(90, 27), 9, &options);

    // This instance's share is ten requests per second, with a burst of one second.
    let admitted = |now: u64| limiter.try_admit(Millis(now)).map(|()| limiter.release()).is_ok();
    let burst = (0..100).filter(|_| admitted(5_000)).count();
    let next_second = (0..1_000).filter(|ms| admitted(5_001 + ms)).count();
    let open = (0..10).filter(|_| limiter.try_admit(Millis(60_000)).is_ok()).count();

    assert_eq!((burst, next_second, open), (10, 10, 3));
}

#[test]
fn verify_shares_follow_demand_and_never_exceed_the_limit_for_long() {
    // Guards against an account that exceeds its limit although each instance observes its share. Demand
    // moves from instance 0 to instance 1 while digests are late or lost. The sum exceeds the limit if one
    // share grows before the other has shrunk, or if one side receives no digests any more.
    let options = LimitOptions::default();
    let step = Millis(500);
    for (lost_to, moves_at) in [(None, 20_000), (Some(0), 20_000), (Some(1), 20_000)] {
        let mut allocators: Vec<_> =
            (0..3).map(|_| ShareAllocator::new(account(300, 30), &options)).collect();
        let mut received = vec![vec![(0.0, None, true); 3]; 3];
        let mut over_since = None;
        let mut last = vec![AccountShare::default(); 3];

        for tick in 0..120 {
            let now = Millis(tick * step.0);
            let demands_at = |at: u64| {
                if at >= moves_at { [5.0, 290.0, 5.0] } else { [290.0, 5.0, 5.0] }
            };
            let demands = demands_at(now.0);
            let is_partitioned = |to: usize| lost_to == Some(to) && now.0 >= moves_at - 1_000;
            let mut hears_all = [true; 3];
            for to in 0..3 {
                let peers: Vec<_> = (0..3).filter(|from| *from != to).collect();
                let demand = |from: &usize| {
                    let (rate, at, hears_all) = received[to][*from];
                    PeerDemand { hears_all, ..peer(*from, rate, at) }
                };
                let peers: Vec<_> = peers.iter().map(demand).collect();
                let own = peer(to, demands[to], None).demand;
                hears_all[to] = allocators[to].hears_all(&peers, now);
                last[to] = allocators[to].update(&own, &peers, now);
            }
            for to in (0..3).filter(|to| !is_partitioned(*to)) {
                for from in 0..3 {
                    // Instance 0, whose share has to shrink, receives the growing demand of instance 1 last.
                    let late = if (from, to) == (1, 0) { 1_500 } else { 0 };
                    let demand = demands_at(now.0.saturating_sub(late))[from];
                    received[to][from] = (demand, Some(now), hears_all[from]);
                }
            }

            let sum: f64 = last.iter().map(|share| share.requests_per_s).sum();
            let since = over_since.get_or_insert(now);
            if sum <= 300.0 + 1e-6 {
                over_since = None;
            } else {
                assert!(now - *since <= options.max_overshoot(), "{sum} for too long at {now}");
                // If no digest is lost, a share grows only after the others have shrunk.
                assert!(lost_to.is_some(), "{sum} at {now} although all digests arrive");
            }
        }

        let followed = last[1].requests_per_s > 200.0;
        assert_eq!(followed, lost_to.is_none(), "lost to {lost_to:?}: {last:?}");
    }
}

/// Guards against an account that gets its whole limit at each of several instances. An instance starts
/// alone, others join, and later they leave. The fault comes about if the share is calculated only once,
/// for the number of instances at that time.
#[test]
fn verify_an_equal_share_follows_the_number_of_instances() {
    let spec = AccountSpec { token_sha256: vec![], requests_per_s: 90, open_requests: 9 };
    let limiter = AccountLimiter::new(&spec, 1, &LimitOptions::default());
    for (instances, open_requests) in [(3, 3), (9, 1), (1, 9)] {
        for now in [Millis(0), Millis(60_000)] {
            limiter.set_instances(&spec, instances);

            let share = limiter.share(now);

            assert_eq!(share.open_requests, open_requests, "{instances} instances at {now}");
            assert_eq!(share.requests_per_s, 90.0 / instances as f64);
        }
    }
}
