//! Tests of instances that are cut from upstreams which other instances reach.
//!
//! An instance is cut by its upstream table: it lists an upstream at an address where connections are refused or hang,
//! and the other instances list it at its real one.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvilhook_core::api_keys::{AccountRegistry, ClientAccount};
use anvilhook_core::orders::Role;
use anvilhook_core::paths::Path;
use anvilhook_core::stops::Stop;
use anvilhook_core::units::{Millis, SystemClock};
use anvilhook_gateway::configs::{Config, Repeats};
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::metrics::NameLabel;
use anvilhook_gateway::peers::seed_caches;
use anvilhook_gateway::policies::Policy;
use support::fronts::{config, config_of_version, request, with_long_timeouts};
use support::instances::{Instance, connect, instance};
use support::until;
use support::upstreams::{Step, Upstream, engine, event, signed, stream, stream_end, stream_head};
use support::wires::{entry, key_hasher};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

const RESUMABLE: Repeats = Repeats::Stream { resumable: true };
const PROMPT: &str = "T-Tokens: 100\r\n";

/// `Cut` is an address at which connections fail.
struct Cut {
    address: SocketAddr,
    cause: Cause,
}

/// `Cause` is what makes connections fail. It keeps the port from being used by another test.
enum Cause {
    /// Nothing listens.
    Refuses(TcpSocket),
    /// The queue of new connections is full, or is after the next one.
    Full { _listener: TcpListener, _first: Option<TcpStream> },
}

/// `How` is how connections fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum How {
    /// They are refused.
    Refused,
    /// They hang while they are opened.
    Silent,
    /// The first one is opened and transfers nothing; further ones hang.
    SilentAfterFirst,
}

const BOTH: [How; 2] = [How::Refused, How::Silent];

async fn cut(how: How) -> Cut {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = socket.local_addr().expect("an address");
    if how == How::Refused {
        return Cut { address, cause: Cause::Refuses(socket) };
    }
    let listener = socket.listen(0).expect("a listener");
    let first = match how {
        How::Silent => Some(TcpStream::connect(address).await.expect("a connection")),
        How::SilentAfterFirst | How::Refused => None,
    };
    Cut { address, cause: Cause::Full { _listener: listener, _first: first } }
}

fn at(entry: Entry, cut: &Cut) -> Entry {
    Entry { address: cut.address, ..entry }
}

/// Starts two instances, of which only the second reaches the upstream.
async fn cut_and_sound(
    config: &impl Fn() -> Config,
    listed: Entry,
    how: How,
) -> (Instance, Instance, Cut) {
    let cut = cut(how).await;
    let first = instance(1, config, vec![at(listed.clone(), &cut)], true).await;
    let second = instance(2, config, vec![listed], true).await;
    connect(&[&first, &second]).await;
    (first, second, cut)
}

fn path(instance: &Instance, id: &str) -> Path {
    let view = instance.front.gateway.fleet().view();
    view.get(id).expect("it is listed").state.path().current()
}

/// Guards against an instance that fails its callers because its own path to an upstream is broken, while another
/// instance reaches the upstream. A request that may run at most once must reach it once.
#[tokio::test]
async fn verify_requests_reach_upstreams_through_another_instance() {
    for how in BOTH {
        for repeats in [Repeats::Idempotent, Repeats::AtMostOnce] {
            let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
            let make_config = || config(repeats, 2, false);
            let listed = entry("u", upstream.address.port());
            let (first, second, _cut) = cut_and_sound(&make_config, listed, how).await;

            let answers = [
                first.front.post("r1", "T-Own: kept\r\n", "body").await,
                first.front.post("r2", "", "body").await,
            ];

            for answer in &answers {
                assert_eq!((answer.status, &*answer.body), (200, "answer"), "{how:?} {repeats:?}");
                assert!(!answer.head.contains("peer-"), "{}", answer.head);
            }
            let received = upstream.received();
            assert_eq!(received.len(), 2, "{how:?} {repeats:?}");
            assert_eq!(received[0].line, "POST /a/b?c=d HTTP/1.1");
            assert_eq!(received[0].header("t-own"), Some("kept"));
            assert_eq!(received[0].body, "body");
            assert!(received[0].headers.iter().all(|line| !line.starts_with("peer-")));
            assert!(path(&first, "u").is_indirect(), "{how:?} {repeats:?}");
            assert_eq!(path(&second, "u"), Path::Direct);
        }
    }
}

/// Guards against prompts that can't be read, and streams that can't be generated, behind a broken path. The events
/// arrive as the engine makes them.
#[tokio::test]
async fn verify_streams_arrive_through_another_instance() {
    for how in BOTH {
        let goes_on = Arc::new(Notify::new());
        let mut steps = vec![stream_head(), event(1), Step::Await(Arc::clone(&goes_on))];
        steps.extend([event(2), event(3), stream_end()]);
        let upstream = Upstream::always(steps).await;
        let make_config = || with_long_timeouts(&config(RESUMABLE, 2, true));
        let listed = engine("e", &upstream, Role::Decode);
        let (first, second, _cut) = cut_and_sound(&make_config, listed, how).await;
        let answering = tokio::spawn(async move {
            (first.front.post_with_long_deadline("r1", PROMPT, "body").await, first)
        });

        until(|| second.front.gateway.served_calls() == 1).await;
        until(|| !upstream.received().is_empty()).await;
        goes_on.notify_one();
        let (answer, _first) = answering.await.expect("no panic");

        assert!(answer.is_complete(), "{how:?}: {answer:?}");
        assert_eq!(answer.events(), [1, 2, 3], "{how:?}");
        assert_eq!(upstream.received().len(), 1, "{how:?}");
        until(|| second.front.gateway.served_calls() == 0).await;
    }
}

/// Guards against taking a broken path for a failure of the upstream. The other instances must not be
/// notified that the upstream refuses connections.
#[tokio::test]
async fn verify_a_broken_path_closes_no_upstream_for_others() {
    let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
    let make_config = || config(Repeats::Idempotent, 2, false);
    let listed = entry("u", upstream.address.port());
    let (first, second, _cut) = cut_and_sound(&make_config, listed, How::Refused).await;

    for number in 0..5 {
        first.front.post(&format!("r{number}"), "", "body").await;
    }

    for instance in [&first, &second] {
        let view = instance.front.gateway.fleet().view();
        let state = &view.get("u").expect("it is listed").state;
        assert_eq!(state.own_closed_until(), Millis::ZERO);
        assert_eq!(state.slow_start().closings(), 0);
        assert!(state.is_healthy(Millis::ZERO), "it was never ejected");
    }
}

/// Guards against an upstream that has failed and is tried by every instance, because a refused connection alone no
/// longer counts. Two instances that are refused close it for all.
#[tokio::test]
async fn verify_an_upstream_that_refuses_two_instances_is_closed_for_all() {
    let gone = cut(How::Refused).await;
    let make_config = || config(Repeats::Idempotent, 2, false);
    let mut instances = Vec::new();
    for number in 1..=3 {
        instances.push(instance(number, &make_config, vec![at(entry("u", 1), &gone)], true).await);
    }
    connect(&instances.iter().collect::<Vec<_>>()).await;

    let answer = instances[0].front.post("r1", "", "body").await;

    assert_eq!(answer.status, 503, "{answer:?}");
    let closings = |one: &Instance| {
        let view = one.front.gateway.fleet().view();
        view.get("u").expect("it is listed").state.slow_start().closings()
    };
    until(|| instances.iter().all(|one| closings(one) == 1)).await;
}

/// Guards against the same among instances of an earlier build, which can't be asked.
#[tokio::test]
async fn verify_a_refusal_counts_if_no_other_instance_forwards() {
    let gone = cut(How::Refused).await;
    let make_config = || config(Repeats::Idempotent, 2, false);
    let first = instance(1, &make_config, vec![at(entry("u", 1), &gone)], true).await;
    let mut earlier = instance(2, &make_config, vec![at(entry("u", 1), &gone)], false).await;
    earlier.port = None;
    connect(&[&first, &earlier]).await;

    let answer = first.front.post("r1", "", "body").await;

    assert_eq!(answer.status, 503, "{answer:?}");
    let view = earlier.front.gateway.fleet().view();
    let state = &view.get("u").expect("it is listed").state;
    until(|| state.slow_start().closings() == 1).await;
}

/// Guards against a request that waits for its deadline although it is known that no instance reaches its upstream.
#[tokio::test]
async fn verify_a_request_that_no_instance_can_send_is_rejected_at_once() {
    for repeats in [Repeats::Idempotent, Repeats::AtMostOnce] {
        let gone = cut(How::Silent).await;
        let make_config = || with_long_timeouts(&config(repeats, 2, false));
        let listed = || vec![at(entry("u", 1), &gone)];
        let first = instance(1, &make_config, listed(), true).await;
        let second = instance(2, &make_config, listed(), true).await;
        connect(&[&first, &second]).await;

        let attempted = first.front.post_with_long_deadline("r1", "", "body").await;
        until(|| path(&first, "u") == Path::Unreachable).await;
        let rejected = first.front.post_with_long_deadline("r2", "", "body").await;

        assert_eq!(attempted.status, 503, "{repeats:?}");
        assert_eq!((rejected.status, &*rejected.body), (503, "unreachable"), "{repeats:?}");
        assert!(rejected.head.contains("retry-after: 0.500"), "{repeats:?}: {}", rejected.head);
    }
}

/// Guards against reporting "not run" for a request that another instance may have sent before the connection to that
/// instance broke, and against sending it again.
#[tokio::test]
async fn verify_a_call_that_breaks_at_another_instance_may_have_run() {
    let cut = cut(How::Refused).await;
    let make_config = || config(Repeats::AtMostOnce, 2, false);
    let first = instance(1, &make_config, vec![at(entry("u", 1), &cut)], true).await;
    let mut second = instance(2, &make_config, vec![], false).await;
    let listener = second.port.take().expect("nothing serves calls");
    let breaking = tokio::spawn(async move {
        let mut calls = 0;
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buf = [0; 1_024];
            let len = stream.read(&mut buf).await.expect("a call");
            calls += usize::from(buf[..len].starts_with(b"POST"));
            drop(stream);
            if calls == 1 {
                return listener;
            }
        }
    });
    connect(&[&first, &second]).await;

    let answer = first.front.post("r1", "", "body").await;

    assert_eq!((answer.status, &*answer.body), (502, "connection_broken"));
    breaking.await.expect("one call was received");
}

/// Guards against an upstream that continues to work for a caller that has left the instance behind the broken path.
#[tokio::test]
async fn verify_a_caller_that_leaves_ends_the_call_at_the_upstream() {
    let upstream = Upstream::always(vec![Step::Hang]).await;
    let make_config = || config(Repeats::Idempotent, 2, false);
    let listed = entry("u", upstream.address.port());
    let (first, second, _cut) = cut_and_sound(&make_config, listed, How::Refused).await;
    let mut caller = TcpStream::connect(first.front.address).await.expect("the front listens");
    caller.write_all(request("r1", "", "body").as_bytes()).await.expect("the front reads");
    until(|| second.front.gateway.served_calls() == 1).await;
    until(|| upstream.received().len() == 1).await;

    drop(caller);

    upstream.client_closed().await;
    until(|| second.front.gateway.served_calls() == 0).await;
}

/// Guards against work for an upstream that leaves, and against calls that a stopping instance would interrupt: the
/// instance that forwards a call checks its own state right before it sends.
#[tokio::test]
async fn verify_a_forwarder_checks_whether_the_call_may_be_sent() {
    for is_leaving in [true, false] {
        let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
        let make_config = || config(Repeats::AtMostOnce, 2, false);
        let cut = cut(How::Refused).await;
        let listed = entry("u", upstream.address.port());
        let first = instance(1, &make_config, vec![at(listed.clone(), &cut)], true).await;
        let listed = Entry { draining: is_leaving, ..listed };
        let second = instance(2, &make_config, vec![listed], true).await;
        connect(&[&first, &second]).await;
        if !is_leaving {
            let (noticed_at, ends_at) = (Millis(60_000), Millis(60_000));
            second.front.gateway.begin_stop(Stop { noticed_at, ends_at });
        }

        let answer = first.front.post("r1", "", "body").await;

        assert_eq!(answer.status, 503, "leaving {is_leaving}: {answer:?}");
        assert!(upstream.received().is_empty(), "leaving {is_leaving}");
    }
}

/// Guards against a request that waits on an open connection which transfers nothing any more, until its caller gives
/// up. It may be repeated, so it is sent through another instance.
#[tokio::test]
async fn verify_a_call_on_a_silent_connection_is_repeated_through_another_instance() {
    let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
    let make_config = || with_long_timeouts(&config(Repeats::Idempotent, 3, false));
    let listed = entry("u", upstream.address.port());
    let (first, _second, _cut) = cut_and_sound(&make_config, listed, How::SilentAfterFirst).await;

    let answers = [
        first.front.post_with_long_deadline("r1", "", "body").await,
        first.front.post_with_long_deadline("r2", "", "body").await,
    ];

    assert_eq!(path(&first, "u"), Path::IndirectOnly);
    assert!(answers.iter().any(|answer| answer.status == 200), "{answers:?}");
    assert_eq!(answers[1].status, 200, "{answers:?}");
}

/// Guards against quarantining requests because connections to their engines break and further ones are refused at
/// one instance only. The stream is resumed through the other instance.
#[tokio::test]
async fn verify_a_broken_path_makes_no_request_a_suspect() {
    let behind_cut = Upstream::always(vec![stream_head(), event(1), Step::Terminate]).await;
    let upstream = Upstream::always(stream(1, 3)).await;
    let make_config = || with_long_timeouts(&config(RESUMABLE, 3, true));
    let listed = |one: &Upstream| vec![engine("e", one, Role::Decode)];
    let first = instance(1, &make_config, listed(&behind_cut), true).await;
    let second = instance(2, &make_config, listed(&upstream), true).await;
    connect(&[&first, &second]).await;

    let answer = first.front.post_with_long_deadline("r1", PROMPT, "body").await;

    assert_eq!(answer.events(), [1, 2, 3], "{answer:?}");
    until(|| path(&first, "e").is_indirect()).await;
    // Longer than the check of an engine takes.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let suspects = first.front.gateway.suspects().list(Millis::ZERO);
    assert!(suspects.is_empty(), "{suspects:?}");
}

/// Guards against an instance that uses another one for ever after its own path has healed.
#[tokio::test]
async fn verify_a_healed_path_is_used_again() {
    let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
    let make_config = || config(Repeats::Idempotent, 2, false);
    let listed = entry("u", upstream.address.port());
    let (first, _second, cut) = cut_and_sound(&make_config, listed, How::Refused).await;
    first.front.post("r1", "", "body").await;
    assert_eq!(path(&first, "u"), Path::Indirect);

    let Cause::Refuses(socket) = cut.cause else { unreachable!("connections are refused") };
    let listener = socket.listen(16).expect("the port is bound");
    let accepting = tokio::spawn(async move { while listener.accept().await.is_ok() {} });

    until(|| path(&first, "u") == Path::Direct).await;
    accepting.abort();
}

/// Guards against an instance that is cut from an upstream and takes another one that is cut as well for a witness that
/// the upstream has failed.
#[tokio::test]
async fn verify_a_forwarder_that_is_cut_as_well_is_passed_over() {
    let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
    let make_config = || config(Repeats::AtMostOnce, 2, false);
    let listed = entry("u", upstream.address.port());
    let (mut cuts, mut instances) = (Vec::new(), Vec::new());
    for number in 1..=3 {
        let cut = cut(How::Refused).await;
        let listed = vec![at(listed.clone(), &cut)];
        instances.push(instance(number, &make_config, listed, true).await);
        cuts.push(cut);
    }
    instances.push(instance(4, &make_config, vec![listed], true).await);
    connect(&instances.iter().collect::<Vec<_>>()).await;
    // Each of the three finds out by itself that its path is broken.
    for (number, instance) in instances.iter().enumerate().take(3) {
        for repeat in 0..4 {
            instance.front.post(&format!("a{number}{repeat}"), "", "body").await;
        }
    }
    until(|| instances[..3].iter().all(|one| path(one, "u").is_indirect())).await;

    let mut served = 0;
    for number in 0..20 {
        let answer = instances[0].front.post(&format!("r{number}"), "", "body").await;
        served += usize::from(answer.status == 200);
    }

    assert_eq!(served, 20);
}

/// Guards against checks that make other instances check and ask further ones, without end: an upstream that has failed
/// must cost each instance a few calls.
#[tokio::test]
async fn verify_checks_of_a_failed_upstream_do_not_multiply() {
    const MAX_CALLS: u64 = 20;
    let gone = cut(How::Refused).await;
    let make_config = || config(Repeats::Idempotent, 2, false);
    let mut instances = Vec::new();
    for number in 1..=4 {
        instances.push(instance(number, &make_config, vec![at(entry("u", 1), &gone)], true).await);
    }
    connect(&instances.iter().collect::<Vec<_>>()).await;

    instances[0].front.post("r1", "", "body").await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;

    let refused = NameLabel { name: "refused".to_owned() };
    let served = |one: &Instance| {
        let calls = &one.front.gateway.metrics().served_calls;
        calls.get_or_create(&refused).get()
    };
    let served: u64 = instances.iter().map(served).sum();
    assert!((1..=MAX_CALLS).contains(&served), "{served} calls");
}

/// Guards against sending work to an upstream that began to leave while its connection was being opened. The other
/// instance does not list it as leaving yet.
#[tokio::test]
async fn verify_an_upstream_that_leaves_meanwhile_gets_no_forwarded_call() {
    let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
    let make_config = || config(Repeats::AtMostOnce, 2, false);
    let listed = entry("u", upstream.address.port());
    let (first, _second, cut) = cut_and_sound(&make_config, listed.clone(), How::Silent).await;
    let gateway = first.front.gateway.clone();
    let answering = tokio::spawn(async move { first.front.post("r1", "", "body").await });
    until(|| gateway.in_flight() == 1).await;

    gateway.adopt_entries([at(Entry { draining: true, ..listed }, &cut)]);

    let answer = answering.await.expect("no panic");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(upstream.received().is_empty());
}

/// Starts an upstream that answers each request and keeps its connections open. Returns its port, and the number of
/// connections that have carried a request.
async fn counting_upstream() -> (u16, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let port = listener.local_addr().expect("an address").port();
    let used = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&used);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let (mut buf, mut requests) = ([0; 4_096], 0);
                while matches!(stream.read(&mut buf).await, Ok(len) if len > 0) {
                    requests += 1;
                    count.fetch_add(usize::from(requests == 1), Ordering::SeqCst);
                    let answer = "HTTP/1.1 200 OK\r\nT-Signature: s\r\nContent-Length: 2\r\n\r\nok";
                    stream.write_all(answer.as_bytes()).await.expect("the caller reads");
                }
            });
        }
    });
    (port, used)
}

/// Guards against a call that a forwarder writes to an open connection which has begun to transfer nothing: the kernel
/// delivers it once the path heals, long after the caller has left.
#[tokio::test]
async fn verify_a_forwarder_uses_no_connection_that_has_been_quiet() {
    let (port, used) = counting_upstream().await;
    let make_config = || config(Repeats::Idempotent, 2, false);
    let (first, _second, _cut) = cut_and_sound(&make_config, entry("u", port), How::Refused).await;

    for number in 1..=3 {
        let answer = first.front.post(&format!("r{number}"), "", "body").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }

    assert_eq!(used.load(Ordering::SeqCst), 3);
}

/// Guards against passing over another instance for all upstreams because it refuses a call to one that leaves: an
/// instance that is cut from all of them would serve nothing.
#[tokio::test]
async fn verify_a_refusal_for_one_upstream_does_not_concern_the_others() {
    let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
    let make_config = || config(Repeats::AtMostOnce, 2, false);
    let cut = cut(How::Refused).await;
    let leaving = entry("a", upstream.address.port());
    let open = entry("b", upstream.address.port());
    let listed = [leaving.clone(), open.clone()].map(|one| at(one, &cut)).into();
    let first = instance(1, &make_config, listed, true).await;
    let listed = vec![Entry { draining: true, ..leaving }, open];
    let second = instance(2, &make_config, listed, true).await;
    connect(&[&first, &second]).await;

    for number in 0..4 {
        let answer = first.front.post(&format!("r{number}"), "", "body").await;
        assert_eq!(answer.status, 200, "{number}: {answer:?}");
    }
}

/// Returns a configuration in which `keys` belong to a client account.
fn config_with_keys(version: u64, keys: &[&str]) -> Config {
    let mut accounts = AccountRegistry::new(key_hasher());
    let account = ClientAccount { name: Arc::from("kitchen"), priority: None };
    accounts.try_add(account, keys.iter().copied()).expect("valid keys");
    config_of_version(version, Repeats::AtMostOnce, 2, false).with_accounts(accounts)
}

/// Guards against sending a request whose key was withdrawn while its connection was being opened.
#[tokio::test]
async fn verify_a_request_whose_key_is_withdrawn_meanwhile_is_not_forwarded() {
    let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
    let make_config = || config_with_keys(1, &["good-key"]);
    let listed = entry("u", upstream.address.port());
    let (first, _second, _cut) = cut_and_sound(&make_config, listed, How::Silent).await;
    let gateway = first.front.gateway.clone();
    let key = "Authorization: Bearer good-key\r\n";
    let answering = tokio::spawn(async move { first.front.post("r1", key, "body").await });
    until(|| gateway.in_flight() == 1).await;

    gateway.adopt_config(config_with_keys(2, &["other-key"]));

    let answer = answering.await.expect("no panic");
    assert!(matches!(answer.status, 401 | 503), "{answer:?}");
    assert!(upstream.received().is_empty());
}

/// Guards against an upstream that receives a key, or no account's name: the configuration brings
/// in accounts, or moves the key to another one, while the connection of a request is being opened.
#[tokio::test]
async fn verify_a_message_of_earlier_accounts_is_not_forwarded() {
    let account = |name: &str| {
        let mut accounts = AccountRegistry::new(key_hasher());
        let account = ClientAccount { name: Arc::from(name), priority: None };
        accounts.try_add(account, ["good-key"]).expect("a valid key");
        accounts
    };
    for has_accounts in [false, true] {
        let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
        let make_config = || match has_accounts {
            true => config_with_keys(1, &["good-key"]),
            false => config_of_version(1, Repeats::AtMostOnce, 2, false),
        };
        let listed = entry("u", upstream.address.port());
        let (first, _second, _cut) = cut_and_sound(&make_config, listed, How::Silent).await;
        let gateway = first.front.gateway.clone();
        let key = "Authorization: Bearer good-key\r\n";
        let answering = tokio::spawn(async move { first.front.post("r1", key, "body").await });
        until(|| gateway.in_flight() == 1).await;

        let changed = config_of_version(2, Repeats::AtMostOnce, 2, false);
        gateway.adopt_config(changed.with_accounts(account("cellar")));

        let answer = answering.await.expect("no panic");
        assert!(matches!(answer.status, 200 | 503), "{has_accounts}: {answer:?}");
        for received in upstream.received() {
            assert_eq!(received.header("t-account"), Some("cellar"), "{has_accounts}");
            assert_eq!(received.header("authorization"), None, "{has_accounts}");
        }
    }
}

/// Guards against an answer without end that fills the memory of the instance that received the request or of the one that
/// forwards it, or that keeps either from its other requests.
#[tokio::test]
async fn verify_an_answer_without_end_is_cut_behind_another_instance() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nT-Signature: s\r\n";
    let plain = Repeats::Idempotent;
    let cases = [
        (plain, format!("{HEAD}X-A: "), "x"),
        (plain, String::new(), "HTTP/1.1 102 Go\r\n\r\n"),
        (plain, format!("{HEAD}\r\n"), "x"),
        (plain, format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n"), "1\r\nx\r\n"),
        (plain, format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n1;"), "x"),
        (RESUMABLE, format!("{HEAD}\r\nid: 1\ndata: "), "x"),
        (RESUMABLE, format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n"), "1\r\nx\r\n"),
    ];
    for (repeats, begin, repeated) in cases {
        let written = Arc::new(AtomicUsize::new(0));
        let steps = vec![Step::Write(begin.clone()), Step::Repeat(repeated, Arc::clone(&written))];
        let upstream = Upstream::always(steps).await;
        let make_config = || with_long_timeouts(&config(repeats, 1, false));
        let listed = entry("u", upstream.address.port());
        let (first, second, _cut) = cut_and_sound(&make_config, listed, How::Refused).await;

        let answer = first.front.post_with_long_deadline("r1", "", "body").await;
        upstream.client_closed().await;

        assert!(matches!(answer.status, 502 | 503), "{begin:?}: {answer:?}");
        assert!(written.load(Ordering::SeqCst) > 0, "{begin:?}");
        until(|| second.front.gateway.served_calls() == 0).await;
        for instance in [&first, &second] {
            assert_eq!(instance.front.gateway.collected_bytes(), 0, "{begin:?}");
            assert_eq!(instance.front.gateway.received_bytes(), 0, "{begin:?}");
        }
    }
}

/// Guards against a key that reaches an upstream because the instance that received the request does not know the
/// accounts yet. The one that forwards the call does.
#[tokio::test]
async fn verify_a_forwarder_that_knows_the_accounts_sends_no_key() {
    let upstream = Upstream::always(vec![signed("200 OK", "answer")]).await;
    let make_config = || config_of_version(1, Repeats::AtMostOnce, 2, false);
    let listed = entry("u", upstream.address.port());
    let (first, second, _cut) = cut_and_sound(&make_config, listed, How::Refused).await;
    second.front.gateway.adopt_config(config_with_keys(2, &["good-key"]));

    let key = "Authorization: Bearer good-key\r\n";
    let refused = first.front.post("r1", key, "body").await;
    let foreign = "Authorization: Bearer foreign-key\r\n";
    let served = first.front.post("r2", foreign, "body").await;

    assert_eq!((refused.status, served.status), (503, 200), "{refused:?} {served:?}");
    let received = upstream.received();
    let credentials: Vec<_> = received.iter().map(|one| one.header("authorization")).collect();
    assert_eq!(credentials, [Some("Bearer foreign-key")]);
}

/// Guards against an engine that has restarted and gets no work, because the gateway's own calls to it were refused
/// while it was down and closed it again each time.
#[tokio::test]
async fn verify_own_calls_extend_no_closed_time() {
    const SLACK: Millis = Millis(150);
    let gone = cut(How::Refused).await;
    let make_config = || with_long_timeouts(&config(RESUMABLE, 2, true));
    let listed = Entry { role: Some(Role::Prefill), ..at(entry("e", 1), &gone) };
    let generator = Upstream::always(stream(1, 3)).await;
    let entries = || vec![listed.clone(), engine("g", &generator, Role::Decode)];
    let first = instance(1, &make_config, entries(), true).await;
    let second = instance(2, &make_config, entries(), true).await;
    for one in [&first, &second] {
        // With slow start each refusal within a closed time is ignored anyway.
        one.front.gateway.set_policy(Policy { slow_start: false, ..Policy::default() });
    }
    connect(&[&first, &second]).await;
    let closed_until = || {
        let view = first.front.gateway.fleet().view();
        view.get("e").expect("it is listed").state.slow_start().closed_until(Millis::ZERO)
    };
    first.front.post("r1", PROMPT, "body").await;
    until(|| closed_until().is_some()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = closed_until().expect("it was closed");

    seed_caches(first.front.gateway.clone(), SystemClock::new()).await;

    let after = closed_until().expect("it was closed");
    assert!(after <= before + SLACK, "closed until {before:?}, then {after:?}");
}
