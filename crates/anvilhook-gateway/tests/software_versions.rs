//! Tests of streams that go on after a break, while upstreams of several software versions serve one service.

mod support;

use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_gateway::configs::{Config, Repeats};
use anvilhook_gateway::fleets::Entry;
use support::fronts::{ample_budget, config, start, with_long_timeouts};
use support::instances::{connect, instance};
use support::upstreams::{Received, Step, Upstream, engine, event, stream, stream_head};

const PROMPT: &str = "T-Tokens: 400\r\n";

fn resumable() -> Config {
    with_long_timeouts(&config(Repeats::Stream { resumable: true }, 3, true))
}

/// Returns an entry of an engine with the given software version.
fn engine_at(version: &str, id: &str, upstream: &Upstream) -> Entry {
    Entry { version: Some(Arc::from(version)), ..engine(id, upstream, Role::Decode) }
}

/// Returns the same entry in another availability zone than the gateway's, so that it is chosen second.
fn far(entry: Entry) -> Entry {
    Entry { zone: Arc::from("zone-b"), ..entry }
}

/// Answers with the events that follow the last one that the caller has received, up to 4.
fn rest_of_stream(received: &Received) -> Vec<Step> {
    let last: u64 = received.header("last-event-id").map_or(0, |id| id.parse().expect("a number"));
    stream(last + 1, 4)
}

/// Returns a stream that breaks after two events.
fn broken_stream() -> Vec<Step> {
    vec![stream_head(), event(1), event(2), Step::Reset]
}

/// Guards against an answer with events of two software versions: an engine breaks off, and the nearest other engine
/// has another version than the one that began the stream.
#[tokio::test]
async fn verify_a_broken_stream_is_resumed_at_its_software_version_only() {
    for (has_same_version, events) in [(true, vec![1, 2, 3, 4]), (false, vec![1, 2])] {
        let first = Upstream::always(broken_stream()).await;
        let near = Upstream::start(rest_of_stream).await;
        let other = Upstream::start(rest_of_stream).await;
        let mut engines = vec![engine_at("v1", "first", &first)];
        engines.push(far(engine_at("v2", "near", &near)));
        if has_same_version {
            let last = far(engine_at("v1", "other", &other));
            engines.push(Entry { slots: 1, ..last });
        }
        let front = start(Some(resumable()), engines, ample_budget()).await;

        let answer = front.post_with_long_deadline("r1", PROMPT, "").await;

        assert_eq!(answer.events(), events, "{answer:?}");
        assert_eq!(answer.is_complete(), has_same_version, "{answer:?}");
        assert_eq!(near.received().len(), 0, "it has another version");
    }
}

/// Guards against a stream with events of two software versions over its caller's tries: the instance that began it
/// is gone, and the caller continues it at another instance, under a new id.
#[tokio::test]
async fn verify_a_caller_continues_a_stream_at_its_software_version_only() {
    let first = Upstream::always(vec![stream_head(), event(1), event(2), Step::Hang]).await;
    let engines = vec![engine_at("v1", "first", &first)];
    let began = instance(1, &resumable, engines, true).await;
    let near = Upstream::start(rest_of_stream).await;
    let same = Upstream::start(rest_of_stream).await;
    let engines = vec![engine_at("v2", "near", &near), far(engine_at("v1", "same", &same))];
    let other = instance(2, &resumable, engines, true).await;
    connect(&[&began, &other]).await;
    let mut caller = began.front.open("r1", PROMPT, "").await;
    caller.receive_until("id: 2\n").await;
    drop(caller);

    let headers = format!("{PROMPT}T-Resumes: r1\r\nLast-Event-Id: 2\r\n");
    let answer = other.front.post_with_long_deadline("r2", &headers, "").await;

    assert_eq!(answer.events(), [3, 4], "{answer:?}");
    assert_eq!(near.received().len(), 0, "it has another version");
}
