//! Tests of requests that wait at the gateway for an engine: their order, their rejection by the predicted wait,
//! and what an operator sees of them.

mod support;

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::units::ManualClock;
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::loads::Held;
use anvilhook_gateway::policies::Policy;
use support::fronts::{Answer, Front, ample_budget, config, start_with_clock, without_timeout};
use support::logs::{line_of, store_lines};
use support::until;
use support::upstreams::{Received, Upstream, engine, signed, stream};

const LONG: &str = "T-Tokens: 20000\r\nT-First-Part: 11\r\n";

/// `BusyEngines` is a gateway with one reader and one generator, which are busy for as long as `backlogs` are
/// held. Only the test advances its clock, so that no stall of the machine makes the waiting requests late.
struct BusyEngines {
    front: Front<ManualClock>,
    reader: Upstream,
    _generator: Upstream,
    backlogs: Vec<Held>,
}

impl BusyEngines {
    async fn start(reading_ms: f64) -> Self {
        Self::start_with(reading_ms, |_| true).await
    }

    /// Starts the gateway with those engines that `is_listed` selects.
    async fn start_with(reading_ms: f64, is_listed: fn(&str) -> bool) -> Self {
        store_lines();
        let reader = Upstream::start(|received: &Received| {
            let is_read = !received.line.starts_with("DELETE");
            vec![signed("200 OK", if is_read { "handle h1" } else { "" })]
        })
        .await;
        let generator = Upstream::always(stream(1, 2)).await;
        let engines =
            vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
        let listed = engines.into_iter().filter(|one| is_listed(&one.id)).collect();
        let config = without_timeout(&config(Repeats::Stream { resumable: true }, 2, true));
        let front =
            start_with_clock(ManualClock::new(), Some(config), listed, ample_budget()).await;
        let view = front.gateway.fleet().view();
        // The generator is so busy that reading the prompt there is never cheaper.
        let backlogs = [("r", reading_ms), ("g", 20_000.0)]
            .into_iter()
            .filter_map(|(id, ms)| Some(Held::with_work(Arc::clone(view.get(id)?), ms, 0.0)));
        let backlogs = backlogs.collect();
        Self { front, reader, _generator: generator, backlogs }
    }

    /// Returns whether a line is among the metrics.
    fn shows(&self, line: &str) -> bool {
        self.front.gateway.metrics_text().contains(&format!("anvilhook_gateway_{line}\n"))
    }

    async fn until_waiting(&self, count: usize) {
        let line = format!("waiting_requests{{service=\"service\",stage=\"read\"}} {count}");
        until(|| self.shows(&line)).await;
    }

    /// Returns the ids of the requests whose prompts were sent to the reader, in order.
    fn read(&self) -> Vec<String> {
        let received = self.reader.received().into_iter();
        let read = received.filter(|one| !one.line.starts_with("DELETE"));
        read.map(|one| one.header("t-id").expect("an id").to_owned()).collect()
    }

    async fn post(&self, id: &str) -> Answer {
        self.front.post_with_long_deadline(id, LONG, "").await
    }
}

fn retry_ms(answer: &Answer) -> u64 {
    let value = answer.head.lines().find_map(|line| line.strip_prefix("retry-after: "));
    (value.expect("a retry time").parse::<f64>().expect("a number") * 1e3).round() as u64
}

/// Guards against waiting requests that overtake each other, and against a place that blocks the queue after its
/// caller has left. Four prompts wait for the only reader, and the caller of the second one leaves.
#[tokio::test]
async fn verify_waiting_requests_are_sent_in_order_without_those_that_left() {
    let mut busy = BusyEngines::start(500.0).await;
    let backlogs = std::mem::take(&mut busy.backlogs);
    let busy = &busy;
    let mut waiting: Vec<_> = Vec::new();
    for (number, id) in ["o1", "o2", "o3", "o4"].into_iter().enumerate() {
        let mut answer = Box::pin(busy.post(id));
        tokio::select! {
            answer = &mut answer => panic!("{id} did not wait: {answer:?}"),
            () = busy.until_waiting(number + 1) => {}
        }
        waiting.push(answer);
    }
    drop(waiting.remove(1));
    busy.until_waiting(3).await;

    drop(backlogs);
    let answers = futures_util::future::join_all(waiting).await;

    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    assert_eq!(busy.read(), ["o1", "o3", "o4"]);
    for (id, position) in [("o1", 0), ("o3", 2), ("o4", 3)] {
        let line = line_of("placed", id);
        assert!(line.contains(&format!("\"position\":{position}")), "{line}");
    }
    busy.until_waiting(0).await;
}

/// Guards against callers that wait in vain and against rejected callers that all return at the same time. The
/// predicted time to the first event is more than twice the wait limit of 2 s. A rejection names its cause by the
/// request's id.
#[tokio::test]
async fn verify_requests_without_a_chance_are_rejected_at_once() {
    let busy = BusyEngines::start(4_500.0).await;

    let answers = [busy.post("p1").await, busy.post("p2").await, busy.post("p3").await];
    let with_short_deadline = busy.front.post("p4", LONG, "").await;

    for answer in answers.iter().chain([&with_short_deadline]) {
        assert!(answer.status == 503 && answer.body == "overload", "{answer:?}");
    }
    let mut retries = answers.each_ref().map(retry_ms);
    retries.sort_unstable();
    assert!(retries.is_sorted_by(|a, b| a < b), "{retries:?}");
    assert!(retries[0] >= 60 && retries[2] <= 20_000, "{retries:?}");
    assert!(retry_ms(&with_short_deadline) <= 2_000 / 3, "{with_short_deadline:?}");
    assert!(busy.read().is_empty());
    let rejections = "rejections_total{service=\"service\",reason=\"predicted\"} 4";
    assert!(busy.shows(rejections), "{}", busy.front.gateway.metrics_text());
    let line = line_of("concluded", "p1");
    assert!(line.contains("\"rejected_by\":\"predicted\",\"predicted_wait_ms\":49"), "{line}");
}

/// Guards against a caller that waits in vain where the only engine both reads prompts and generates.
#[tokio::test]
async fn verify_requests_without_a_chance_at_a_mixed_engine_are_rejected() {
    let busy = BusyEngines::start_with(0.0, |id| id == "g").await;

    let answer = busy.post("m1").await;

    assert_eq!((answer.status, &*answer.body), (503, "overload"));
    assert!(line_of("concluded", "m1").contains("\"rejected_by\":\"predicted\""));
}

/// Guards against rejecting a request that would be answered late but before its caller leaves, and against a
/// switch that has no effect.
#[tokio::test]
async fn verify_requests_with_a_chance_wait() {
    for (reading_ms, waiting_queue) in [(2_500.0, true), (4_500.0, false)] {
        let mut busy = BusyEngines::start(reading_ms).await;
        busy.front.gateway.set_policy(Policy { waiting_queue, ..Policy::default() });
        let backlogs = std::mem::take(&mut busy.backlogs);
        let id = format!("c{reading_ms}");
        let mut answer = Box::pin(busy.post(&id));

        let waited = tokio::time::timeout(Duration::from_millis(100), &mut answer).await;

        assert!(waited.is_err(), "{id}: {waited:?}");
        drop(backlogs);
        assert_eq!(answer.await.status, 200, "{id}");
    }
}
