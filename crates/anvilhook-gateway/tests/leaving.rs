//! Upstreams that indicate in their answers that they are leaving.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Millis, SystemClock};
use anvilhook_gateway::configs::Repeats;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::peers::{Digest, Notice, NoticeKind, exchange};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::fronts::{Front, ample_budget, config, start, start_with_clock, with_long_timeouts};
use support::until;
use support::upstreams::{Step, Upstream, engine, event, signed, stream, stream_end};
use support::wires::entry;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

const ONCE: Repeats = Repeats::Stream { resumable: false };
const PROMPT: &str = "T-Tokens: 100\r\n";

/// Returns an answer that indicates that its upstream is leaving, with further header lines.
fn leaving(status: &str, headers: &str, body: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {status}\r\nT-Id: {{id}}\r\nT-Leaving: 1\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

async fn front_before(repeats: Repeats, has_engine: bool, entries: Vec<Entry>) -> Front {
    start(Some(with_long_timeouts(&config(repeats, 2, has_engine))), entries, ample_budget()).await
}

fn takes_work(front: &Front, id: &str) -> bool {
    front.gateway.fleet().takes_work(id, Millis::ZERO)
}

/// Guards against work for an upstream that indicates in an answer that it is leaving, while the upstream
/// table does not show it yet.
#[tokio::test]
async fn verify_leaving_is_recognized_in_any_answer() {
    let cases = [
        ("whole", leaving("200 OK", "T-Signature: s\r\n", "fine")),
        ("failed", leaving("500 Error", "T-Signature: s\r\n", "")),
        ("refused", leaving("503 Full", "T-Not-Run: 1\r\n", "")),
        ("misdirected", leaving("421 Other", "", "")),
        ("another request's", leaving("200 OK", "T-Signature: s\r\nT-Id: other\r\n", "")),
        ("unsigned", leaving("200 OK", "", "")),
    ];
    for (name, step) in cases {
        let first = Upstream::always(vec![step]).await;
        let second = Upstream::always(vec![signed("200 OK", "second")]).await;
        let far = Entry { zone: "zone-b".into(), ..entry("far", second.address.port()) };
        let near = entry("near", first.address.port());
        let front = front_before(Repeats::AtMostOnce, false, vec![near, far]).await;
        front.post("r1", "", "one").await;

        let answer = front.post("r2", "", "two").await;

        assert_eq!((answer.status, answer.body.as_str()), (200, "second"), "{name}");
        assert_eq!(first.received().len(), 1, "{name}");
    }
}

/// Guards against the same where the head of a stream, the answer to a prefill, or the answer to an
/// instance's own call indicates it.
#[tokio::test]
async fn verify_leaving_is_recognized_at_any_stage() {
    let head = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nT-Leaving: 1\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let steps = vec![Step::Write(head.to_owned()), event(1), stream_end()];
    let streaming = Upstream::always(steps).await;
    let reading = Upstream::always(vec![leaving("200 OK", "", "handle h")]).await;
    let reporting = Upstream::start(|received| match received.line.contains("/report") {
        true => vec![leaving("200 OK", "", "decode")],
        false => vec![Step::Reset],
    })
    .await;
    let cases = [
        ("stream", vec![engine("e", &streaming, Role::Decode)]),
        (
            "prefill",
            vec![
                engine("e", &reading, Role::Prefill),
                engine("g", &Upstream::always(stream(1, 1)).await, Role::Decode),
            ],
        ),
        ("own call", vec![engine("e", &reporting, Role::Decode)]),
    ];
    for (name, entries) in cases {
        let front = front_before(ONCE, true, entries).await;

        front.post("r1", PROMPT, "").await;

        let waiting = until(|| !takes_work(&front, "e"));
        assert!(
            tokio::time::timeout(std::time::Duration::from_secs(5), waiting).await.is_ok(),
            "{name}"
        );
    }
}

/// Guards against a leaving upstream that gets work again after its entry is read again or lapses, or after
/// a late report.
#[tokio::test]
async fn verify_only_a_restart_ends_leaving() {
    let upstream = Upstream::always(vec![leaving("200 OK", "T-Signature: s\r\n", "")]).await;
    let listed = Entry { born: Some(5), ..entry("a", upstream.address.port()) };
    let front = front_before(Repeats::AtMostOnce, false, vec![listed.clone()]).await;
    front.post("r1", "", "").await;
    let later = Entry { sequence: 9, ..listed.clone() };
    let adopt = |entries: Vec<Entry>| {
        front.gateway.adopt_entries(entries);
        takes_work(&front, "a")
    };

    assert!(!adopt(vec![listed.clone()]), "listed again");
    assert!(!adopt(vec![later.clone()]), "a later report");
    assert!(!adopt(vec![]), "lapsed");
    assert!(!adopt(vec![entry("b", 1)]), "another one is listed");
    assert!(!adopt(vec![later.clone()]), "listed again after its lapse");

    assert!(adopt(vec![Entry { born: Some(6), ..later }]), "restarted");
}

/// Guards against requests from other instances after one instance knows that an upstream is leaving.
#[tokio::test]
async fn verify_leaving_is_published_to_peers() {
    let upstream = Upstream::always(vec![leaving("200 OK", "T-Signature: s\r\n", "")]).await;
    let clock = SystemClock::new();
    let config = config(Repeats::AtMostOnce, 1, false);
    let entries = vec![entry("a", upstream.address.port())];
    let front = start_with_clock(clock, Some(config), entries, ample_budget()).await;
    let own = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let other = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    front.gateway.peers().add(other.local_addr().expect("an address"));
    let rng = ChaCha8Rng::seed_from_u64(1);
    tokio::spawn(exchange(own, 1, rng, front.gateway.clone(), clock));

    front.post("r1", "", "").await;

    let mut buf = [0; 2_000];
    let is_leaving = |notice: &Notice| notice.kind == NoticeKind::Leaving;
    let mut published = None;
    while published.is_none() {
        let len = other.recv(&mut buf).await.expect("loopback");
        let digest: Digest = postcard::from_bytes(&buf[..len]).expect("a digest");
        published = digest.notices.into_iter().find(is_leaving).map(|notice| notice.engine);
    }
    assert_eq!(published, Some(engine_of(&front, "a")));
}

/// Guards against an instance that receives a peer's notice that an upstream is leaving, and still sends
/// requests to it because its own upstream table does not show it.
#[tokio::test]
async fn verify_a_peers_notice_of_leaving_is_applied() {
    let clock = SystemClock::new();
    let config = config(Repeats::AtMostOnce, 1, false);
    let front = start_with_clock(clock, Some(config), vec![entry("b", 1)], ample_budget()).await;
    let own = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let other = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let address: SocketAddr = own.local_addr().expect("an address");
    let rng = ChaCha8Rng::seed_from_u64(1);
    tokio::spawn(exchange(own, 1, rng, front.gateway.clone(), clock));

    let engine = engine_of(&front, "b");
    let notices = vec![Notice { engine, kind: NoticeKind::Leaving }];
    let digest = Digest { from: 7, is_partial: true, notices, ..Digest::default() };
    let bytes = postcard::to_stdvec(&digest).expect("it can be written");
    other.send_to(&bytes, address).await.expect("loopback");
    until(|| !takes_work(&front, "b")).await;
}

fn engine_of(front: &Front, id: &str) -> u32 {
    front.gateway.fleet().view().get(id).expect("listed").hash
}

/// Guards against generation at an engine that began to leave while another engine read the prompt
/// (prefill).
#[tokio::test]
async fn verify_no_leaving_engine_generates_after_a_separate_prefill() {
    let is_marked = Arc::new(Notify::new());
    let steps = vec![Step::Await(Arc::clone(&is_marked)), signed("200 OK", "handle h")];
    let reader = Upstream::always(steps).await;
    let near = Upstream::always(stream(1, 2)).await;
    let far = Upstream::always(stream(1, 3)).await;
    let entries = vec![
        engine("r", &reader, Role::Prefill),
        engine("near", &near, Role::Decode),
        Entry { zone: "zone-b".into(), ..engine("far", &far, Role::Decode) },
    ];
    let front = front_before(ONCE, true, entries).await;
    let marking = async {
        until(|| !reader.received().is_empty()).await;
        let view = front.gateway.fleet().view();
        view.get("near").expect("listed").state.mark_leaving(true, Millis(1));
        is_marked.notify_one();
    };

    let (answer, ()) = tokio::join!(front.post("r1", PROMPT, ""), marking);

    assert_eq!(answer.events(), [1, 2, 3]);
    assert!(near.received().is_empty());
}
