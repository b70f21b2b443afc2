//! Requests to plain services: verdicts, retries, and what is passed on.

mod support;

use anvilhook_core::stops::Stop;
use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_gateway::budgets::BudgetOptions;
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use support::fronts::{Front, ample_budget, config, start, start_with_clock, with_long_timeouts};
use support::upstreams::{Step, Upstream, refusal, signed};
use support::wires::entry;

/// Starts a gateway before a first upstream with the given steps and a second that is well. The
/// first is in the gateway's zone and so is chosen first.
async fn front_of(repeats: Repeats, first: Vec<Step>) -> (Front, Upstream, Upstream) {
    let first = Upstream::always(first).await;
    let second = Upstream::always(vec![signed("200 OK", "second")]).await;
    let near = entry("first", first.address.port());
    let mut far = entry("second", second.address.port());
    far.zone = "zone-b".into();
    let front = start(Some(config(repeats, 2, false)), vec![near, far], ample_budget()).await;
    (front, first, second)
}

/// Symptom: a request that runs at most once is doubled, or one that may be repeated is given up.
/// Sequence: the first upstream fails the request in one of the ways below.
/// Cause: the verdict on the failure, not the failure's kind, must decide on another attempt.
#[tokio::test]
async fn verify_each_failure_is_retried_only_where_allowed() {
    let cut = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nContent-Length: 9\r\n\r\ncut";
    let foreign = "HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Signature: s\r\nContent-Length: 2\r\n\r\nno";
    let unsigned = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nContent-Length: 2\r\n\r\nno";
    let encoded = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nContent-Encoding: gzip\r\n\
                   Content-Length: 2\r\n\r\nno";
    let write = |text: &str| Step::Write(text.to_owned());
    // What the first upstream does; the status for an idempotent request; and for the other kind.
    let cases = [
        ("reset", vec![Step::Reset], 200, 502),
        ("closed", vec![Step::Close], 200, 502),
        ("cut", vec![write(cut), Step::Close], 200, 502),
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
            let (front, first, second) = front_of(repeats, steps.clone()).await;

            let answer = front.post("r1", "", "body").await;

            assert_eq!(answer.status, expected, "{name} {repeats:?}");
            assert_eq!(first.received().len(), 1, "{name} {repeats:?}");
            let sent_again = usize::from(expected == 200);
            assert_eq!(second.received().len(), sent_again, "{name} {repeats:?}");
            assert!(answer.is_complete(), "{name} {repeats:?}: {answer:?}");
        }
    }
}

/// Symptom: an answer that is complete is taken for a cut one.
/// Sequence: the upstream announces no length and closes the connection after the body.
/// Cause: without a length, the end of the connection is the end of the answer.
#[tokio::test]
async fn verify_an_answer_without_length_is_whole() {
    let head = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\n\r\nall of it";
    let steps = vec![Step::Write(head.to_owned()), Step::Close];
    let (front, _first, second) = front_of(Repeats::AtMostOnce, steps).await;

    let answer = front.post("r1", "", "").await;

    assert_eq!((answer.status, answer.body.as_str()), (200, "all of it"));
    assert!(answer.is_complete());
    assert!(second.received().is_empty());
}

/// Symptom: a caller gets the answer to another caller's request.
/// Sequence: an upstream answers a request twice on a kept connection, the second time late.
/// Cause: the late answer stands where the next request's is expected; only the id tells.
#[tokio::test]
async fn verify_a_second_answer_is_never_the_next_ones() {
    let steps = vec![signed("200 OK", "own"), signed("200 OK", "again")];
    let (front, _first, _second) = front_of(Repeats::Idempotent, steps).await;

    for round in 0..20 {
        let id = format!("r{round}");
        let answer = front.post(&id, "", "").await;

        assert!(answer.status == 200 && answer.head.contains(&format!("t-id: {id}")), "{answer:?}");
    }
}

/// Symptom: requests go on to an upstream that has left, whose address another one has taken.
/// Sequence: the address answers that it is another instance.
/// Cause: the list lags; the upstream's own word is younger.
#[tokio::test]
async fn verify_an_address_used_again_gets_nothing_more() {
    let other = "HTTP/1.1 421 Misdirected\r\nT-Id: {id}\r\nT-Instance: new\r\n\
                 Content-Length: 0\r\n\r\n";
    let (front, first, second) =
        front_of(Repeats::AtMostOnce, vec![Step::Write(other.to_owned())]).await;

    let statuses = [front.post("r1", "", "").await.status, front.post("r2", "", "").await.status];

    assert_eq!(statuses, [200, 200]);
    assert_eq!((first.received().len(), second.received().len()), (1, 2));
    assert_eq!(first.received()[0].header("t-expect"), Some("first"));
}

/// Symptom: retries multiply an overload.
/// Sequence: every upstream refuses, and the budget holds one extra arrival for each of the 24
/// instances that there are taken to be before the table was read.
/// Cause: a refused arrival is work too, so it counts.
#[tokio::test]
async fn verify_refusals_draw_on_the_budget_and_say_when_to_come_back() {
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

/// Symptom: requests go on to an upstream that fails them all, or to none though one is left.
/// Sequence: an upstream is listed and fails whatever is sent to it, with another one or alone.
/// Cause: after three failures it is left alone for a while; ejection never empties a service.
#[tokio::test]
async fn verify_an_upstream_that_lies_about_its_health_is_left_alone() {
    const REQUESTS: usize = 20;
    let failing = Upstream::always(vec![Step::Close]).await;
    let well = Upstream::always(vec![signed("200 OK", "second")]).await;
    let far = Entry { zone: "zone-b".into(), ..entry("well", well.address.port()) };
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
    assert_eq!(well.received().len(), REQUESTS);

    let alone = Upstream::always(vec![Step::Close]).await;
    let entries = vec![entry("alone", alone.address.port())];
    let front =
        start_with_clock(ManualClock::new(), Some(config_of(1)), entries, ample_budget()).await;
    for at in 0..REQUESTS {
        assert_eq!(front.post_with_long_deadline(&format!("r{at}"), "", "").await.status, 502);
    }
    assert_eq!(alone.received().len(), REQUESTS, "it may be well again");
}

/// Symptom: an upstream sees another request than the caller sent.
/// Sequence: the caller sends headers that concern its connection, or that are the gateway's to set.
/// Cause: the former end at the gateway; the latter would let a caller choose an engine's work.
#[tokio::test]
async fn verify_what_is_passed_on() {
    let (front, first, _second) = front_of(Repeats::AtMostOnce, vec![signed("200 OK", "ok")]).await;
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

/// Symptom: a request that nobody sent runs.
/// Sequence: a request's length is given twice, and its body holds another request.
/// Cause: readers that differ on the length differ on where the next request begins.
#[tokio::test]
async fn verify_bad_requests_are_refused_and_nothing_in_them_runs() {
    let inner =
        "POST /a/b HTTP/1.1\r\nHost: host.example\r\nT-Id: inner\r\nContent-Length: 0\r\n\r\n";
    let head = "POST /a/b HTTP/1.1\r\nHost: host.example\r\nT-Id: r1\r\nConnection: close\r\n";
    let kept = head.replace("Connection: close\r\n", "");
    let cases = [
        (
            "two lengths",
            format!(
                "{kept}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}"
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
            front_of(Repeats::AtMostOnce, vec![signed("200 OK", "ok")]).await;

        let answer = front.raw(&bytes).await;

        assert_eq!(answer.status, expected, "{name}");
        let ids: Vec<_> = [first.received(), second.received()].concat();
        let ids: Vec<_> = ids.iter().map(|one| one.header("t-id").map(str::to_owned)).collect();
        assert!(!ids.contains(&Some("inner".to_owned())), "{name}: {ids:?}");
    }
}

/// Symptom: a request is told "no such route" though the route is there.
/// Sequence: it reaches an instance that has just started and knows no configuration.
/// Cause: not knowing is no reason to deny; the caller is to come back.
#[tokio::test]
async fn verify_without_a_configuration_requests_are_refused_as_not_run() {
    let front = start(None, Vec::new(), ample_budget()).await;

    let answer = front.post("r1", "", "").await;

    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after"));
    assert!(!front.gateway.is_ready());
}

/// Symptom: an upstream works on for a caller that has left.
/// Sequence: the caller closes its connection while the upstream runs the request.
/// Cause: the gateway must close its own connection at once.
#[tokio::test]
async fn verify_a_caller_that_leaves_frees_its_upstream() {
    let (front, first, _second) = front_of(Repeats::AtMostOnce, vec![Step::Hang]).await;
    let mut caller = tokio::net::TcpStream::connect(front.address).await.expect("it listens");
    let bytes = support::fronts::request("r1", "", "");
    tokio::io::AsyncWriteExt::write_all(&mut caller, bytes.as_bytes()).await.expect("it reads");
    while first.received().is_empty() {
        tokio::task::yield_now().await;
    }

    drop(caller);

    first.client_closed().await;
    assert_eq!(first.received().len(), 1);
}

/// Symptom: a request is cut by a planned stop.
/// Sequence: a request comes in the last moment of an instance that stops.
/// Cause: between the last look at what is in flight and the end, nothing may begin to run.
#[tokio::test]
async fn verify_the_last_moment_before_the_end_refuses() {
    let (front, first, second) = front_of(Repeats::AtMostOnce, vec![signed("200 OK", "ok")]).await;
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

/// Symptom: a request goes to an upstream that has begun to leave.
/// Sequence: the first attempt takes a while; meanwhile the other upstream's entry says draining.
/// Cause: what was believed before a wait must not be used after it.
#[tokio::test]
async fn verify_a_retry_looks_at_the_upstreams_anew() {
    let (front, first, second) = front_of(Repeats::Idempotent, vec![Step::Hang]).await;
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
