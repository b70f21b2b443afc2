//! Which instance acts for others.

use anvilhook_core::ranks::{number_of, rank_of};

/// Requests waited behind what a slow instance told for its whole availability zone. The widest link goes
/// first, whatever else is drawn, in each matter.
#[test]
fn verify_wider_links_rank_first() {
    let widths = [None, Some(f64::NAN), Some(0.5), Some(1.0), Some(10.0), Some(20.0), Some(200.0)];
    let rank = |mbps, random, hash| rank_of(number_of(mbps, random), hash);
    for (at, narrow) in widths.iter().enumerate() {
        for wide in &widths[at.max(2) + 1..] {
            let (most, least) = (rank(*narrow, u64::MAX, u64::MAX), rank(*wide, 0, 0));
            assert!(least > most, "{wide:?} before {narrow:?}");
        }
    }
    let absurd = number_of(Some(f64::INFINITY), 0);
    assert!(absurd >= number_of(Some(1e30), 0), "no width overflows");
}

/// With one instance first in everything it would do all the work of instances with links alike.
#[test]
fn verify_instances_with_links_alike_share_the_matters() {
    let numbers = [1_u64, 2, 3].map(|random| number_of(Some(10.0), random << 8));
    let first = |hashes: [u64; 3]| {
        let ranks = numbers.iter().zip(hashes).map(|(number, hash)| rank_of(*number, hash));
        ranks.enumerate().max_by_key(|(_, rank)| *rank).map(|(at, _)| at)
    };
    let hashes = [3_u64 << 60, 2 << 60, 1 << 60];
    assert_eq!(first(hashes), Some(0));
    assert_eq!(first([hashes[2], hashes[0], hashes[1]]), Some(1));
}
