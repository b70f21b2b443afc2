//! The metrics that an instance exports.

mod support;

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::reading_lanes::PromptSize;
use anvilhook_core::units::{Clock, Millis, SystemClock};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::loads::{Held, PeerLoad, Work};
use anvilhook_gateway::peers::{CachedPrompt, Digest, Notice, NoticeKind, Scope};
use anvilhook_gateway::policies::Policy;
use anvilhook_gateway::tables::{CountedTable, Table, Write};
use support::fronts::{ample_budget, config, gateway, with_second_objective};
use support::tables::{Fault, MemoryTable};
use support::wires::entry;

/// Symptom: the metrics do not show whether a service's queue grows.
/// Sequence: two upstreams of a service have work, one from this instance and one from a peer.
/// Cause: the estimates must be summed over the service's upstreams and exported with its slots.
#[test]
fn verify_a_services_queue_and_slots_are_exported() {
    let clock = SystemClock::new();
    let entries = vec![entry("u1", 1), entry("u2", 2)];
    let config = config(Repeats::Idempotent, 2, true);
    let gateway = gateway(clock, Some(config), entries, ample_budget());
    let upstream = |id: &str| Arc::clone(gateway.fleet().view().get(id).expect("listed"));
    let _held = Held::with_work(upstream("u1"), 40.0, 0.0);
    let work = Work { in_flight: 2, reading_ms: 60.0, fetching_ms: 0.0 };
    upstream("u2").state.record_peer(7, PeerLoad { work, at: clock.now(), is_far: false });

    let text = gateway.metrics_text();

    let lines = [
        "service_in_flight{name=\"service\"} 3",
        "service_reading_ms{name=\"service\"} 100",
        "service_slots{name=\"service\"} 8",
        "upstream_in_flight{name=\"u1\"} 1",
        "lines_dropped_total 0",
        "peers 0",
    ];
    for line in lines {
        assert!(text.contains(&format!("anvilhook_gateway_{line}\n")), "{line} in {text}");
    }
    assert_eq!(gateway.metrics().source_age("config", Millis::ZERO), None);
}

/// Symptom: an operator can't see which reading engines short prompts may use.
/// Sequence: an instance sends short and long prompts to a service with eight readers; then the policy is
/// switched off.
/// Cause: the lanes must be exported, and must end with the policy.
#[test]
fn verify_the_engines_reserved_for_short_prompts_are_exported() {
    let clock = SystemClock::new();
    let reader = |port| Entry { role: Some(Role::Prefill), ..entry(&format!("e{port}"), port) };
    let entries = (1..=8).map(reader).collect();
    let config =
        with_second_objective(&config(Repeats::Stream { resumable: true }, 2, true), Millis(400));
    let gateway = gateway(clock, Some(config), entries, ample_budget());
    let service = Arc::from("service");
    for (size, work_ms) in [(PromptSize::Short, 10.0), (PromptSize::Long, 30.0)] {
        (0..20).for_each(|_| {
            gateway.speeds().record_prompt(&service, size, work_ms, clock.now());
        });
    }

    let with_lanes = gateway.metrics_text();
    gateway.set_policy(Policy { reading_lanes: false, ..Policy::default() });
    let without = gateway.metrics_text();

    let name = "anvilhook_gateway_service_short_lane_engines{name=\"service\"}";
    assert!(with_lanes.contains(&format!("{name} 4\n")), "{with_lanes}");
    assert!(without.contains(&format!("{name} 0\n")), "{without}");
}

/// Symptom: the metrics show the cost of calls to the tables, but not their purpose.
/// Sequence: calls of each kind go to two tables, one of which is unavailable.
/// Cause: each call must be counted by table, kind and outcome.
#[tokio::test]
async fn verify_calls_to_tables_are_counted_by_purpose() {
    let gateway = gateway(SystemClock::new(), None, Vec::new(), ample_budget());
    let inner = MemoryTable::default();
    let table = CountedTable::new(inner.clone(), gateway.metrics().table_calls.clone());
    inner.put("upstreams", "a", Some("ready 1"));

    table.scan("upstreams").await.expect("it answers");
    table.changes("upstreams", 0, Millis::ZERO).await.expect("it answers");
    inner.set_fault(Fault::Unavailable);
    let write = Write { key: "roles".to_owned(), expected: 0, value: "one".into() };
    table.write("leases", write).await.expect_err("it is unavailable");

    let text = gateway.metrics_text();
    for (table, call, outcome) in [
        ("upstreams", "scan", "answered"),
        ("upstreams", "changes", "answered"),
        ("leases", "write", "refused"),
    ] {
        let labels = format!("table=\"{table}\",call=\"{call}\",outcome=\"{outcome}\"");
        let line = format!("anvilhook_gateway_table_calls_total{{{labels}}} 1\n");
        assert!(text.contains(&line), "{line} in {text}");
    }
}

/// Symptom: digests fill a narrow link, and the metrics do not show which sections do.
/// Sequence: digests of two scopes are sent, one of them to three peers.
/// Cause: bytes must be counted by scope and section, and add up to all bytes sent.
#[test]
fn verify_bytes_of_digests_are_counted_by_section() {
    let gateway = gateway(SystemClock::new(), None, Vec::new(), ample_budget());
    let cached = vec![CachedPrompt { engine: 1, parts: vec![(2, 3)], own_tokens: 4 }];
    let notices = vec![Notice { engine: 1, kind: NoticeKind::Gone }];
    let bytes = &gateway.metrics().digest_sections;

    bytes.record(&Digest { cached, ..Digest::default() }, 50, 3);
    bytes.record(&Digest { notices, scope: Scope::Far, ..Digest::default() }, 40, 1);

    let text = gateway.metrics_text();
    for (scope, section, count) in
        [("instance", "cached", 18), ("far", "notices", 3), ("far", "cached", 1)]
    {
        let labels = format!("scope=\"{scope}\",section=\"{section}\"");
        let line = format!("anvilhook_gateway_digest_section_bytes_total{{{labels}}} {count}\n");
        assert!(text.contains(&line), "{line} in {text}");
    }
    let totals = bytes.totals();
    let sum = |scope: &str| totals[scope].values().sum::<u64>();
    assert_eq!((sum("instance"), sum("zone"), sum("far")), (150, 0, 40));
}
