//! Upstreams whose answers break after their heads, at once or without end.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvilhook_core::orders::Role;
use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use support::fronts::{Front, ample_budget, config, start_with_clock, with_long_timeouts};
use support::upstreams::{Step, Upstream, chunk, signed, stream, stream_end, stream_head};
use support::wires::entry;

/// The number of failures after which an upstream is not used for a while.
const FAILURES: usize = 3;

fn write(text: &str) -> Step {
    Step::Write(text.to_owned())
}

/// Starts a gateway with two upstreams, of which the first one is nearer.
async fn front_of(
    repeats: Repeats,
    role: Option<Role>,
    upstreams: [&Upstream; 2],
    clock: &ManualClock,
) -> Front<ManualClock> {
    let [near, far] = upstreams;
    let near = Entry { role, ..entry("near", near.address.port()) };
    let far = Entry { role, zone: "zone-b".into(), ..entry("far", far.address.port()) };
    let config = with_long_timeouts(&config(repeats, 2, role.is_some()));
    start_with_clock(clock.clone(), Some(config), vec![near, far], ample_budget()).await
}

/// Returns how many requests of callers an upstream has received.
fn runs(upstream: &Upstream) -> usize {
    upstream.received().iter().filter(|one| one.line.starts_with("POST")).count()
}

/// Guards against an upstream that draws nearly all requests because its answers break at once, so that it always seems
/// idle. Each head counted as a success, and the broken rest as one failure after it.
#[tokio::test]
async fn verify_an_upstream_whose_answers_break_is_not_used_for_a_while() {
    const REQUESTS: usize = 12;
    let stream = Repeats::Stream { resumable: true };
    let cut = "HTTP/1.1 200 OK\r\nT-Signature: s\r\nContent-Length: 9\r\n\r\ncut";
    let unsigned = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let bad_chunk = "HTTP/1.1 200 OK\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    let cases = [
        (Repeats::Idempotent, vec![write(cut), Step::Close]),
        (Repeats::Idempotent, vec![write(unsigned)]),
        (Repeats::Idempotent, vec![write(bad_chunk)]),
        (stream, vec![write(cut), Step::Close]),
        (stream, vec![write(unsigned)]),
        (stream, vec![stream_head(), Step::Close]),
        (stream, vec![stream_head(), chunk("id: 1\ndata: "), Step::Close]),
        (stream, vec![stream_head(), stream_end()]),
    ];
    for (repeats, steps) in cases {
        let is_sound = Arc::new(AtomicBool::new(false));
        let (is_mended, name) = (Arc::clone(&is_sound), format!("{repeats:?} {steps:?}"));
        let sound = match repeats {
            Repeats::Stream { .. } => self::stream(1, 2),
            _ => vec![signed("200 OK", "well")],
        };
        let other = Upstream::always(sound.clone()).await;
        let breaking = Upstream::start(move |_| match is_mended.load(Ordering::SeqCst) {
            true => sound.clone(),
            false => steps.clone(),
        })
        .await;
        let clock = ManualClock::new();
        let front = front_of(repeats, None, [&breaking, &other], &clock).await;

        for at in 0..REQUESTS {
            let answer = front.post_with_long_deadline(&format!("r{at}"), "", "").await;
            assert_eq!(answer.status, 200, "{name}: {answer:?}");
        }
        let broken = runs(&breaking);
        is_sound.store(true, Ordering::SeqCst);
        clock.advance(Millis::from_secs(3));
        for at in 0..REQUESTS {
            let answer = front.post_with_long_deadline(&format!("s{at}"), "", "").await;
            assert_eq!(answer.status, 200, "{name}: {answer:?}");
        }

        assert_eq!(broken, FAILURES, "{name}");
        assert_eq!(runs(&breaking) - broken, REQUESTS, "{name}: it is sound again");
    }
}
