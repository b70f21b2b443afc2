//! Streams at an instance whose list of upstreams is older than the upstreams: it was cut off or suspended while upstreams
//! of another software version started.

mod support;

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_gateway::configs::{Config, Repeats};
use anvilhook_gateway::fleets::Entry;
use support::fronts::{Answer, Front, ample_budget, config, start_with_clock, with_long_timeouts};
use support::instances::{connect, instance};
use support::upstreams::{
    Received, Step, Upstream, engine, event, rest_of_stream, signed, stream_head,
};
use support::wires::entry;

const PROMPT: &str = "T-Tokens: 400\r\n";

/// How long the instance has been cut off or suspended.
const AWAY_TIME: Millis = Millis(5_000);

fn resumable(has_engines: bool) -> Config {
    with_long_timeouts(&config(Repeats::Stream { resumable: true }, 3, has_engines))
}

/// Sends two events of a new stream and then nothing, the rest of a stream that goes on, and `report` of itself.
async fn upstream_with(report: &'static str) -> Upstream {
    Upstream::start(move |received: &Received| {
        if received.line.starts_with("GET /report") {
            return vec![signed("200 OK", report)];
        }
        match received.header("last-event-id") {
            None => vec![stream_head(), event(1), event(2), Step::Hang],
            Some(_) => rest_of_stream(received),
        }
    })
    .await
}

fn listed(version: &str, id: &str, upstream: &Upstream, born: Option<u64>) -> Entry {
    Entry { version: Some(Arc::from(version)), born, ..engine(id, upstream, Role::Decode) }
}

fn far(entry: Entry) -> Entry {
    Entry { zone: Arc::from("zone-b"), ..entry }
}

async fn begin<C: anvilhook_core::units::Clock>(front: &Front<C>, id: &str) {
    let mut caller = front.open(id, PROMPT, "").await;
    caller.receive_until("id: 2\n").await;
}

async fn resume<C: anvilhook_core::units::Clock>(front: &Front<C>, named: Option<&str>) -> Answer {
    let named = named.map_or_else(String::new, |named| format!("T-Resumes: {named}\r\n"));
    let headers = format!("{PROMPT}{named}Last-Event-Id: 2\r\n");
    front.post_with_long_deadline("r9", &headers, "").await
}

/// Returns how many streams an upstream has continued.
fn continued(upstream: &Upstream) -> usize {
    upstream.received().iter().filter(|one| one.header("last-event-id").is_some()).count()
}

/// Guards against a stream of two versions that is taken up at an instance out of step: it began through another one at
/// an engine that this one does not list, or lists as the start before, and goes on at an engine of the earlier version.
#[tokio::test]
async fn verify_a_stream_taken_up_at_an_instance_with_an_old_list_goes_on_at_no_other_version() {
    for is_listed_before in [false, true] {
        for is_cut_off in [false, true] {
            let new = upstream_with("decode again").await;
            let old = upstream_with("decode").await;
            let make_config = || resumable(true);
            let began = vec![listed("v2", "new", &new, Some(2))];
            let began = instance(1, &make_config, began, true).await;
            let mut entries = vec![listed("v1", "old", &old, Some(1))];
            if is_listed_before {
                entries.push(far(listed("v1", "new", &new, Some(1))));
            }
            let away = instance(2, &make_config, entries, true).await;
            connect(&[&began, &away]).await;
            if is_cut_off {
                away.end_exchange();
            }
            begin(&began.front, "r1").await;

            for named in [Some("r1"), None] {
                let answer = resume(&away.front, named).await;

                let name = format!("{is_listed_before} {is_cut_off} {named:?}: {answer:?}");
                assert_eq!(answer.status, 503, "{name}");
                assert_eq!((continued(&old), continued(&new)), (0, 0), "{name}");
            }
        }
    }
}

/// Starts an instance that received the list [`AWAY_TIME`] ago for the last time.
async fn away_instance(has_engines: bool, entries: Vec<Entry>) -> Front<ManualClock> {
    let clock = ManualClock::new();
    let config = Some(resumable(has_engines));
    let front = start_with_clock(clock.clone(), config, entries, ample_budget()).await;
    front.gateway.record_contact("list");
    clock.advance(AWAY_TIME);
    front
}

/// Guards against a stream of two versions that began at an instance out of step: its engine has restarted under its id
/// with another version, so the origin would name the version before.
#[tokio::test]
async fn verify_a_stream_that_an_old_list_misplaces_goes_on_nowhere() {
    for (report, events) in [("decode", vec![3, 4]), ("decode again", vec![])] {
        let (first, other) = (upstream_with(report).await, upstream_with("decode").await);
        let entries = vec![
            listed("v1", "first", &first, Some(1)),
            far(listed("v1", "other", &other, Some(1))),
        ];
        let front = away_instance(true, entries).await;
        begin(&front, "r1").await;

        let answer = resume(&front, Some("r1")).await;

        assert_eq!(answer.events(), events, "{report}: {answer:?}");
        assert_eq!(answer.status == 503, events.is_empty(), "{report}: {answer:?}");
        let is_continued = continued(&first) + continued(&other) > 0;
        assert_eq!(is_continued, !events.is_empty(), "{report}");
    }
}

/// Guards against the same for a stream that goes on at an upstream which can't be asked for its start.
#[tokio::test]
async fn verify_a_stream_goes_on_at_no_unchecked_upstream_of_an_old_list() {
    let upstream = upstream_with("decode").await;
    let entry = Entry { born: Some(1), ..entry("plain", upstream.address.port()) };
    let clock = ManualClock::new();
    let config = Some(resumable(false));
    let front = start_with_clock(clock.clone(), config, vec![entry], ample_budget()).await;
    front.gateway.record_contact("list");
    begin(&front, "r1").await;

    let in_step = resume(&front, Some("r1")).await;
    clock.advance(AWAY_TIME);
    let out_of_step = resume(&front, Some("r1")).await;

    assert_eq!((in_step.events(), out_of_step.status), (vec![3, 4], 503), "{out_of_step:?}");
    assert_eq!(continued(&upstream), 1);
}
