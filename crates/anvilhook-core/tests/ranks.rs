//! Tests which instance acts for others.

use anvilhook_core::ranks::{number_of, rank_of};

/// Guards against requests that wait behind the updates that an instance with a slow link publishes for its
/// whole availability zone. The fastest link ranks first in every task, whatever the random bits and hashes.
#[test]
fn verify_wider_links_rank_first() {
    let link_speeds =
        [None, Some(f64::NAN), Some(0.5), Some(1.0), Some(10.0), Some(20.0), Some(200.0)];
    let rank = |mbps, random, hash| rank_of(number_of(mbps, random), hash);
    for (at, slow) in link_speeds.iter().enumerate() {
        for fast in &link_speeds[at.max(2) + 1..] {
            let (highest_slow, lowest_fast) = (rank(*slow, u64::MAX, u64::MAX), rank(*fast, 0, 0));
            assert!(lowest_fast > highest_slow, "{fast:?} ranks before {slow:?}");
        }
    }
    let absurd = number_of(Some(f64::INFINITY), 0);
    assert!(absurd >= number_of(Some(1e30), 0), "link speeds do not overflow");
}

/// Guards against one instance that acts in every task although the links of all instances are equal.
#[test]
fn verify_instances_with_equal_links_share_the_tasks() {
    let numbers = [1_u64, 2, 3].map(|random| number_of(Some(10.0), random << 8));
    let first = |hashes: [u64; 3]| {
        let ranks = numbers.iter().zip(hashes).map(|(number, hash)| rank_of(*number, hash));
        ranks.enumerate().max_by_key(|(_, rank)| *rank).map(|(at, _)| at)
    };
    let hashes = [3_u64 << 60, 2 << 60, 1 << 60];
    assert_eq!(first(hashes), Some(0));
    assert_eq!(first([hashes[2], hashes[0], hashes[1]]), Some(1));
}
