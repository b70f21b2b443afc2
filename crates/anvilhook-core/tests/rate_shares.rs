//! Tests of a request rate that is divided among instances.

use anvilhook_core::rate_shares::{QuotaMeter, RateShare};
use anvilhook_core::units::WallTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time over which an upstream's limit is checked, and the step of the simulated time.
const WINDOW_MS: u64 = 4_000;
const STEP_MS: u64 = 20;

const RATES: [f64; 7] = [0.3, 1.0, 2.5, 7.0, 14.5, 40.0, 333.3];
const FLEETS: [usize; 6] = [1, 3, 9, 30, 88, 390];

/// Returns how many requests all instances together send in each step if each sends whenever it may.
/// `clock_ms` is how far an instance's clock is off.
fn sent_by_step(
    per_s: f64,
    instances: usize,
    steps: u64,
    start: u64,
    clock_ms: impl Fn(usize) -> u64,
) -> Vec<usize> {
    let mut meters = vec![QuotaMeter::default(); instances];
    let step = |step: u64| {
        let mut sent = 0;
        for (position, meter) in meters.iter_mut().enumerate() {
            let time = WallTime(start + step * STEP_MS + clock_ms(position));
            while meter.try_take(RateShare::new(position, instances), per_s, time) {
                sent += 1;
            }
        }
        sent
    };
    (0..steps).map(step).collect()
}

fn most_in_window(sent: &[usize]) -> usize {
    let windows = sent.windows((WINDOW_MS / STEP_MS) as usize);
    windows.map(|window| window.iter().sum()).max().unwrap_or_default()
}

/// One and a half times the rate over the window, and five requests.
fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW_MS as f64 / 1e3 + 5.0
}

/// Guards against instances that together exceed a limit although each observes its share, at any number of
/// instances and while positions are exchanged.
#[test]
fn verify_shares_add_up_to_at_most_the_limit() {
    for per_s in RATES {
        for instances in FLEETS {
            let sent = sent_by_step(per_s, instances, 4_000, 1_790_000_040_000, |_| 0);

            let most = most_in_window(&sent);
            assert!(most as f64 <= allowed(per_s), "{per_s} a second, {instances}: {most}");
        }
    }
}

/// Guards against the same where the instances' clocks differ.
#[test]
fn verify_shares_hold_with_clocks_that_differ() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for per_s in RATES {
        for instances in FLEETS {
            let off: Vec<u64> = (0..instances).map(|_| rng.random_range(0..200)).collect();
            let clock_ms = |position: usize| off[position];
            let sent = sent_by_step(per_s, instances, 4_000, 1_790_000_040_000, clock_ms);

            let most = most_in_window(&sent);
            assert!(most as f64 <= allowed(per_s), "{per_s} a second, {instances}: {most}");
        }
    }
}

/// Guards against a limit that is hardly used, and against instances that never get a turn.
#[test]
fn verify_shares_use_the_limit_and_reach_every_instance() {
    for per_s in RATES {
        for instances in FLEETS {
            let turns = (40.0 * instances as f64 / per_s.min(1.0)) as u64 + 64;
            let first = 1_790_000_040;
            let shares = (0..instances).map(|position| RateShare::new(position, instances));
            let totals: Vec<u64> = shares
                .map(|share| {
                    (first..first + turns).map(move |turn| u64::from(share.quota(per_s, turn)))
                })
                .map(Iterator::sum)
                .collect();

            let total: u64 = totals.iter().sum();
            let expected = per_s * turns as f64;
            assert!(
                (total as f64 - expected).abs() <= expected * 0.1,
                "{per_s}, {instances}: {total}"
            );
            assert!(totals.iter().all(|total| *total > 0), "{per_s}, {instances}: {totals:?}");
        }
    }
}

/// Guards against a caller that is asked to return before the limit allows another request.
#[test]
fn verify_the_next_time_is_the_first_with_a_quota() {
    for per_s in RATES {
        for instances in FLEETS {
            let share = RateShare::new(instances / 2, instances);
            let mut meter = QuotaMeter::default();
            let now = WallTime(1_790_000_040_123);
            while meter.try_take(share, per_s, now) {}

            let next = meter.next_at(share, per_s, now);

            assert!(next > now);
            let mut before = meter;
            assert!(!before.try_take(share, per_s, WallTime(next.0 - 1)), "{per_s}, {instances}");
            assert!(meter.try_take(share, per_s, next), "{per_s}, {instances}");
        }
    }
}

/// Guards against an upstream that gets no requests because it names a limit that is too high to compute with, or
/// one that never allows another request.
#[test]
fn verify_extreme_rates_allow_requests() {
    for (per_s, instances) in [(f64::MAX, 9), (1e12, 390), (0.0, 1), (0.0, 9)] {
        let share = RateShare::new(0, instances);
        let turns = 64 * instances as u64;
        let quotas: Vec<u32> = (0..turns).map(|turn| share.quota(per_s, turn)).collect();
        assert!(quotas.iter().any(|quota| *quota > 0), "{per_s} a second, {instances}");
        let is_high = per_s > 1.0;
        assert!(!is_high || quotas.iter().all(|quota| *quota > 0), "{per_s} a second, {instances}");
    }
}
