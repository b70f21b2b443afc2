//! Upstreams whose answers end in the middle of their heads.

mod support;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use support::fronts::{ample_budget, config, start_with_clock, with_long_timeouts};
use support::instances::{connect, instance};
use support::upstreams::{Received, Step, Upstream, engine, signed, stream};
use support::wires::entry;

/// For how long an upstream may be passed over after its failures.
const EJECTION_TIME: Millis = Millis(600_000);

/// The heads of answers whose bodies are marked by a length, by chunks or by the end of the connection, with line feeds
/// alone, after an interim answer, and with the connection closed on purpose.
const HEADS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nContent-Length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\nT-Signature: s\r\nT-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nX-Last: 1\r\n\r\n",
    "HTTP/1.1 200 OK\nT-Id: {id}\nT-Signature: s\nContent-Length: 4\n\n",
    "HTTP/1.1 103 Early\r\nT-Id: {id}\r\n\r\nHTTP/1.1 200 OK\r\nT-Signature: s\r\nContent-Length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nConnection: close\r\n\r\n",
];

/// Returns the steps of an upstream that ends its answer to the request `r{length}` after as many bytes.
fn cut(received: &Received, head: &str, end: &Step) -> Vec<Step> {
    let id = received.header("t-id").expect("an id");
    let length: usize = id[1..].parse().expect("a number");
    let head = head.replace("{id}", id);
    vec![Step::Write(head[..length.min(head.len())].to_owned()), end.clone()]
}

/// Guards against a 200 with an empty or short body that is framed as whole, and against a second run of a request
/// that runs at most once: the upstream ends, or resets, its answer after each byte of the head.
#[tokio::test]
async fn verify_an_answer_that_ends_in_its_head_is_none() {
    let kinds = [
        (Repeats::AtMostOnce, false),
        (Repeats::Idempotent, true),
        (Repeats::Stream { resumable: false }, false),
        (Repeats::Stream { resumable: true }, true),
    ];
    for (head, end) in HEADS.iter().flat_map(|head| [(head, Step::Close), (head, Step::Reset)]) {
        for (repeats, is_sent_again) in kinds {
            let (steps_end, name) = (end.clone(), format!("{head:?} {end:?} {repeats:?}"));
            let cutting = Upstream::start(move |one| cut(one, head, &steps_end)).await;
            let sound = match repeats {
                Repeats::Stream { .. } => stream(1, 2),
                _ => vec![signed("200 OK", "whole")],
            };
            let other = Upstream::always(sound).await;
            let near = entry("near", cutting.address.port());
            let far = Entry { zone: "zone-b".into(), ..entry("far", other.address.port()) };
            let config = with_long_timeouts(&config(repeats, 2, false));
            let clock = ManualClock::new();
            let entries = vec![near, far];
            let front =
                start_with_clock(clock.clone(), Some(config), entries, ample_budget()).await;
            // The id is longer than the placeholder in no case, so that every cut is within the head.
            for (number, length) in (0..head.len() - "{id}".len()).enumerate() {
                let answer = front.post_with_long_deadline(&format!("r{length}"), "", "b").await;

                let expected = if is_sent_again { 200 } else { 502 };
                assert_eq!(answer.status, expected, "{length} of {name}: {answer:?}");
                assert!(answer.is_complete(), "{length} of {name}: {answer:?}");
                assert_eq!(cutting.received().len(), number + 1, "{length} of {name}");
                let others = if is_sent_again { number + 1 } else { 0 };
                assert_eq!(other.received().len(), others, "{length} of {name}");
                clock.advance(EJECTION_TIME);
            }
        }
    }
}

/// Guards against a request that is taken for answered, or that runs twice, because the answer to the call that only
/// has its prompt read ends in its head.
#[tokio::test]
async fn verify_a_prompt_whose_reading_ends_in_the_head_of_its_answer_runs_once() {
    const PROMPT: &str = "T-Tokens: 20000\r\nT-First-Part: 11\r\n";
    for head in HEADS {
        let reader = Upstream::start(move |one| match one.line.starts_with("POST") {
            true => cut(one, head, &Step::Close),
            false => vec![signed("200 OK", "{}")],
        })
        .await;
        let generator = Upstream::always(stream(1, 2)).await;
        let entries = vec![
            engine("reader", &reader, Role::Prefill),
            engine("generator", &generator, Role::Decode),
        ];
        let config = with_long_timeouts(&config(Repeats::Stream { resumable: false }, 2, true));
        let clock = ManualClock::new();
        let front = start_with_clock(clock.clone(), Some(config), entries, ample_budget()).await;
        for (number, length) in (0..head.len() - "{id}".len()).step_by(9).enumerate() {
            let answer = front.post_with_long_deadline(&format!("r{length}"), PROMPT, "").await;

            let runs =
                generator.received().iter().filter(|one| one.line.starts_with("POST")).count();
            assert!(answer.is_complete(), "{length} of {head:?}: {answer:?}");
            assert!(runs <= number + 1, "{length} of {head:?}: {runs} runs");
            assert_eq!(answer.status == 200, answer.events() == [1, 2], "{length} of {head:?}");
            clock.advance(EJECTION_TIME);
        }
    }
}

/// Guards against the same behind another instance, which passes the answer on.
#[tokio::test]
async fn verify_a_forwarded_answer_that_ends_in_its_head_is_none() {
    for (head, end) in HEADS.iter().flat_map(|head| [(head, Step::Close), (head, Step::Reset)]) {
        for length in [0, 9, 17, 33, 47] {
            let steps_end = end.clone();
            let upstream = Upstream::start(move |one| cut(one, head, &steps_end)).await;
            let make_config = || config(Repeats::AtMostOnce, 2, false);
            let first = instance(1, &make_config, vec![entry("u", 1)], true).await;
            let listed = entry("u", upstream.address.port());
            let second = instance(2, &make_config, vec![listed], true).await;
            connect(&[&first, &second]).await;

            let answer = first.front.post(&format!("r{length}"), "", "body").await;

            assert_eq!(answer.status, 502, "{length} of {head:?}: {answer:?}");
            assert!(answer.is_complete(), "{length} of {head:?}: {answer:?}");
            assert_eq!(upstream.received().len(), 1, "{length} of {head:?}");
        }
    }
}
