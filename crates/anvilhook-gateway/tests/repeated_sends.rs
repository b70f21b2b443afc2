//! Tests of requests that are sent again, or must not be: what may prove that an earlier sending has not run.

mod support;

use anvilhook_gateway::configs::Repeats;
use log::Level;
use support::fronts::{Front, ample_budget, config, start};
use support::instances::{connect, instance};
use support::logs::{line_of, lines_of, store_lines};
use support::upstreams::{Step, Upstream, refusal, signed};
use support::wires::entry;

/// Starts a gateway with two upstreams: the first, which is chosen first, runs the given steps.
async fn front_of(repeats: Repeats, first: Vec<Step>) -> (Front, Upstream, Upstream) {
    let first = Upstream::always(first).await;
    let second = Upstream::always(vec![signed("200 OK", "second")]).await;
    let near = entry("first", first.address.port());
    let mut far = entry("second", second.address.port());
    far.zone = "zone-b".into();
    let front = start(Some(config(repeats, 2, false)), vec![near, far], ample_budget()).await;
    (front, first, second)
}

/// Guards against a request that ran twice and of which the log does not show why it was sent again.
#[tokio::test]
async fn verify_the_log_shows_why_a_request_is_sent_again() {
    store_lines();
    let (front, _first, _second) = front_of(Repeats::AtMostOnce, vec![refusal()]).await;

    let answer = front.post("again-1", "", "body").await;

    assert_eq!(answer.status, 200);
    let placed = lines_of("placed", "again-1");
    assert_eq!(placed.len(), 2, "{placed:?}");
    let [(first_level, first), (second_level, second)] = &placed[..] else { unreachable!() };
    assert_eq!((*first_level, *second_level), (Level::Info, Level::Warn));
    for (line, attempt, again_after) in [(first, 1, "null"), (second, 2, "\"refused_by_upstream\"")]
    {
        for field in [
            format!("\"attempt\":{attempt},\"again_after\":{again_after}"),
            "\"kind\":\"at-most-once\",\"config\":1,\"connection\":\"new\"".to_owned(),
        ] {
            assert!(line.contains(&field), "{field}: {line}");
        }
    }
    let failed = line_of("attempt_failed", "again-1");
    assert!(failed.contains("\"verdict\":\"not-run\""), "{failed}");
    assert!(failed.contains("\"status\":503,\"echo\":\"own\""), "{failed}");
}

/// Guards against a forwarded call of which the log of the second hop shows nothing until it has an answer.
#[tokio::test]
async fn verify_the_log_of_the_second_hop_shows_when_a_call_is_sent() {
    store_lines();
    let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
    let unused = entry("u", 1);
    let first = instance(1, &|| config(Repeats::AtMostOnce, 1, false), vec![unused], true).await;
    let listed = entry("u", upstream.address.port());
    let second = instance(2, &|| config(Repeats::AtMostOnce, 1, false), vec![listed], true).await;
    connect(&[&first, &second]).await;

    let answer = first.front.post("hops-1", "", "body").await;

    assert_eq!(answer.status, 200);
    let taken = line_of("call_taken", "hops-1");
    assert!(taken.contains("\"upstream\":\"u\",\"connection\":\"new\""), "{taken}");
    assert!(line_of("call_served", "hops-1").contains("\"reached\""));
    assert!(line_of("call_forwarded", "hops-1").contains("\"reached\""));
}
