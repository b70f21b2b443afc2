//! Tests which instances poll which engines for load reports, and when.

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
fn verify_readers_are_few_balanced_and_in_two_zones() {
    // Instances, zones, engines, and the maximum number of engines that one instance polls.
    let cases = [(1, 1, 12, 12), (3, 3, 12, 12), (9, 3, 12, 6), (9, 1, 12, 6), (390, 5, 600, 12)];
    for (count, zones, engine_count, max_polls) in cases {
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
        let highest = loads.values().max().copied().unwrap_or(0);
        let mean = (READERS.min(count) * engine_count) as f64 / count as f64;
        println!("{count} instances, {engine_count} engines: mean {mean:.1}, max {highest}");
        assert!(highest <= max_polls, "{count}/{engine_count}: {highest}");
    }
}

#[test]
fn verify_a_leave_or_join_moves_only_the_readers_affected() {
    for (count, zones, engine_count) in [(9, 3, 12), (9, 1, 12), (390, 5, 600)] {
        let (members, engines) = (fleet(count, zones), engines(engine_count));
        let all = readers(&members, &engines);
        for leaving in [0, count / 2, count - 1] {
            let mut remaining = members.clone();
            let (leaver, _) = remaining.remove(leaving);

            // In reverse, this is a join.
            let fewer = readers(&remaining, &engines);

            for (before, after) in all.iter().zip(&fewer) {
                let retained = before.intersection(after).count();
                let changed = READERS - retained;
                assert!(
                    changed == 0 || before.contains(&leaver),
                    "{before:?} changed to {after:?}"
                );
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
fn verify_missed_engines_are_polled_at_a_bounded_rate() {
    // Guards against flooding all engines with polls. An instance loses all links and misses the digests of
    // 600 engines at once. The flood comes about if each missed engine is polled in each turn.
    let engines = engines(600);
    let options = PollOptions::default();
    let mut schedule = PollSchedule::new(options);
    schedule.set_engines(&engines, &engines[..3].iter().cloned().collect());
    let mut polls: BTreeMap<UpstreamName, u64> = BTreeMap::new();

    const SECONDS: u64 = 40;
    for turn in 0..SECONDS * 4 {
        for name in schedule.due(Millis(turn * 250)) {
            schedule.ended(&name);
            *polls.entry(name).or_default() += 1;
        }
    }

    let own_polls: u64 = engines[..3].iter().map(|name| polls[name]).sum();
    assert_eq!(own_polls, 3 * SECONDS * 4, "own engines are still polled in each turn");
    let other_polls: u64 = polls.values().sum::<u64>() - own_polls;
    // The polls of one full second are available at the start.
    assert!(other_polls <= options.missed_per_s * (SECONDS + 1), "{other_polls}");
    assert_eq!(polls.len(), 600, "each engine is polled eventually");
}

#[test]
fn verify_an_instance_polls_others_engines_only_when_digests_stop() {
    let engine = &engines(1)[0];
    let mut schedule = PollSchedule::new(PollOptions::default());
    schedule.set_engines([engine], &BTreeSet::new());
    let mut polled_at = Vec::new();

    for now in (0..12_000).step_by(250).map(Millis) {
        // The first digest arrives at 250 ms, the last one at 5 s.
        if (250..=5_000).contains(&now.0) {
            schedule.record_digest(engine, now);
        }
        for name in schedule.due(now) {
            schedule.ended(&name);
            polled_at.push(now.0);
        }
    }

    assert_eq!(polled_at, [0, 9_250, 10_500, 11_750]);
}

#[test]
fn verify_a_poll_that_hangs_is_not_repeated() {
    let engines = engines(2);
    let mut schedule = PollSchedule::new(PollOptions::default());
    schedule.set_engines(&engines, &engines.iter().cloned().collect());

    assert_eq!(schedule.due(Millis(0)).len(), 2);
    schedule.ended(&engines[1]);

    assert_eq!(schedule.due(Millis(250)), engines[1..]);
}
