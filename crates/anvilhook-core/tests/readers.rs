//! Which instances read which engines, and when.

use std::collections::{BTreeMap, BTreeSet};

use anvilhook_core::membership::{READERS, choose_readers};
use anvilhook_core::names::{InstanceName, UpstreamName, ZoneName};
use anvilhook_core::routing::{PollOptions, PollSchedule};
use anvilhook_core::units::Millis;

type Member = (InstanceName, ZoneName);

fn fleet(count: usize, zones: usize) -> Vec<Member> {
    let member = |at: usize| {
        let zone = format!("zone-{}", at % zones).parse().unwrap();
        (format!("entry-{at}").parse().unwrap(), zone)
    };
    (0..count).map(member).collect()
}

fn engines(count: usize) -> Vec<UpstreamName> {
    (0..count).map(|at| format!("engine-{at}").parse().unwrap()).collect()
}

/// Returns each engine's readers.
fn readers(members: &[Member], engines: &[UpstreamName]) -> Vec<BTreeSet<InstanceName>> {
    let of = |engine| {
        let members = members.iter().map(|(name, zone)| (name, zone));
        choose_readers(engine, members).into_iter().cloned().collect()
    };
    engines.iter().map(of).collect()
}

#[test]
fn verify_readers_are_few_even_and_in_two_zones() {
    // Instances, zones, engines, the readings of one instance at most.
    let cases = [(1, 1, 12, 12), (3, 3, 12, 12), (9, 3, 12, 6), (9, 1, 12, 6), (390, 5, 600, 12)];
    for (count, zones, engine_count, most) in cases {
        let (members, engines) = (fleet(count, zones), engines(engine_count));
        let zone_of: BTreeMap<_, _> = members.iter().cloned().collect();

        let chosen = readers(&members, &engines);

        let mut loads: BTreeMap<&InstanceName, usize> = BTreeMap::new();
        for names in &chosen {
            assert_eq!(names.len(), READERS.min(count));
            let zones_of: BTreeSet<_> = names.iter().map(|name| &zone_of[name]).collect();
            assert_eq!(zones_of.len(), READERS.min(zones), "{count} in {zones}: {names:?}");
            for name in names {
                *loads.entry(name).or_default() += 1;
            }
        }
        let greatest = loads.values().max().copied().unwrap_or(0);
        let mean = (READERS.min(count) * engine_count) as f64 / count as f64;
        println!("{count} instances, {engine_count} engines: mean {mean:.1}, most {greatest}");
        assert!(greatest <= most, "{count}/{engine_count}: {greatest}");
    }
}

#[test]
fn verify_only_the_readings_of_who_leaves_or_joins_move() {
    for (count, zones, engine_count) in [(9, 3, 12), (9, 1, 12), (390, 5, 600)] {
        let (members, engines) = (fleet(count, zones), engines(engine_count));
        let all = readers(&members, &engines);
        for gone in [0, count / 2, count - 1] {
            let mut rest = members.clone();
            let (left, _) = rest.remove(gone);

            // Read backwards, it is a join.
            let fewer = readers(&rest, &engines);

            for (before, after) in all.iter().zip(&fewer) {
                let kept = before.intersection(after).count();
                let moved = READERS - kept;
                assert!(moved == 0 || before.contains(&left), "{before:?} became {after:?}");
            }
        }
    }
}

#[test]
fn verify_readers_do_not_depend_on_the_order_of_members() {
    let (mut members, engines) = (fleet(9, 3), engines(12));
    let expected = readers(&members, &engines);

    members.reverse();
    members.push(members[0].clone());

    assert_eq!(readers(&members, &engines), expected);
}

#[test]
fn verify_missed_engines_are_read_at_a_bounded_rate() {
    // Symptom: all engines are flooded with readings.
    // Sequence: an instance loses all links, and misses the digests of 600 engines at once.
    // Cause: each missed engine is read each turn.
    let engines = engines(600);
    let options = PollOptions::default();
    let mut schedule = PollSchedule::new(options);
    schedule.set_engines(&engines, &engines[..3].iter().cloned().collect());
    let mut reads: BTreeMap<UpstreamName, u64> = BTreeMap::new();

    const SECONDS: u64 = 40;
    for turn in 0..SECONDS * 4 {
        for name in schedule.due(Millis(turn * 250)) {
            schedule.ended(&name);
            *reads.entry(name).or_default() += 1;
        }
    }

    let of_own: u64 = engines[..3].iter().map(|name| reads[name]).sum();
    assert_eq!(of_own, 3 * SECONDS * 4, "own engines are read each turn all the same");
    let of_others: u64 = reads.values().sum::<u64>() - of_own;
    // A full second's allowance is there at the start.
    assert!(of_others <= options.missed_per_s * (SECONDS + 1), "{of_others}");
    assert_eq!(reads.len(), 600, "each is read in the end");
}

#[test]
fn verify_who_is_told_of_an_engine_reads_it_only_when_digests_stop() {
    let engine = &engines(1)[0];
    let mut schedule = PollSchedule::new(PollOptions::default());
    schedule.set_engines([engine], &BTreeSet::new());
    let mut read_at = Vec::new();

    for now in (0..12_000).step_by(250).map(Millis) {
        // The first digest comes in at 250 ms, the last one at 5 s.
        if (250..=5_000).contains(&now.0) {
            schedule.record_digest(engine, now);
        }
        for name in schedule.due(now) {
            schedule.ended(&name);
            read_at.push(now.0);
        }
    }

    assert_eq!(read_at, [0, 9_250, 10_500, 11_750]);
}

#[test]
fn verify_a_reading_that_hangs_is_not_begun_again() {
    let engines = engines(2);
    let mut schedule = PollSchedule::new(PollOptions::default());
    schedule.set_engines(&engines, &engines.iter().cloned().collect());

    assert_eq!(schedule.due(Millis(0)).len(), 2);
    schedule.ended(&engines[1]);

    assert_eq!(schedule.due(Millis(250)), engines[1..]);
}
