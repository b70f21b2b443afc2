//! Tests of requests that are sent again, or must not be: what may prove that an earlier sending has not run.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_gateway::configs::{Config, Repeats, Route};
use anvilhook_gateway::fleets::Entry;
use log::Level;
use support::fronts::{
    Answer, Front, ample_budget, config, config_of_version, front_of_two, start, with_long_timeouts,
};
use support::instances::{connect, instance};
use support::logs::{line_of, lines_of, store_lines};
use support::until;
use support::upstreams::{
    Received, Step, Upstream, event, refusal, rest_of_stream, signed, stream, stream_head,
};
use support::wires::{entry, limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;

/// Guards against a request that ran twice and of which the log does not show why it was sent again.
#[tokio::test]
async fn verify_the_log_shows_why_a_request_is_sent_again() {
    store_lines();
    let (front, _first, _second) = front_of_two(Repeats::AtMostOnce, vec![refusal()]).await;

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

/// The prefix of a route that lies within that of the tests' route.
const INNER: &str = "/a/b/";

/// Returns the configuration of a version, with the tests' route and, if `inner` is given, a route within it.
fn nested(version: u64, outer: Repeats, inner: Option<Repeats>) -> Config {
    let outer = config_of_version(version, outer, 3, false);
    let services = outer.services().cloned().collect();
    let route = outer.route("host.example", "/a/").expect("the route of the tests");
    let inner = inner.map(|repeats| Route {
        name: Arc::from("inner"),
        prefix: Arc::from(INNER),
        repeats,
        ..Route::clone(route)
    });
    let routes = std::iter::once(Route::clone(route)).chain(inner).collect();
    Config::new(version, limits(), services, routes)
}

/// Returns the bytes of a request to the inner route, with a body in chunks.
fn inner_request(id: &str) -> String {
    format!(
        "POST {INNER}c?p=/d/e HTTP/1.1\r\nHost: host.example\r\nT-Id: {id}\r\nT-Deadline: 2000\r\n\
         Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    )
}

/// `Upstreams` are a gateway with three upstreams. The first is chosen first, then the second.
struct Upstreams {
    front: Front,
    upstreams: [Upstream; 3],
}

impl Upstreams {
    async fn start(config: Config, first: Vec<Step>, second: Vec<Step>) -> Self {
        let third = vec![signed("200 OK", "third")];
        let upstreams = [
            Upstream::always(first).await,
            Upstream::always(second).await,
            Upstream::always(third).await,
        ];
        let mut entries: Vec<_> = ["first", "second", "third"]
            .iter()
            .zip(&upstreams)
            .map(|(id, one)| entry(id, one.address.port()))
            .collect();
        // An upstream with fewer slots is chosen later, as the request would be queued there.
        (entries[0].slots, entries[1].slots, entries[2].slots) = (8, 1, 1);
        entries[2].zone = "zone-b".into();
        let front = start(Some(config), entries, ample_budget()).await;
        Self { front, upstreams }
    }

    fn received(&self) -> [usize; 3] {
        self.upstreams.each_ref().map(|one| one.received().len())
    }

    /// Sends a request to the inner route, and activates a configuration once the upstream `at` has received it.
    async fn post_during_change(&self, at: usize, config: Config) -> Answer {
        let bytes = inner_request("r1");
        let changing = async {
            until(|| self.received()[at] > 0).await;
            self.front.gateway.adopt_config(config);
        };
        tokio::join!(self.front.raw(&bytes), changing).0
    }
}

/// Guards against a request that runs twice because its route changes between two attempts: it may have run while a
/// route allowed to repeat it, and the next attempt is made under a route that does not, or the other way round.
#[tokio::test]
async fn verify_a_request_that_may_have_run_is_not_sent_under_a_route_without_repeats() {
    use Repeats::{AtMostOnce, Idempotent};
    let hang = vec![Step::Hang];
    let fail = vec![Step::Pause(100), signed("500 Error", "failed")];
    let cut = vec![Step::Pause(100), Step::Reset];
    let refuse = vec![Step::Pause(100), refusal()];
    // The steps of the first two upstreams, the configurations before and after the upstream with an index
    // has received the request, the status of the answer, and which upstreams receive the request.
    let plain = |version, repeats| nested(version, repeats, None);
    let cases = [
        ("hangs", &hang, &cut, plain(1, Idempotent), 0, plain(2, AtMostOnce), 502, [1, 0, 0]),
        ("fails", &fail, &cut, plain(1, Idempotent), 0, plain(2, AtMostOnce), 500, [1, 0, 0]),
        ("is cut", &cut, &cut, plain(1, Idempotent), 0, plain(2, AtMostOnce), 502, [1, 0, 0]),
        (
            "is cut as the inner route is added",
            &cut,
            &cut,
            plain(1, Idempotent),
            0,
            nested(2, Idempotent, Some(AtMostOnce)),
            502,
            [1, 0, 0],
        ),
        (
            "is refused as the inner route is removed, then cut",
            &refuse,
            &cut,
            nested(1, Idempotent, Some(AtMostOnce)),
            0,
            plain(2, Idempotent),
            502,
            [1, 1, 0],
        ),
        (
            "is refused, then refused as the route changes",
            &refuse,
            &refuse,
            plain(1, Idempotent),
            1,
            plain(2, AtMostOnce),
            200,
            [1, 1, 1],
        ),
    ];
    let mut wrong = Vec::new();
    for (name, first, second, before, at, after, status, received) in cases {
        let upstreams = Upstreams::start(before, first.clone(), second.clone()).await;

        let answer = upstreams.post_during_change(at, after).await;

        let result = (answer.status, upstreams.received());
        if result != (status, received) {
            wrong.push((name, result));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Guards against a request that runs twice because a route by which it runs at most once comes and goes during one
/// attempt: neither the route read before the attempt nor the one read after it says so.
#[tokio::test]
async fn verify_a_route_that_comes_and_goes_during_an_attempt_counts() {
    let goes_on = Arc::new(Notify::new());
    let cut = vec![Step::Await(Arc::clone(&goes_on)), Step::Reset];
    let outer = |version| nested(version, Repeats::Idempotent, None);
    let upstreams = Upstreams::start(outer(1), cut.clone(), cut).await;
    let bytes = inner_request("r1");
    let changing = async {
        until(|| upstreams.received()[0] > 0).await;
        let inner = nested(2, Repeats::Idempotent, Some(Repeats::AtMostOnce));
        upstreams.front.gateway.adopt_config(inner);
        // The request is served by the tasks of the runtime, which have only one thread.
        tokio::task::yield_now().await;
        upstreams.front.gateway.adopt_config(outer(3));
        goes_on.notify_one();
    };

    let (answer, ()) = tokio::join!(upstreams.front.raw(&bytes), changing);

    assert_eq!((answer.status, upstreams.received()), (502, [1, 0, 0]));
}

/// Guards against a broken stream that another upstream goes on with although its route has become one whose streams
/// must not be resumed.
#[tokio::test]
async fn verify_a_stream_is_not_resumed_after_its_route_forbids_it() {
    let resumable = |version, resumable| {
        with_long_timeouts(&config_of_version(version, Repeats::Stream { resumable }, 3, false))
    };
    let breaks = Arc::new(Notify::new());
    let steps = vec![stream_head(), event(1), Step::Await(Arc::clone(&breaks)), Step::Reset];
    let first = Upstream::always(steps).await;
    let second = Upstream::start(rest_of_stream).await;
    let far = Entry { zone: "zone-b".into(), ..entry("second", second.address.port()) };
    let entries = vec![entry("first", first.address.port()), far];
    let front = start(Some(resumable(1, true)), entries, ample_budget()).await;
    let mut caller = front.open("r1", "", "").await;
    caller.receive_until("id: 1\n").await;

    front.gateway.adopt_config(resumable(2, false));
    breaks.notify_one();

    assert!(!caller.ends_complete().await);
    assert!(second.received().is_empty());
}

/// Guards against a request that runs twice because an answer that is not its own refusal is taken for one: it has a
/// status with which nothing is refused, or came without an id on a connection that has carried other requests.
#[tokio::test]
async fn verify_only_an_own_refusal_proves_that_a_request_has_not_run() {
    const STREAM: Repeats = Repeats::Stream { resumable: false };
    let head = |status: &str, id: &str| {
        let text = format!("HTTP/1.1 {status}\r\n{id}T-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        Step::Write(text)
    };
    let own = "T-Id: {id}\r\n";
    // The kind of the request, the answer of the first upstream, and whether the second receives the request.
    let cases = [
        ("own refusal", Repeats::AtMostOnce, head("503 Busy", own), true),
        ("own rate limit", Repeats::AtMostOnce, head("429 Many", own), true),
        ("own misdirection", Repeats::AtMostOnce, head("421 Other", own), true),
        ("without an id on a new connection", Repeats::AtMostOnce, head("503 Busy", ""), true),
        ("a success", Repeats::AtMostOnce, head("200 OK", own), false),
        ("a failure", Repeats::AtMostOnce, head("500 Error", own), false),
        ("a timeout", Repeats::AtMostOnce, head("504 Late", own), false),
        ("another request's", Repeats::AtMostOnce, head("503 Busy", "T-Id: other\r\n"), false),
        ("own refusal of a stream", STREAM, head("503 Busy", own), true),
        ("without an id on a used connection", STREAM, head("503 Busy", ""), false),
    ];
    let mut wrong = Vec::new();
    for (name, repeats, answer, is_sent_again) in cases {
        let first = Upstream::start(move |received: &Received| match received.header("t-id") {
            Some("before") => stream(1, 2),
            _ => vec![answer.clone()],
        })
        .await;
        let is_stream = repeats == STREAM;
        let sound = if is_stream { stream(1, 2) } else { vec![signed("200 OK", "second")] };
        let second = Upstream::always(sound).await;
        let far = Entry { zone: "zone-b".into(), ..entry("second", second.address.port()) };
        let entries = vec![entry("first", first.address.port()), far];
        let front = start(Some(config(repeats, 2, false)), entries, ample_budget()).await;
        if is_stream {
            assert!(front.post("before", "", "").await.is_complete(), "{name}");
        }

        let answer = front.post("r1", "", "body").await;

        let result = (second.received().len() == 1, answer.status);
        let expected = if is_sent_again { 200 } else { 502 };
        if result != (is_sent_again, expected) {
            wrong.push((name, result));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Answers each call at the port of another instance with `answer`, and closes the connection. Checks of paths are
/// answered too.
async fn answer_calls(listener: TcpListener, answer: &'static str) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Guards against a request that another instance may have sent and that is sent another way as well: only a statement
/// of that instance about this call proves that it has not. Another process may have its address.
#[tokio::test]
async fn verify_only_the_forwarder_proves_that_it_has_not_sent_a_request() {
    // What answers at the address of the other instance, and whether the request goes to the other upstream.
    let cases = [
        ("HTTP/1.1 502 -\r\npeer-outcome: not_taken\r\nContent-Length: 0\r\n\r\n", true),
        ("HTTP/1.1 502 -\r\npeer-outcome: not_open\r\nContent-Length: 0\r\n\r\n", true),
        ("HTTP/1.1 502 -\r\npeer-outcome: refused\r\nContent-Length: 0\r\n\r\n", true),
        ("HTTP/1.1 502 -\r\npeer-outcome: broken\r\nContent-Length: 0\r\n\r\n", false),
        ("HTTP/1.1 502 -\r\npeer-outcome: timed_out\r\nContent-Length: 0\r\n\r\n", false),
        ("HTTP/1.1 502 -\r\npeer-outcome: of_a_later_build\r\nContent-Length: 0\r\n\r\n", false),
        ("HTTP/1.1 503 -\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false),
        ("HTTP/1.1 421 -\r\nT-Instance: other\r\nContent-Length: 0\r\n\r\n", false),
        ("HTTP/1.1 502 -\r\npeer-outcome: not_taken\r\n", false),
        ("", false),
    ];
    let refusing = TcpSocket::new_v4().expect("a socket");
    refusing.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let refused_at = refusing.local_addr().expect("an address").port();
    let mut wrong = Vec::new();
    for (answer, is_sent_again) in cases {
        let upstream = Upstream::always(vec![signed("200 OK", "sound")]).await;
        let far = Entry { zone: "zone-b".into(), ..entry("v", upstream.address.port()) };
        let make_config = || config(Repeats::AtMostOnce, 2, false);
        let entries = vec![entry("u", refused_at), far];
        let first = instance(1, &make_config, entries, true).await;
        let mut second = instance(2, &make_config, vec![], false).await;
        let listener = second.port.take().expect("nothing serves calls");
        let answering = tokio::spawn(answer_calls(listener, answer));
        connect(&[&first, &second]).await;

        let answered = first.front.post("r1", "", "body").await;

        answering.abort();
        let result = (upstream.received().len() == 1, answered.status);
        if result != (is_sent_again, if is_sent_again { 200 } else { 502 }) {
            wrong.push((answer, result));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}
