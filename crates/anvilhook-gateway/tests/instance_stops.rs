//! The course of an instance's stop, on a clock that goes with the runtime's paused timers.

mod support;

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

/// The time from the signal to an instance's end in the tests.
const TIME: Millis = Millis(7_100);

/// A moment of the time for the last bytes, which follows.
const LAST_BYTES: Millis = Millis(100);

/// How long callers wait.
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

/// Begins a stop that ends in `TIME`.
fn begin(gateway: &StopGateway, clock: TimerClock) -> JoinHandle<()> {
    let gateway = gateway.clone();
    let latest = clock.now() + TIME;
    tokio::spawn(async move { stop(&gateway, &Shutdown::new(), &clock, latest).await })
}

fn received(limit: Millis, body: Body) -> Request {
    let req = http::Request::post("/a/b").header("Host", "host.example").header("T-Id", "r1");
    req.header("T-Deadline", limit.0).body(body).expect("a request")
}

/// Returns a request whose caller never sends the body.
fn endless() -> Request {
    received(LONG, Body::from_stream(stream::pending::<Result<Frame<Bytes>, _>>()))
}

/// Hands a gateway a request. Returns the status and the text of the answer.
async fn ask(gateway: &StopGateway, req: Request) -> (StatusCode, Bytes) {
    let answer = gateway.handle(req).await;
    let status = answer.status();
    let body = answer.into_body().collect().await.expect("it is whole");
    (status, body.to_bytes())
}

/// Requests came on open connections until the process was gone. As long as load balancers don't know of
/// the stop, those that are expected to end in time are taken, then those that their callers' limit ends
/// in time, and none in the last part, which is for what has begun. Here no upstream is known, and what is
/// taken is refused for that reason.
#[tokio::test(start_paused = true)]
async fn verify_what_a_stop_takes_on_from_the_signal_to_the_end() {
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
    let waiting = tokio::spawn(async move { ask(&waiting, endless()).await });
    let stopping = begin(&gateway, clock);
    let refused = |cause: &'static str| (StatusCode::SERVICE_UNAVAILABLE, Bytes::from(cause));

    for (at, limit, cause) in moments {
        tokio::time::sleep((at - clock.now()).as_duration()).await;
        let answer = ask(&gateway, received(limit, Body::empty())).await;

        assert_eq!(answer, refused(cause), "{at:?} {limit:?}");
        assert!(!gateway.is_ready(), "{at:?}");
    }
    tokio::time::sleep((TIME - LAST_BYTES - clock.now()).as_duration()).await;
    assert!(!waiting.is_finished(), "what has begun has all the time");
    stopping.await.expect("no panic");
    assert_eq!(waiting.await.expect("no panic"), refused("stopping"));
}

/// An instance that had nothing in flight when it took no connections any more refused those who still had
/// one, in the moment before it ended. They are served, and it ends once nobody has come for a while.
#[tokio::test(start_paused = true)]
async fn verify_an_idle_instance_serves_the_last_on_its_connections() {
    let clock = TimerClock::new();
    let gateway = gateway_of(clock, Vec::new());
    let stopping = begin(&gateway, clock);

    tokio::time::sleep(Millis(2_400).as_duration()).await;
    let (_, cause) = ask(&gateway, received(LIMIT, Body::empty())).await;
    stopping.await.expect("no panic");

    assert_eq!(cause, "no_upstream");
    assert!(clock.now() < Millis(3_000), "it ends when nothing comes: {:?}", clock.now());
}

/// What callers were told at the end of an instance, and the last bytes of answers, were cut by the end of
/// the process if they had not left it at once. The instance waits for them a moment longer.
#[tokio::test]
async fn verify_a_stop_waits_for_the_last_bytes() {
    let clock = TimerClock::new();
    let upstream = Upstream::always(vec![signed("200 OK", "ok")]).await;
    let gateway = gateway_of(clock, vec![entry("u", upstream.address.port())]);
    let (status, unwritten) = ask(&gateway, received(LIMIT, Body::empty())).await;
    // No more sockets from here on.
    tokio::time::pause();
    let stopping = begin(&gateway, clock);

    tokio::time::sleep((TIME + LAST_BYTES).as_duration()).await;
    let has_waited = !stopping.is_finished();
    drop(unwritten);
    stopping.await.expect("no panic");

    assert_eq!((status, gateway.in_flight()), (StatusCode::OK, 0));
    assert!(has_waited);
}
