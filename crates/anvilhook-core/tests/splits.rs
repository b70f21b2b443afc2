//! Tests the split of engines between reading (prefill) and generating under simulated loads.

use anvilhook_core::splits::{Pressure, WorkMix, next_share};
use anvilhook_core::units::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 140;

/// The number of requests at all instances in a tenth of a second, and the mean work of each in milliseconds.
const REQUESTS: usize = 70;
const READING_MS: f64 = 100.0;
const GENERATING_MS: f64 = 75.0;

/// The utilization of the engines under this load.
const FULL: Pressure = Pressure { reading: 0.9, generating: 0.9 };

/// Simulates a load whose prompts have heavy tails. Only a share of its requests, `seen_share`, is recorded.
/// Returns the planned share of readers for each half second.
fn simulate(seen_share: f64, seconds: u64, reading_factor: impl Fn(u64) -> f64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (mut mix, mut share) = (WorkMix::default(), 0.67);
    let mut shares = Vec::new();
    for tick in 1..=seconds * 10 {
        let now = Millis(tick * 100);
        for _ in 0..REQUESTS {
            // One prompt in twenty is fifteen times as long as the others.
            let factor = if rng.random_bool(0.05) { 15.0 } else { 1.0 } / 1.7;
            let reading_ms = READING_MS * factor * reading_factor(tick / 10);
            if rng.random_bool(seen_share) {
                mix.record(reading_ms, GENERATING_MS, now);
            }
        }
        if tick % 5 == 0 {
            share = next_share(share, 0.67, &mix, &FULL, ENGINES);
            shares.push(share);
        }
    }
    shares
}

fn changes(shares: &[f64]) -> usize {
    shares.windows(2).filter(|pair| pair[0] != pair[1]).count()
}

/// Guards against a third of the engines that become generators and readers again within seconds, while all
/// requests wait. The load is even and its prompts have heavy tails. One of 68 instances that decides by its
/// own requests sees too few, and their mix is noise. The requests of a whole availability zone show the mix.
#[test]
fn verify_an_even_load_moves_the_split_once() {
    let by_a_zone = simulate(0.25, 60, |_| 1.0);
    let by_one = simulate(1.0 / 68.0, 60, |_| 1.0);

    assert!(changes(&by_a_zone) <= 2, "{by_a_zone:?}");
    let last = by_a_zone.last().expect("some");
    assert!((0.5..=0.64).contains(last), "{last}");
    assert!(
        changes(&by_one) > changes(&by_a_zone),
        "the load does not reproduce the fault: {by_one:?}"
    );
}

/// Guards against generators that stay full because the split does not follow the mix. Prompts become half
/// as long and stay so. The split must follow within the time over which work is remembered.
#[test]
fn verify_the_split_follows_a_lasting_mix() {
    let shares = simulate(0.25, 90, |second| if second < 30 { 1.0 } else { 0.5 });

    let last = shares.last().expect("some");
    assert!((0.34..=0.46).contains(last), "{last}");
}

/// Guards against two in three engines that change their roles while half of them are idle, so that the next
/// burst of prompts finds too few readers. For a while most of the work is output, and the generators have
/// spare capacity; then prompts arrive. Engines may change to a role only if that role has no capacity left.
#[test]
fn verify_engines_with_spare_capacity_keep_their_roles() {
    let mut mix = WorkMix::default();
    let mut pressure = Pressure::default();
    for second in 1..20 {
        mix.record(1_000.0, 9_000.0, Millis(second * 1_000));
        pressure.record(Pressure { reading: 0.2, generating: 0.6 });
        assert_eq!(next_share(0.67, 0.67, &mix, &pressure, 63), 0.67, "second {second}");
    }

    (0..20).for_each(|_| pressure.record(Pressure { reading: 0.2, generating: 0.95 }));

    assert!(next_share(0.67, 0.67, &mix, &pressure, 63) < 0.4, "the generators are full");
}
