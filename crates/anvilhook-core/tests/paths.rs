//! Tests of how an instance decides by which path it reaches an upstream.

use std::hash::{DefaultHasher, Hash, Hasher};

use anvilhook_core::paths::{
    Conclusion, Contact, Forwarder, Path, check_interval, conclude, forwarders_in_order,
    is_restored, is_sound, relapses_after,
};
use anvilhook_core::units::Millis;

use Contact::{Connected, NoResponse, Refused};

/// Guards against taking the state of one's own path for the state of the upstream, and against taking an upstream
/// that has failed for a broken path.
#[test]
fn verify_one_path_alone_shows_nothing_about_an_upstream() {
    let cases: [(Contact, &[Contact], Conclusion); 11] = [
        (Connected, &[], Conclusion::Path(Path::Direct)),
        (Connected, &[Refused, NoResponse], Conclusion::Path(Path::Direct)),
        (Refused, &[], Conclusion::Path(Path::Unreachable)),
        (NoResponse, &[], Conclusion::Path(Path::Unreachable)),
        (Refused, &[Connected], Conclusion::Path(Path::Indirect)),
        (Refused, &[Refused, NoResponse, Connected], Conclusion::Path(Path::Indirect)),
        (NoResponse, &[Refused, Connected], Conclusion::Path(Path::IndirectOnly)),
        (Refused, &[Refused], Conclusion::Closed),
        (Refused, &[NoResponse], Conclusion::Path(Path::Unreachable)),
        (NoResponse, &[Refused], Conclusion::Path(Path::Unreachable)),
        (NoResponse, &[NoResponse], Conclusion::Path(Path::Unreachable)),
    ];

    for (own, others, expected) in cases {
        assert_eq!(conclude(own, others), expected, "{own:?} {others:?}");
    }
}

/// Guards against the word of an instance that is itself cut from most upstreams.
#[test]
fn verify_an_instance_that_is_cut_is_no_witness() {
    let cases = [(0, 0, true), (14, 1, true), (2, 1, true), (1, 1, false), (4, 11, false)];

    for (reached, broken, expected) in cases {
        assert_eq!(is_sound(reached, broken), expected, "{reached} reached, {broken} broken");
    }
}

/// Guards against checks that grow with the number of upstreams: an instance that is cut from 600 upstreams must not
/// open more than a hundred connections a second.
#[test]
fn verify_checks_of_many_paths_are_bounded() {
    for broken in [1, 15, 90, 600, 3_000] {
        let per_s = broken as f64 / check_interval(broken).as_secs_f64();

        assert!(per_s <= 100.0, "{broken} paths: {per_s} a second");
    }
    assert!(check_interval(15) <= Millis(500));
}

/// Guards against sending requests again and again to a path that works for parts of a second only.
#[test]
fn verify_a_path_that_relapses_is_trusted_later_each_time() {
    const SHORT: Millis = Millis(600);
    let (mut now, mut relapses, mut needed) = (Millis(1_000), 0, Vec::new());
    let mut restored_at = None;

    for _ in 0..6 {
        relapses = relapses_after(relapses, restored_at, now);
        needed.push((1..100).find(|connects| is_restored(*connects, relapses)));
        restored_at = Some(now + SHORT);
        now += SHORT * 2;
    }
    let after_calm = relapses_after(relapses, restored_at, now + Millis::from_secs(60));

    assert_eq!(needed, [2, 4, 8, 16, 16, 16].map(Some));
    assert_eq!(after_calm, 0);
}

/// Guards against one forwarder that gets the requests of all, and against a zone that tries only its own instances
/// while the whole zone is cut.
#[test]
fn verify_forwarders_are_spread_and_other_zones_are_tried() {
    const MOST: usize = 3;
    const REQUESTS: u64 = 4_000;
    let all = |request: u64| {
        let forwarder = |address: u64| {
            let mut hasher = DefaultHasher::new();
            (request, address).hash(&mut hasher);
            Forwarder { address, is_near: address < 8, hash: hasher.finish() }
        };
        (0..24).map(forwarder).collect::<Vec<_>>()
    };
    let mut firsts = [0_u64; 24];

    for request in 0..REQUESTS {
        let order = forwarders_in_order(all(request), 0, MOST);
        firsts[order[0] as usize] += 1;
        assert!(order.iter().any(|address| *address >= 8), "no other zone: {order:?}");
        let with_failed_zone = forwarders_in_order(all(request), 8, MOST);
        assert!(with_failed_zone[0] >= 8, "its own zone first: {with_failed_zone:?}");
    }

    let (least, most) = (firsts[..8].iter().min(), firsts[..8].iter().max());
    let mean = REQUESTS / 8;
    assert!(least > Some(&(mean / 2)) && most < Some(&(mean * 3 / 2)), "{firsts:?}");
}
