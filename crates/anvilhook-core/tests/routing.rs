//! Tests the choice of an engine, lanes and the index of cached prefixes.

use std::sync::Arc;

use anvilhook_core::caches::{CacheFollower, CacheSlot, PrefixIndex};
use anvilhook_core::names::{UpstreamName, ZoneName};
use anvilhook_core::orders::Role;
use anvilhook_core::reports::{CacheChange, CacheEvent, CacheEventPage, LoadReport, PrefixHash};
use anvilhook_core::roles::{Flow, ObservedWork, PoolShape};
use anvilhook_core::routing::{
    LaneBalancer, Lanes, Phase, Placement, RouteRequest, RouteTable, SentSince, SentTotals,
    UpstreamState, Work,
};
use anvilhook_core::units::{Millis, Tokens};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

fn engines(count: usize) -> Vec<Arc<UpstreamState>> {
    let engine = |index: usize| {
        let name = UpstreamName::try_new(&format!("engine-{index}")).expect("a name");
        let zone = ZoneName::try_new("piraeus").expect("a name");
        let state = UpstreamState::new(name, ([127, 0, 0, 1], 1).into(), zone);
        state.set_cache_slot(CacheSlot(index as u16));
        Arc::new(state)
    };
    (0..count).map(engine).collect()
}

fn report(boot: u64, seq: u64, queued_prefill: u64) -> LoadReport {
    LoadReport {
        boot,
        seq,
        age: Millis(500),
        role: Role::Mixed,
        model: None,
        leaving: false,
        queued_requests: 0,
        queued_prefill: Tokens(queued_prefill),
        running_requests: 0,
        running_decode: Tokens(0),
        prefill_tokens_per_s: 8_000,
        decode_step_ms: 25.0,
        decode_step_per_request_ms: 0.2,
        max_batch: 32,
    }
}

fn document<'a>(prefix: &'a [PrefixHash]) -> RouteRequest<'a> {
    let work = Work::new(Tokens(8_000), Tokens(50), Millis(15_000));
    RouteRequest { work, prefix, deadline: Millis(20_000), priority: 1 }
}

fn question() -> RouteRequest<'static> {
    let work = Work::new(Tokens(200), Tokens(200), Millis(9_200));
    RouteRequest { work, prefix: &[], deadline: Millis(14_200), priority: 2 }
}

fn blocks(topic: u64) -> Vec<PrefixHash> {
    (0..24).map(|index| PrefixHash(topic << 20 | index)).collect()
}

#[test]
fn verify_work_sent_since_a_stale_report_counts() {
    // Guards against sending all requests of some seconds to one engine. Two engines report empty queues, work
    // is sent to one of them, and no newer report arrives. The fault comes about if the load is estimated from
    // the reports alone.
    let now = Millis(5_000);
    for seed in 0..20 {
        let engines = engines(2);
        for engine in &engines {
            engine.apply_report(&report(1, 1, 0), now);
        }
        let table = RouteTable::new(engines.clone());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut choose = || {
            let chosen = table.choose(&document(&[]), &[], now, &mut rng).expect("an engine");
            chosen.name().as_str().to_owned()
        };

        engines[0].begin_at(document(&[]).work, now);
        let after_own = choose();
        engines[1].record_peer_work(document(&[]).work, now);
        engines[1].record_peer_work(document(&[]).work, now);
        let after_peers = choose();

        assert_eq!((after_own.as_str(), after_peers.as_str()), ("engine-1", "engine-0"));
    }
}

#[test]
fn verify_older_report_is_ignored_and_new_boot_is_not() {
    let engine = &engines(1)[0];
    let now = Millis(5_000);
    // Each step: the boot, number, age and queue of a report, and the queue assumed after it. The last report
    // is from the earlier boot and was forwarded late by a peer.
    let steps = [
        (1, 5, 0, 9_000, 9_000.0),
        (1, 4, 0, 1_000, 9_000.0),
        (2, 1, 0, 2_000, 2_000.0),
        (1, 6, 800, 9_000, 2_000.0),
    ];

    for (boot, seq, age, queue, expected_queue) in steps {
        let report = LoadReport { age: Millis(age), ..report(boot, seq, queue) };
        let is_applied = engine.apply_report(&report, now);
        assert_eq!(engine.load(now).prefill, expected_queue, "boot {boot}, report {seq}");
        assert_eq!(is_applied, expected_queue == queue as f64, "boot {boot}, report {seq}");
    }
}

#[test]
fn verify_repeated_totals_of_a_peer_count_once() {
    let totals = |requests, prompt| SentTotals {
        requests,
        prompt: Tokens(prompt),
        output: Tokens(prompt / 10),
    };
    // Each step: the report since which a peer counts, its totals since then, and the part of them that is new.
    let steps = [
        ((1, 5), totals(2, 800), totals(2, 800)),
        ((1, 5), totals(2, 800), totals(0, 0)),
        ((1, 5), totals(3, 900), totals(1, 100)),
        ((1, 6), totals(1, 100), totals(1, 100)),
        ((2, 6), totals(1, 100), totals(1, 100)),
    ];
    let mut earlier = None;
    let engine = &engines(1)[0];
    let now = Millis(5_000);
    engine.apply_report(&LoadReport { age: Millis(0), ..report(1, 5, 0) }, now);

    for ((boot, seq), sent, expected) in steps {
        let sent_since = SentSince { boot, seq, sent };
        let added = sent_since.added_since(earlier.as_ref());
        assert_eq!(added, expected, "{sent_since:?}");
        engine.record_peer_sent(&added, now);
        earlier = Some(sent_since);
    }

    assert_eq!((engine.load(now).prefill, engine.load(now).requests), (1_100.0, 5.0));
    assert_eq!(engine.sent(), SentTotals::default(), "a peer's work is not published as own work");
}

#[test]
fn verify_leaving_failing_and_tried_engines_get_no_work() {
    let engines = engines(3);
    let table = RouteTable::new(engines.clone());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut choose = |tried: &[UpstreamName], now: u64| {
        let chosen = table.choose(&question(), tried, Millis(now), &mut rng);
        chosen.map(|chosen| chosen.name().as_str().to_owned())
    };

    engines[0].set_leaving(true);
    (0..3).for_each(|_| engines[1].ejection().record_failure(Millis(10)));
    let chooses_healthy =
        (0..50).map(|_| choose(&[], 20)).all(|chosen| chosen.as_deref() == Some("engine-2"));
    // An engine that may fail is used if there is no other.
    let last_resort = choose(&[engines[2].name().clone()], 20);
    engines[1].set_leaving(true);
    let none = choose(&[engines[2].name().clone()], 20);

    assert!(chooses_healthy);
    assert_eq!((last_resort.as_deref(), none), (Some("engine-1"), None));
}

#[test]
fn verify_instances_send_a_prefix_to_the_same_few_engines() {
    // Guards against caches that hold the same few prefixes on all engines, so that most prompts are prefilled
    // in full. Many instances receive many prefixes that no cache is known to hold. The fault comes about if
    // each instance independently chooses the least loaded engine.
    let topics: Vec<Vec<PrefixHash>> = (0..20).map(blocks).collect();
    for (topic, prefix) in topics.iter().enumerate() {
        let mut used = std::collections::BTreeSet::new();
        for seed in 0..16 {
            let index = Arc::new(PrefixIndex::new(12, 1_024));
            let table = RouteTable::new(engines(12)).with_prefixes(index);
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let chosen = table.choose(&document(prefix), &[], Millis(5_000), &mut rng);
            used.insert(chosen.expect("an engine").name().clone());
        }
        assert_eq!(used.len(), 1, "topic {topic}: {used:?}");
    }
}

#[test]
fn verify_lanes_follow_the_mix() {
    let lanes = Arc::new(Lanes::new());
    let mut balancer = LaneBalancer::new(&PoolShape::default());
    let table = RouteTable::new(engines(12)).with_lanes(lanes.clone());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let documents = Flow { requests: 8.0, prefill: 24_000.0, prompt: 64_000.0, output: 400.0 };
    let questions = Flow { requests: 8.0, prefill: 1_600.0, prompt: 1_600.0, output: 1_600.0 };
    // Each mix: the amounts of documents and of questions, and the border that follows from their engine time.
    // Once there have been documents, at least one engine remains in their lane.
    let mixes = [((1.0, 0.0), 12.0), ((0.0, 4.0), 1.0), ((1.0, 1.0), 8.5), ((1.0, 4.0), 4.5)];

    for ((patient, tight), expected_border) in mixes {
        let seen =
            ObservedWork { patient: documents.times(patient), tight: questions.times(tight) };
        (0..60).for_each(|_| balancer.update(&seen, 12, &lanes));

        let range = |tight| lanes.range(tight, 12);
        let border = range(false).end as f64;
        assert!(
            (border - expected_border).abs() < 0.75,
            "{patient} {tight}: {border} of {expected_border}"
        );
        for _ in 0..20 {
            let chosen = table.choose(&question(), &[], Millis(5_000), &mut rng);
            let name = chosen.expect("an engine").name().as_str().to_owned();
            let position: usize = name["engine-".len()..].parse().expect("a number");
            assert!(range(true).contains(&position), "{position} outside {:?}", range(true));
        }
    }
}

#[test]
fn verify_cache_index_after_gaps_and_restarts() {
    // Guards against requests that wait at an engine that evicted their prefix long ago. Events, including
    // evictions, are missed, or the engine restarts. The fault comes about if cached state is retained after
    // the events that it is based on are no longer valid.
    let event = |seq, block| CacheEvent { seq, change: CacheChange::Stored, block };
    let prefix = blocks(1);
    let first: Vec<_> = (1..=24).map(|seq| event(seq, prefix[seq as usize - 1])).collect();
    // Each case: the boot and number of the next event, and the blocks assumed to be cached after it.
    let cases = [(1, 25, 24), (1, 27, 24), (1, 2_000, 0), (2, 1, 0)];

    for (boot, seq, expected_blocks) in cases {
        let index = PrefixIndex::new(1, 1_024);
        let mut follower = CacheFollower::new(CacheSlot(0));
        follower.apply(&CacheEventPage { boot: 1, events: first.clone() }, &index);
        let next = vec![event(seq, PrefixHash(9 << 40))];
        follower.apply(&CacheEventPage { boot, events: next }, &index);

        let blocks = index.holders(&prefix).blocks_of(CacheSlot(0));
        assert_eq!(blocks, expected_blocks, "boot {boot}, event {seq}");
    }
}

#[test]
fn verify_roles_decide_between_whole_and_split() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let roles = [
        ([Role::Mixed, Role::Mixed], Some(false)),
        ([Role::Prefill, Role::Decode], Some(true)),
        ([Role::Decode, Role::Decode], None),
    ];

    for (roles, is_split) in roles {
        let engines = engines(2);
        engines.iter().zip(roles).for_each(|(engine, role)| engine.set_role(role));
        let table = RouteTable::new(engines);
        let placement = table.place(&question(), &[], Millis(5_000), &mut rng);

        let split = placement.map(|placement| matches!(placement, Placement::Split { .. }));
        assert_eq!(split, is_split, "{roles:?}");
    }
    assert!(!Phase::Whole.fits(Role::Decode));
}
