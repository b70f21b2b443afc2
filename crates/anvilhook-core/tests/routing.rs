//! Choosing an engine, lanes and prefix knowledge.

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
    // Symptom: all requests of some seconds go to one engine.
    // Sequence: two engines report empty queues; work is sent to one; no newer report comes.
    // Cause: an estimate that rests on the report alone.
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
    // Each: the boot, the number, the age, the queue in the report, the queue believed after it. The
    // last is of the earlier boot, and a peer passed it on late.
    let steps = [
        (1, 5, 0, 9_000, 9_000.0),
        (1, 4, 0, 1_000, 9_000.0),
        (2, 1, 0, 2_000, 2_000.0),
        (1, 6, 800, 9_000, 2_000.0),
    ];

    for (boot, seq, age, queue, believed) in steps {
        let report = LoadReport { age: Millis(age), ..report(boot, seq, queue) };
        let is_applied = engine.apply_report(&report, now);
        assert_eq!(engine.load(now).prefill, believed, "boot {boot}, report {seq}");
        assert_eq!(is_applied, believed == queue as f64, "boot {boot}, report {seq}");
    }
}

#[test]
fn verify_what_a_peer_tells_again_counts_once() {
    let sums = |requests, prompt| SentTotals {
        requests,
        prompt: Tokens(prompt),
        output: Tokens(prompt / 10),
    };
    // Each: the report that a peer's sums are since, the sums, what is new in them.
    let steps = [
        ((1, 5), sums(2, 800), sums(2, 800)),
        ((1, 5), sums(2, 800), sums(0, 0)),
        ((1, 5), sums(3, 900), sums(1, 100)),
        ((1, 6), sums(1, 100), sums(1, 100)),
        ((2, 6), sums(1, 100), sums(1, 100)),
    ];
    let mut earlier = None;
    let engine = &engines(1)[0];
    let now = Millis(5_000);
    engine.apply_report(&LoadReport { age: Millis(0), ..report(1, 5, 0) }, now);

    for ((boot, seq), sent, expected) in steps {
        let told = SentSince { boot, seq, sent };
        let beyond = told.added_since(earlier.as_ref());
        assert_eq!(beyond, expected, "{told:?}");
        engine.record_peer_sent(&beyond, now);
        earlier = Some(told);
    }

    assert_eq!((engine.load(now).prefill, engine.load(now).requests), (1_100.0, 5.0));
    assert_eq!(engine.sent(), SentTotals::default(), "a peer's work is not told as own");
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
    let well = (0..50).map(|_| choose(&[], 20)).all(|chosen| chosen.as_deref() == Some("engine-2"));
    // An engine that may fail is better than none.
    let last = choose(&[engines[2].name().clone()], 20);
    engines[1].set_leaving(true);
    let none = choose(&[engines[2].name().clone()], 20);

    assert!(well);
    assert_eq!((last.as_deref(), none), (Some("engine-1"), None));
}

#[test]
fn verify_instances_send_a_prefix_to_the_same_few_engines() {
    // Symptom: caches hold the same few prefixes everywhere, and most prompts are read in full.
    // Sequence: many instances meet many prefixes of which nothing is known yet.
    // Cause: each instance choosing the least loaded engine for itself.
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
    let mut keeper = LaneBalancer::new(&PoolShape::default());
    let table = RouteTable::new(engines(12)).with_lanes(lanes.clone());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let documents = Flow { requests: 8.0, prefill: 24_000.0, prompt: 64_000.0, output: 400.0 };
    let questions = Flow { requests: 8.0, prefill: 1_600.0, prompt: 1_600.0, output: 1_600.0 };
    // Each: how much of either there is, and the border that their engine time asks for. Once
    // there were documents, one engine stays theirs.
    let mixes = [((1.0, 0.0), 12.0), ((0.0, 4.0), 1.0), ((1.0, 1.0), 8.5), ((1.0, 4.0), 4.5)];

    for ((patient, tight), wanted) in mixes {
        let seen =
            ObservedWork { patient: documents.times(patient), tight: questions.times(tight) };
        (0..60).for_each(|_| keeper.update(&seen, 12, &lanes));

        let range = |tight| lanes.range(tight, 12);
        let border = range(false).end as f64;
        assert!((border - wanted).abs() < 0.75, "{patient} {tight}: {border} of {wanted}");
        for _ in 0..20 {
            let chosen = table.choose(&question(), &[], Millis(5_000), &mut rng);
            let name = chosen.expect("an engine").name().as_str().to_owned();
            let place: usize = name["engine-".len()..].parse().expect("a number");
            assert!(range(true).contains(&place), "{place} outside {:?}", range(true));
        }
    }
}

#[test]
fn verify_cache_knowledge_after_gaps_and_restarts() {
    // Symptom: requests wait at an engine that lost the prefix long ago.
    // Sequence: events are missed, or the engine starts anew, and evictions were among them.
    // Cause: belief that outlives what it rests on.
    let event = |seq, block| CacheEvent { seq, change: CacheChange::Stored, block };
    let prefix = blocks(1);
    let first: Vec<_> = (1..=24).map(|seq| event(seq, prefix[seq as usize - 1])).collect();
    // Each: the boot and number of the next event, and the blocks believed after it.
    let cases = [(1, 25, 24), (1, 27, 24), (1, 2_000, 0), (2, 1, 0)];

    for (boot, seq, believed) in cases {
        let index = PrefixIndex::new(1, 1_024);
        let mut follower = CacheFollower::new(CacheSlot(0));
        follower.apply(&CacheEventPage { boot: 1, events: first.clone() }, &index);
        let next = vec![event(seq, PrefixHash(9 << 40))];
        follower.apply(&CacheEventPage { boot, events: next }, &index);

        let blocks = index.holders(&prefix).blocks_of(CacheSlot(0));
        assert_eq!(blocks, believed, "boot {boot}, event {seq}");
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
