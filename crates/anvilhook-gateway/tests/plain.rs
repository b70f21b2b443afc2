//! Tests of requests to plain services: verdicts, retries, and what is forwarded.

mod support;

use anvilhook_core::stops::Stop;
use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_gateway::budgets::BudgetOptions;
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use support::fronts::{
    ample_budget, config, front_of_two, start, start_with_clock, with_long_timeouts,
};
use support::upstreams::{Step, Upstream, refusal, signed};
use support::wires::entry;

/// Guards against running an at-most-once request twice, and against not retrying one that may be
/// repeated. The verdict on the failure, not the kind of failure, must decide on another attempt.
#[tokio::test]
async fn verify_each_failure_is_retried_only_where_allowed() {
    let truncated =
        "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nContent-Length: 9\r\n\r\ncut";
    let foreign = "HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Signature: s\r\nContent-Length: 2\r\n\r\nno";
    let unsigned = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nContent-Length: 2\r\n\r\nno";
    let encoded = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nContent-Encoding: gzip\r\n\
                   Content-Length: 2\r\n\r\nno";
    let write = |text: &str| Step::Write(text.to_owned());
    // The steps of the first upstream, the status of an idempotent request, and that of an
    // at-most-once request.
    let cases = [
        ("reset", vec![Step::Reset], 200, 502),
        ("closed", vec![Step::Close], 200, 502),
        ("truncated", vec![write(truncated), Step::Close], 200, 502),
        ("foreign", vec![write(foreign)], 200, 502),
        ("unsigned", vec![write(unsigned)], 200, 502),
        ("encoded", vec![write(encoded)], 200, 502),
        ("not http", vec![write("rubbish\r\n\r\n"), Step::Close], 200, 502),
        ("refused", vec![refusal()], 200, 200),
        ("signed failure", vec![signed("500 Error", "why")], 200, 500),
        ("hangs", vec![Step::Hang], 200, 504),
    ];
    for (name, steps, idempotent, at_most_once) in cases {
        for (repeats, expected) in
            [(Repeats::Idempotent, idempotent), (Repeats::AtMostOnce, at_most_once)]
        {
            let (front, first, second) = front_of_two(repeats, steps.clone()).await;

            let answer = front.post("r1", "", "body").await;

            assert_eq!(answer.status, expected, "{name} {repeats:?}");
            assert_eq!(first.received().len(), 1, "{name} {repeats:?}");
            let retries = usize::from(expected == 200);
            assert_eq!(second.received().len(), retries, "{name} {repeats:?}");
            assert!(answer.is_complete(), "{name} {repeats:?}: {answer:?}");
        }
    }
}

/// Guards against treating a complete answer as truncated: the upstream announces no length and
/// closes the connection after the body, so the end of the connection is the end of the answer.
#[tokio::test]
async fn verify_an_answer_without_length_is_complete() {
    let head = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\n\r\nall of it";
    let steps = vec![Step::Write(head.to_owned()), Step::Close];
    let (front, _first, second) = front_of_two(Repeats::AtMostOnce, steps).await;

    let answer = front.post("r1", "", "").await;

    assert_eq!((answer.status, answer.body.as_str()), (200, "all of it"));
    assert!(answer.is_complete());
    assert!(second.received().is_empty());
}

/// Guards against returning the answer to another caller's request. An upstream answers a request
/// twice on a keep-alive connection, and the late answer arrives where the next request's answer is
/// expected. Only the id distinguishes them.
#[tokio::test]
async fn verify_a_duplicate_answer_is_not_used_for_the_next_request() {
    let steps = vec![signed("200 OK", "own"), signed("200 OK", "again")];
    let (front, _first, _second) = front_of_two(Repeats::Idempotent, steps).await;

    for round in 0..20 {
        let id = format!("r{round}");
        let answer = front.post(&id, "", "").await;

        assert!(answer.status == 200 && answer.head.contains(&format!("t-id: {id}")), "{answer:?}");
    }
}

/// Guards against sending requests to an upstream that has left and whose address another one now
/// uses. The address answers that it is another instance; the instance list lags behind, so the
/// upstream's own report is newer.
#[tokio::test]
async fn verify_an_upstream_at_a_reused_address_gets_no_more_requests() {
    let other = "HTTP/1.1 421 Misdirected\r\nT-Id: {id}\r\nT-Instance: new\r\n\
                 Content-Length: 0\r\n\r\n";
    let (front, first, second) =
        front_of_two(Repeats::AtMostOnce, vec![Step::Write(other.to_owned())]).await;

    let statuses = [front.post("r1", "", "").await.status, front.post("r2", "", "").await.status];

    assert_eq!(statuses, [200, 200]);
    assert_eq!((first.received().len(), second.received().len()), (1, 2));
    assert_eq!(first.received()[0].header("t-expect"), Some("first"));
}

/// Guards against retries that multiply an overload. Every upstream refuses, and the budget holds
/// one extra arrival for each of the 24 instances that are assumed before the table has been read.
/// A refused arrival is work too, so it counts.
#[tokio::test]
async fn verify_refusals_use_the_retry_budget_and_send_retry_after() {
    let refusing =
        [Upstream::always(vec![refusal()]).await, Upstream::always(vec![refusal()]).await];
    let entries =
        refusing.iter().enumerate().map(|(at, one)| entry(&format!("u{at}"), one.address.port()));
    let budget = BudgetOptions { share: 0.0, spare: 24.0, window: Millis(60_000) };
    let front = start(Some(config(Repeats::AtMostOnce, 2, false)), entries.collect(), budget).await;

    let answers = [front.post("r1", "", "").await, front.post("r2", "", "").await];

    let arrivals: usize = refusing.iter().map(|one| one.received().len()).sum();
    assert_eq!(arrivals, 3);
    for answer in answers {
        assert_eq!(answer.status, 503);
        assert!(answer.head.contains("retry-after: 0."), "{answer:?}");
    }
}

/// Guards against sending all requests to a listed upstream that fails each of them, and against
/// sending none although one upstream is left. After three failures an upstream is not used for a
/// while; ejection never empties a service.
#[tokio::test]
async fn verify_a_failing_upstream_is_ejected_unless_it_is_the_only_one() {
    const REQUESTS: usize = 20;
    let failing = Upstream::always(vec![Step::Close]).await;
    let healthy = Upstream::always(vec![signed("200 OK", "second")]).await;
    let far = Entry { zone: "zone-b".into(), ..entry("healthy", healthy.address.port()) };
    let entries = vec![entry("failing", failing.address.port()), far];
    let config_of =
        |max_attempts| with_long_timeouts(&config(Repeats::Idempotent, max_attempts, false));
    let front =
        start_with_clock(ManualClock::new(), Some(config_of(2)), entries, ample_budget()).await;
    for at in 0..REQUESTS {
        let answer = front.post_with_long_deadline(&format!("r{at}"), "", "").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(failing.received().len(), 3);
    assert_eq!(healthy.received().len(), REQUESTS);

    let alone = Upstream::always(vec![Step::Close]).await;
    let entries = vec![entry("alone", alone.address.port())];
    let front =
        start_with_clock(ManualClock::new(), Some(config_of(1)), entries, ample_budget()).await;
    for at in 0..REQUESTS {
        assert_eq!(front.post_with_long_deadline(&format!("r{at}"), "", "").await.status, 502);
    }
    assert_eq!(alone.received().len(), REQUESTS, "it may have recovered");
}

/// Guards against sending an upstream a different request than the caller's. Headers that concern
/// the caller's connection end at the gateway; headers that the gateway sets must not come from a
/// caller, who could choose an engine's work by them.
#[tokio::test]
async fn verify_which_headers_are_forwarded() {
    let (front, first, _second) =
        front_of_two(Repeats::AtMostOnce, vec![signed("200 OK", "ok")]).await;
    let headers = "T-Stage: read\r\nT-Kv-Source: 1.2.3.4:5/x\r\nKeep-Alive: timeout=9\r\n\
                   TE: trailers\r\nX-Own: kept\r\n";

    let answer = front.post("r1", headers, "the body").await;

    assert_eq!(answer.status, 200);
    assert!(answer.head.contains("t-signature: s"));
    let received = &first.received()[0];
    assert_eq!(received.line, "POST /a/b?c=d HTTP/1.1");
    assert_eq!(received.body, "the body");
    assert_eq!(received.header("host"), Some("host.example"));
    assert_eq!(received.header("x-own"), Some("kept"));
    for name in ["t-stage", "t-kv-source", "keep-alive", "te", "connection"] {
        assert_eq!(received.header(name), None, "{name}");
    }
    let time_left: u64 = received.header("t-deadline").and_then(|v| v.parse().ok()).unwrap();
    assert!(time_left <= 2_000);
}

/// Guards against request smuggling: a request gives its length twice, and its body holds another
/// request. Parsers that disagree on the length disagree on where the next request begins.
#[tokio::test]
async fn verify_bad_requests_are_refused_and_no_embedded_request_runs() {
    let inner =
        "POST /a/b HTTP/1.1\r\nHost: host.example\r\nT-Id: inner\r\nContent-Length: 0\r\n\r\n";
    let head = "POST /a/b HTTP/1.1\r\nHost: host.example\r\nT-Id: r1\r\nConnection: close\r\n";
    let keep_alive = head.replace("Connection: close\r\n", "");
    let cases = [
        (
            "two lengths",
            format!(
                "{keep_alive}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}"
            ),
            200,
        ),
        ("another beyond its length", format!("{head}Content-Length: 0\r\n\r\n{inner}"), 200),
        (
            "no id",
            "POST /a/b HTTP/1.1\r\nHost: host.example\r\nConnection: close\r\n\r\n".into(),
            400,
        ),
        ("no route", format!("{}\r\n", head.replace("/a/b", "/c/d")), 404),
        ("prefix without slash", format!("{}\r\n", head.replace("/a/b", "/a")), 404),
        ("long head", format!("{head}X: {}\r\n\r\n", "x".repeat(3_000)), 431),
        ("long body", format!("{head}Content-Length: 6000\r\n\r\n"), 413),
        (
            "long chunks",
            format!(
                "{head}Transfer-Encoding: chunked\r\n\r\n1770\r\n{}\r\n0\r\n\r\n",
                "x".repeat(6_000)
            ),
            413,
        ),
    ];
    for (name, bytes, expected) in cases {
        let (front, first, second) =
            front_of_two(Repeats::AtMostOnce, vec![signed("200 OK", "ok")]).await;

        let answer = front.raw(&bytes).await;

        assert_eq!(answer.status, expected, "{name}");
        let ids: Vec<_> = [first.received(), second.received()].concat();
        let ids: Vec<_> = ids.iter().map(|one| one.header("t-id").map(str::to_owned)).collect();
        assert!(!ids.contains(&Some("inner".to_owned())), "{name}: {ids:?}");
    }
}

/// Guards against answering "no such route" although the route exists. An instance that has just
/// started has no configuration yet, which is no reason to deny a request; the caller is asked to
/// retry.
#[tokio::test]
async fn verify_without_a_configuration_requests_are_refused_as_not_run() {
    let front = start(None, Vec::new(), ample_budget()).await;

    let answer = front.post("r1", "", "").await;

    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after"));
    assert!(!front.gateway.is_ready());
}

/// Guards against an upstream that keeps working for a caller that has disconnected. The gateway
/// must close its own connection as soon as the caller closes its.
#[tokio::test]
async fn verify_a_caller_that_leaves_frees_its_upstream() {
    let (front, first, _second) = front_of_two(Repeats::AtMostOnce, vec![Step::Hang]).await;
    let mut caller =
        tokio::net::TcpStream::connect(front.address).await.expect("the front listens");
    let bytes = support::fronts::request("r1", "", "");
    tokio::io::AsyncWriteExt::write_all(&mut caller, bytes.as_bytes())
        .await
        .expect("the front reads");
    while first.received().is_empty() {
        tokio::task::yield_now().await;
    }

    drop(caller);

    first.client_closed().await;
    assert_eq!(first.received().len(), 1);
}

/// Guards against truncating a request by a planned stop. Between the last check of the requests in
/// flight and the end of the instance, no request may start.
#[tokio::test]
async fn verify_requests_are_refused_after_refuse_new() {
    let (front, first, second) =
        front_of_two(Repeats::AtMostOnce, vec![signed("200 OK", "ok")]).await;
    front.gateway.begin_stop(Stop { noticed_at: Millis::MAX, ends_at: Millis::MAX });
    let before = front.post("r1", "", "").await;

    front.gateway.refuse_new();
    let after = front.post("r2", "", "").await;

    assert_eq!((before.status, after.status), (200, 503));
    assert!(before.head.contains("connection: close"));
    assert!(after.head.contains("retry-after"));
    assert_eq!(first.received().len() + second.received().len(), 1);
    assert!(!front.gateway.is_ready());
}

/// Guards against sending a request to an upstream that has begun to leave. While the first attempt
/// runs, the other upstream's entry changes to draining; state read before a wait must not be used
/// after it.
#[tokio::test]
async fn verify_a_retry_checks_the_upstreams_again() {
    let (front, first, second) = front_of_two(Repeats::Idempotent, vec![Step::Hang]).await;
    let mut leaving = entry("second", second.address.port());
    leaving.draining = true;
    let near = entry("first", first.address.port());
    let (gateway, first) = (front.gateway.clone(), std::sync::Arc::new(first));
    let arrived = std::sync::Arc::clone(&first);
    tokio::spawn(async move {
        while arrived.received().is_empty() {
            tokio::task::yield_now().await;
        }
        gateway.fleet().replace(vec![near, leaving]);
    });

    let answer = front.post("r1", "", "").await;

    assert_eq!(answer.status, 502);
    assert!(second.received().is_empty());
}
