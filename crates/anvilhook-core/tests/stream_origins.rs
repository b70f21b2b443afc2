//! Tests of the origins of streams: what an instance keeps, and which instances keep a copy.

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::stream_origins::{
    Finding, OriginTable, QUERIED_REPLICAS, REPLICAS, Replica, Software, StreamOrigin,
    choose_replicas, find,
};
use anvilhook_core::units::Millis;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn origin(request: u32, software: u32) -> StreamOrigin {
    StreamOrigin { request, software: Software(software) }
}

/// Returns instances in availability zones, with random hashes.
fn instances(count: u32, zones: u32, rng: &mut ChaCha8Rng) -> Vec<Replica<u32>> {
    let replica = |address| Replica { address, zone: Some(address % zones), hash: rng.random() };
    (0..count).map(replica).collect()
}

/// Guards against memory that grows with the load: 3,300 streams a second at one instance for longer than origins are
/// kept. The newest ones stay known.
#[test]
fn verify_origins_are_bounded() {
    const STREAMS: u64 = 3_300 * 70;
    let mut table = OriginTable::default();

    for number in 0..STREAMS {
        let now = Millis(number * 1_000 / 3_300);
        table.record(Fingerprint(number.into()), origin(number as u32, 1), now);
    }

    let now = Millis(70_000);
    assert_eq!(table.len(), 16_384);
    let newest = STREAMS - 1;
    assert_eq!(table.origins(Fingerprint(newest.into()), now), [origin(newest as u32, 1)]);
    assert_eq!(table.origins(Fingerprint(0), now), []);
    table.record(Fingerprint(1), origin(1, 1), Millis(200_000));
    assert_eq!(table.len(), 1, "all others have expired");
}

/// Guards against an origin that is lost because its caller repeats the same request many times, and against the first
/// of two contradicting origins being taken for the only one.
#[test]
fn verify_the_latest_origins_of_a_repeated_request_are_kept() {
    let (mut table, request) = (OriginTable::default(), Fingerprint(7));
    for number in 0..100 {
        table.record(request, origin(number, number / 90), Millis(u64::from(number)));
        table.record(request, origin(number, number / 90), Millis(u64::from(number)));
    }

    let known = table.origins(request, Millis(100));

    assert_eq!(known.len(), 32);
    assert_eq!(find(Some(99), &known), Finding::Known(Software(1)));
    assert_eq!(find(Some(80), &known), Finding::Known(Software(0)));
    assert_eq!(find(Some(1), &known), Finding::Missing);
    assert_eq!(find(None, &known), Finding::Ambiguous);
    table.record(request, origin(99, 5), Millis(101));
    let known = table.origins(request, Millis(101));
    assert_eq!(find(Some(99), &known), Finding::Ambiguous, "two origins under one id");
}

/// Guards against queries that miss the copies because two instances differ in which others they know: the one that
/// queries does not know one instance, and knows another one that has just started.
#[test]
fn verify_queries_reach_the_copies_although_views_differ() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (count, zones) in [(3, 1), (9, 3), (63, 3), (88, 3), (390, 5)] {
        for _ in 0..200 {
            let mut all = instances(count, zones, &mut rng);
            let (missing, new) = (rng.random_range(0..count), rng.random_range(0..count));
            let known_to_beginner: Vec<_> =
                all.iter().copied().filter(|one| one.address != new).collect();
            let kept = choose_replicas(known_to_beginner, REPLICAS);

            all.retain(|one| one.address != missing);
            all.shuffle(&mut rng);
            let queried = choose_replicas(all, QUERIED_REPLICAS);

            let reached = kept.iter().filter(|one| queried.contains(one)).count();
            let lost = usize::from(kept.contains(&missing));
            assert!(reached + lost + 1 >= kept.len(), "{count}: {kept:?} {queried:?}");
            assert!(reached >= kept.len().min(REPLICAS) - 2, "{count}: {kept:?} {queried:?}");
        }
    }
}

/// Guards against losing all copies of an origin with one availability zone.
#[test]
fn verify_copies_are_spread_over_zones() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for (count, zones) in [(9, 3), (63, 3), (390, 5)] {
        for _ in 0..200 {
            let all = instances(count, zones, &mut rng);

            let kept = choose_replicas(all, REPLICAS);

            let mut used: Vec<_> = kept.iter().map(|address| address % zones).collect();
            used.sort_unstable();
            used.dedup();
            assert_eq!(kept.len(), REPLICAS);
            assert_eq!(used.len(), REPLICAS.min(zones as usize), "{kept:?}");
        }
    }
}

/// Guards against origins that are lost when most instances terminate at once: how often a copy is left at one of the
/// others if five of nine instances terminate, and the instance that began the stream is one of them.
#[test]
fn verify_a_copy_outlives_most_instances() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut lost = 0;
    for _ in 0..2_000 {
        let mut others = instances(9, 3, &mut rng);
        others.swap_remove(rng.random_range(0..9));
        let kept = choose_replicas(others.clone(), REPLICAS);
        others.shuffle(&mut rng);
        let terminated: Vec<_> = others.iter().take(4).map(|one| one.address).collect();

        let is_lost = kept.iter().all(|address| terminated.contains(address));

        lost += u32::from(is_lost);
    }
    // One of the 70 ways to choose four of the eight others takes all four copies.
    assert!(lost < 2_000 / 20, "{lost} of 2000");
}
