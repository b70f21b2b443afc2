//! The course of an instance's stop, on a clock that follows the runtime's paused timers.

mod support;

use anvilhook_core::stops::Stop;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_gateway::configs::{Config, Repeats, Route};
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::instances::stop;
use anvilhook_gateway::relay::Gateway;
use anvilhook_http::Shutdown;
use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use http_body::Frame;
use http_body_util::BodyExt;
use support::clocks::TimerClock;
use support::fronts::{ample_budget, config, gateway, route};
use support::upstreams::{Upstream, signed};
use support::wires::{TestWire, entry, limits};
use tokio::task::JoinHandle;
use volo_http::body::Body;
use volo_http::request::Request;

/// The time from the signal until the process is killed in the tests.
const GRACE: Millis = Millis(8_000);

/// The time that a stopping instance has for its requests in the tests.
const STOP_TIME: Millis = Millis(7_100);

/// A part of the time to send the last bytes, which follows `STOP_TIME`.
const LAST_BYTES: Millis = Millis(100);

/// The usual wait limit of callers, and a long one.
const LIMIT: Millis = Millis(2_000);
const LONG: Millis = Millis(60_000);

type StopGateway = Gateway<TestWire, TimerClock>;

fn gateway_of(clock: TimerClock, entries: Vec<Entry>) -> StopGateway {
    let config = config(Repeats::AtMostOnce, 2, false);
    let services = config.services().cloned().collect();
    let routes = vec![Route { timeout: None, ..route(Repeats::AtMostOnce, 2) }];
    let config = Config::new(config.version, limits(), services, routes);
    gateway(clock, Some(config), entries, ample_budget())
}

/// Begins a stop that leaves `STOP_TIME` for requests.
fn begin(gateway: &StopGateway, clock: TimerClock) -> JoinHandle<()> {
    begin_planned(gateway, clock, Stop::plan(clock.now(), GRACE))
}

fn begin_planned(gateway: &StopGateway, clock: TimerClock, schedule: Stop) -> JoinHandle<()> {
    let gateway = gateway.clone();
    tokio::spawn(async move { stop(&gateway, &Shutdown::new(), &clock, schedule).await })
}

fn received(limit: Millis, body: Body) -> Request {
    let req = http::Request::post("/a/b").header("Host", "host.example").header("T-Id", "r1");
    req.header("T-Deadline", limit.0).body(body).expect("a request")
}

/// Returns a request whose caller never sends the body.
fn request_without_end() -> Request {
    received(LONG, Body::from_stream(stream::pending::<Result<Frame<Bytes>, _>>()))
}

/// Has a gateway handle a request, and returns the status and the body of the answer.
async fn ask(gateway: &StopGateway, req: Request) -> (StatusCode, Bytes) {
    let answer = gateway.handle(req).await;
    let status = answer.status();
    let body = answer.into_body().collect().await.expect("the body is complete");
    (status, body.to_bytes())
}

/// Requests arrived on open connections until the process had ended. Until load balancers notice the stop,
/// a stopping instance accepts requests that are expected to complete in time. Then it accepts those whose
/// caller's limit ends in time. In the last part it accepts none, and only completes requests that have
/// begun. No upstream is known here, so accepted requests are refused with that cause.
#[tokio::test(start_paused = true)]
async fn verify_which_requests_a_stopping_instance_accepts() {
    let moments = [
        (Millis(2_200), LONG, "no_upstream"),
        (Millis(2_400), LONG, "stopping"),
        (Millis(2_400), LIMIT, "no_upstream"),
        (Millis(4_500), LIMIT, "no_upstream"),
        (Millis(4_700), LIMIT, "stopping"),
    ];
    let clock = TimerClock::new();
    let gateway = gateway_of(clock, Vec::new());
    let waiting = gateway.clone();
    let waiting = tokio::spawn(async move { ask(&waiting, request_without_end()).await });
    let stopping = begin(&gateway, clock);
    let refused = |cause: &'static str| (StatusCode::SERVICE_UNAVAILABLE, Bytes::from(cause));

    for (at, limit, cause) in moments {
        tokio::time::sleep((at - clock.now()).as_duration()).await;
        let answer = ask(&gateway, received(limit, Body::empty())).await;

        assert_eq!(answer, refused(cause), "{at:?} {limit:?}");
        assert!(!gateway.is_ready(), "{at:?}");
    }
    tokio::time::sleep((STOP_TIME - LAST_BYTES - clock.now()).as_duration()).await;
    assert!(!waiting.is_finished(), "a request that has begun may use all the time");
    stopping.await.expect("no panic");
    assert_eq!(waiting.await.expect("no panic"), refused("stopping"));
}

/// Guards against an instance that accepts requests past its end because it was suspended when the signal to stop was
/// sent. All decisions count from the signal.
#[tokio::test(start_paused = true)]
async fn verify_a_late_stop_accepts_what_completes_before_its_true_end() {
    const LATE: Millis = Millis(2_000);
    let moments = [
        (Millis(2_200), LONG, "no_upstream"),
        (Millis(2_400), LONG, "stopping"),
        (Millis(2_400), LIMIT, "no_upstream"),
        (Millis(4_500), LIMIT, "no_upstream"),
        (Millis(4_700), LIMIT, "stopping"),
    ];
    let clock = TimerClock::new();
    let gateway = gateway_of(clock, Vec::new());
    let schedule = Stop::plan(clock.now(), GRACE);
    let waiting = gateway.clone();
    let waiting = tokio::spawn(async move { ask(&waiting, request_without_end()).await });
    tokio::time::advance(LATE.as_duration()).await;
    let stopping = begin_planned(&gateway, clock, schedule);
    let refused = |cause: &'static str| (StatusCode::SERVICE_UNAVAILABLE, Bytes::from(cause));

    for (at, limit, cause) in moments {
        tokio::time::sleep((at - clock.now()).as_duration()).await;
        let answer = ask(&gateway, received(limit, Body::empty())).await;

        assert_eq!(answer, refused(cause), "{at:?} {limit:?}");
    }
    stopping.await.expect("no panic");
    assert_eq!(waiting.await.expect("no panic"), refused("stopping"));
    assert!(clock.now() < GRACE, "it ends before it is killed: {:?}", clock.now());
}

/// An instance with nothing in flight refused requests on open connections between the close of its
/// listener and its end. It must serve them, and end once no request has arrived for a while.
#[tokio::test(start_paused = true)]
async fn verify_an_idle_instance_serves_last_requests_on_open_connections() {
    let clock = TimerClock::new();
    let gateway = gateway_of(clock, Vec::new());
    let stopping = begin(&gateway, clock);

    tokio::time::sleep(Millis(2_400).as_duration()).await;
    let (_, cause) = ask(&gateway, received(LIMIT, Body::empty())).await;
    stopping.await.expect("no panic");

    assert_eq!(cause, "no_upstream");
    assert!(clock.now() < Millis(3_000), "it ends when no requests arrive: {:?}", clock.now());
}

/// The end of the process truncated the last bytes of answers that were not sent at once, also of those
/// that a stop gives to its last callers. The instance must wait a moment longer for them.
#[tokio::test]
async fn verify_a_stop_waits_for_the_last_bytes() {
    let clock = TimerClock::new();
    let upstream = Upstream::always(vec![signed("200 OK", "ok")]).await;
    let gateway = gateway_of(clock, vec![entry("u", upstream.address.port())]);
    let (status, unwritten) = ask(&gateway, received(LIMIT, Body::empty())).await;
    // The timers can be paused from here on, as no sockets are used.
    tokio::time::pause();
    let stopping = begin(&gateway, clock);

    tokio::time::sleep((STOP_TIME + LAST_BYTES).as_duration()).await;
    let has_waited = !stopping.is_finished();
    drop(unwritten);
    stopping.await.expect("no panic");

    assert_eq!((status, gateway.in_flight()), (StatusCode::OK, 0));
    assert!(has_waited);
}
