//! The split of engines between reading and generating, under replayed loads.

use anvilhook_core::splits::{Pressure, WorkMix, next_share};
use anvilhook_core::units::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 140;

/// The requests of all instances in a tenth of a second, and the mean work of each in milliseconds.
const REQUESTS: usize = 70;
const READING_MS: f64 = 100.0;
const GENERATING_MS: f64 = 75.0;

/// The engines as they are under such a load.
const FULL: Pressure = Pressure { reading: 0.9, generating: 0.9 };

/// Replays a load whose prompts have heavy tails, of which a share of the requests is seen, and returns
/// the shares of readers that are kept, one for each half second.
fn replay(seen: f64, seconds: u64, reading_factor: impl Fn(u64) -> f64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (mut mix, mut kept) = (WorkMix::default(), 0.67);
    let mut shares = Vec::new();
    for tick in 1..=seconds * 10 {
        let now = Millis(tick * 100);
        for _ in 0..REQUESTS {
            // One prompt in twenty is fifteen times as long as the others.
            let factor = if rng.random_bool(0.05) { 15.0 } else { 1.0 } / 1.7;
            let reading_ms = READING_MS * factor * reading_factor(tick / 10);
            if rng.random_bool(seen) {
                mix.record(reading_ms, GENERATING_MS, now);
            }
        }
        if tick % 5 == 0 {
            kept = next_share(kept, 0.67, &mix, &FULL, ENGINES);
            shares.push(kept);
        }
    }
    shares
}

fn changes(shares: &[f64]) -> usize {
    shares.windows(2).filter(|pair| pair[0] != pair[1]).count()
}

/// Symptom: within seconds a third of the engines become generators and readers again, and all wait.
/// Sequence: the load is even; prompts have heavy tails. One of 68 instances judges by its own requests.
/// Cause: what few requests say of the mix is noise; those of a whole availability zone tell it.
#[test]
fn verify_an_even_load_moves_the_split_once() {
    let by_a_zone = replay(0.25, 60, |_| 1.0);
    let by_one = replay(1.0 / 68.0, 60, |_| 1.0);

    assert!(changes(&by_a_zone) <= 2, "{by_a_zone:?}");
    let last = by_a_zone.last().expect("some");
    assert!((0.5..=0.64).contains(last), "{last}");
    assert!(changes(&by_one) > changes(&by_a_zone), "the load does not show it: {by_one:?}");
}

/// Symptom: generators are full for as long as the mix asks for more of them.
/// Sequence: prompts become half as long, and stay so.
/// Cause: the split follows the work within the time that is remembered.
#[test]
fn verify_the_split_follows_a_mix_that_stays() {
    let shares = replay(0.25, 90, |second| if second < 30 { 1.0 } else { 0.5 });

    let last = shares.last().expect("some");
    assert!((0.34..=0.46).contains(last), "{last}");
}

/// Symptom: while half of the engines are idle two in three change their roles, and the next burst of
/// prompts finds too few readers.
/// Sequence: outputs are all the work for a while, and find room; then prompts come.
/// Cause: engines are made of a kind only where that kind has no room left.
#[test]
fn verify_engines_with_room_keep_their_roles() {
    let mut mix = WorkMix::default();
    let mut pressure = Pressure::default();
    for second in 1..20 {
        mix.record(1_000.0, 9_000.0, Millis(second * 1_000));
        pressure.record(Pressure { reading: 0.2, generating: 0.6 });
        assert_eq!(next_share(0.67, 0.67, &mix, &pressure, 63), 0.67, "second {second}");
    }

    (0..20).for_each(|_| pressure.record(Pressure { reading: 0.2, generating: 0.95 }));

    assert!(next_share(0.67, 0.67, &mix, &pressure, 63) < 0.4, "the places are taken");
}
