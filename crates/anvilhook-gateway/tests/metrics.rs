//! What an instance tells of itself on its metrics address.

mod support;

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis, SystemClock};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::loads::{Held, PeerLoad, Work};
use anvilhook_gateway::peers::{CachedPrompt, Digest, Notice, NoticeKind, Scope};
use anvilhook_gateway::tables::{CountedTable, Table, Write};
use support::fronts::{ample_budget, config, gateway};
use support::tables::{Fault, MemoryTable};
use support::wires::entry;

/// Symptom: nobody can tell from outside whether a service's queue grows.
/// Sequence: two upstreams of a service have work, of this instance and of a peer.
/// Cause: the estimates are summed over the service's upstreams, beside the places there are.
#[test]
fn verify_a_services_queue_and_batch_are_told() {
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

/// Symptom: the price of the calls to the table is seen, and nobody can tell what they are for.
/// Sequence: calls of each kind, to two tables, one of them away.
/// Cause: each call is counted by table, kind and end.
#[tokio::test]
async fn verify_calls_to_tables_are_counted_by_what_they_are_for() {
    let gateway = gateway(SystemClock::new(), None, Vec::new(), ample_budget());
    let inner = MemoryTable::default();
    let table = CountedTable::new(inner.clone(), gateway.metrics().table_calls.clone());
    inner.put("upstreams", "a", Some("ready 1"));

    table.scan("upstreams").await.expect("it answers");
    table.changes("upstreams", 0, Millis::ZERO).await.expect("it answers");
    inner.set_fault(Fault::Unavailable);
    let write = Write { key: "roles".to_owned(), expected: 0, value: "one".into() };
    table.write("leases", write).await.expect_err("it is away");

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

/// Symptom: digests fill a narrow link, and nobody can tell which of their news do.
/// Sequence: digests of two scopes are sent, one of them to three peers.
/// Cause: bytes are counted by scope and section, and add up to the whole.
#[test]
fn verify_bytes_of_digests_are_counted_by_what_they_tell() {
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
