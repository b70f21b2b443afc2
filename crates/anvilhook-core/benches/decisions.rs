//! Measures the time of one engine choice and of one role plan, and counts the allocations of choices.

use std::alloc::System;
use std::hint::black_box;
use std::sync::Arc;

use anvilhook_core::caches::{CacheSlot, PrefixIndex};
use anvilhook_core::names::{UpstreamName, ZoneName};
use anvilhook_core::orders::Role;
use anvilhook_core::reports::{LoadReport, PrefixHash};
use anvilhook_core::resources::RolePolicy;
use anvilhook_core::roles::{EngineRole, Flow, ObservedWork, PlanOptions, RolePlanner};
use anvilhook_core::routing::{Lanes, RouteRequest, RouteTable, UpstreamState, Work};
use anvilhook_core::units::{Millis, Tokens};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The number of choices over which allocations are counted.
const COUNTED_CHOICES: usize = 10_000;

/// The number of blocks in a long prompt's prefix.
const BLOCKS: u64 = 32;

const NOW: Millis = Millis(60_000);

fn engine_name(index: usize) -> UpstreamName {
    UpstreamName::try_new(&format!("engine-{index}")).expect("a valid name")
}

fn report() -> LoadReport {
    LoadReport {
        boot: 1,
        seq: 1,
        age: Millis(700),
        role: Role::Mixed,
        model: None,
        leaving: false,
        queued_requests: 2,
        queued_prefill: Tokens(9_000),
        running_requests: 20,
        running_decode: Tokens(2_000),
        prefill_tokens_per_s: 8_000,
        decode_step_ms: 25.0,
        decode_step_per_request_ms: 0.2,
        max_batch: 32,
    }
}

fn table(engines: usize) -> RouteTable {
    let zone = ZoneName::try_new("piraeus").expect("a valid name");
    let index = Arc::new(PrefixIndex::new(engines, engines * 4_096));
    let upstream = |position: usize| {
        let address = ([127, 0, 0, 1], 1).into();
        let state = UpstreamState::new(engine_name(position), address, zone.clone());
        state.set_cache_slot(CacheSlot(position as u16));
        state.apply_report(&report(), NOW);
        for sent in 0..20 {
            let work = Work::new(Tokens(500), Tokens(150), Millis(8_000));
            state.begin_at(work, NOW - Millis(sent * 300));
        }
        Arc::new(state)
    };
    let upstreams: Vec<_> = (0..engines).map(upstream).collect();
    for holder in [1, 5, 7] {
        (0..BLOCKS).for_each(|block| index.store(CacheSlot(holder), PrefixHash(block)));
    }
    let lanes = Arc::new(Lanes::new());
    lanes.set_patient_share(0.5);
    RouteTable::new(upstreams).with_prefixes(index).with_lanes(lanes)
}

fn choices(c: &mut Criterion) {
    let prefix: Vec<PrefixHash> = (0..BLOCKS).map(PrefixHash).collect();
    let document = RouteRequest {
        work: Work::new(Tokens(8_200), Tokens(60), Millis(15_000)),
        prefix: &prefix,
        deadline: NOW + Millis(15_000),
        priority: 1,
    };
    let question = RouteRequest {
        work: Work::new(Tokens(400), Tokens(200), Millis(9_200)),
        prefix: &prefix[..1],
        deadline: NOW + Millis(9_200),
        priority: 2,
    };
    for (kind, req) in [("document", document), ("question", question)] {
        let mut group = c.benchmark_group(format!("choose {kind}"));
        for engines in [12, 60, 600] {
            let table = table(engines);
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let region = Region::new(ALLOCATOR);
            for _ in 0..COUNTED_CHOICES {
                black_box(table.choose(black_box(&req), &[], NOW, &mut rng));
            }
            let allocations = region.change().allocations;
            println!(
                "{kind}, {engines} engines: {allocations} allocations in {COUNTED_CHOICES} choices"
            );
            group.bench_function(BenchmarkId::from_parameter(engines), |b| {
                b.iter(|| black_box(table.choose(black_box(&req), &[], NOW, &mut rng)));
            });
        }
    }
}

fn plans(c: &mut Criterion) {
    let policy = RolePolicy {
        automatic: true,
        change_weight: 1.0,
        max_changing_share: 0.25,
        min_dwell_ms: Millis::from_secs(60),
    };
    let mut group = c.benchmark_group("plan");
    for engines in [12, 600] {
        let roles: Vec<EngineRole> = (0..engines)
            .map(|index| EngineRole {
                name: engine_name(index),
                role: Role::Mixed,
                changing: false,
                serving: true,
                changed_at: None,
            })
            .collect();
        let mut planner = RolePlanner::new(PlanOptions::new(policy.clone()));
        // The planner observes every mix that it distinguishes before the measurement begins.
        for step in 0..240 {
            let reading = f64::from(step % 12) * engines as f64;
            let patient =
                Flow { requests: 1.0, prefill: reading * 300.0, prompt: 0.0, output: 9.0 };
            let generated = engines as f64 * 400.0;
            let tight = Flow { requests: 1.0, prefill: 9.0, prompt: 9.0, output: generated };
            planner.observe(&ObservedWork { patient, tight }, Millis::from_secs(step as u64 * 5));
        }
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| black_box(planner.plan(black_box(&roles), Millis::from_secs(1_200))));
        });
    }
}

criterion_group!(benches, choices, plans);
criterion_main!(benches);
