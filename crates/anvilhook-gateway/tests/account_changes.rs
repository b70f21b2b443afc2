//! Configurations that bring, change or remove client accounts while requests wait.

mod support;

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::api_keys::{AccountRegistry, ClientAccount};
use anvilhook_core::orders::Role;
use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_gateway::configs::{Config, Repeats, Route};
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::loads::Held;
use futures_util::future::join_all;
use support::fronts::{
    Answer, ample_budget, config_of_version, start, start_with_clock, start_with_connect_timeout,
    with_long_timeouts,
};
use support::until;
use support::upstreams::{Received, Step, Upstream, engine, event, signed, stream, stream_head};
use support::wires::{entry, key_hasher};
use tokio::net::TcpStream;
use tokio::sync::Notify;

const GOOD: &str = "Authorization: Bearer good-key\r\n";

/// `Accounts` is what one configuration declares of client accounts.
#[derive(Clone, Copy, Debug)]
enum Accounts {
    None,
    /// One account with one key.
    Key(&'static str, &'static str),
    /// The same, with a public route.
    Public(&'static str, &'static str),
}

use Accounts::{Key, None as NoAccounts, Public};

/// `Change` is a request whose caller presents `headers`, during which the configuration changes.
#[derive(Clone, Copy, Debug)]
struct Change {
    /// The accounts when it arrives, and those adopted while it waits.
    before: Accounts,
    after: &'static [Accounts],
    headers: &'static str,
    /// The status, and the account that the upstream receives.
    status: u16,
    account: Option<&'static str>,
}

const fn change(
    before: Accounts,
    after: &'static [Accounts],
    headers: &'static str,
    status: u16,
    account: Option<&'static str>,
) -> Change {
    Change { before, after, headers, status, account }
}

const KITCHEN: Accounts = Key("kitchen", "good-key");

const CHANGES: [Change; 15] = [
    change(NoAccounts, &[KITCHEN], GOOD, 200, Some("kitchen")),
    change(NoAccounts, &[KITCHEN], "", 401, None),
    change(NoAccounts, &[Key("kitchen", "other-key")], GOOD, 401, None),
    change(NoAccounts, &[KITCHEN], "Authorization: Basic good-key\r\n", 401, None),
    change(
        NoAccounts,
        &[KITCHEN],
        "Authorization: Bearer good-key\r\nAuthorization: Bearer good-key\r\n",
        401,
        None,
    ),
    change(NoAccounts, &[Public("kitchen", "good-key")], "", 200, None),
    change(NoAccounts, &[Public("kitchen", "good-key")], GOOD, 200, Some("kitchen")),
    change(KITCHEN, &[Key("cellar", "good-key")], GOOD, 200, Some("cellar")),
    change(KITCHEN, &[Key("kitchen", "other-key"), KITCHEN], GOOD, 200, Some("kitchen")),
    change(KITCHEN, &[NoAccounts, KITCHEN], GOOD, 200, Some("kitchen")),
    change(KITCHEN, &[NoAccounts], GOOD, 200, None),
    change(NoAccounts, &[KITCHEN, NoAccounts], GOOD, 200, None),
    change(KITCHEN, &[Key("kitchen", "other-key"), NoAccounts], GOOD, 200, None),
    change(Public("kitchen", "good-key"), &[KITCHEN], "", 401, None),
    change(KITCHEN, &[Public("kitchen", "other-key")], GOOD, 200, None),
];

/// Returns a configuration with one route, which declares `accounts`.
fn config(version: u64, repeats: Repeats, accounts: Accounts) -> Config {
    let is_engine = matches!(repeats, Repeats::Stream { .. });
    let config = with_long_timeouts(&config_of_version(version, repeats, 2, is_engine));
    let (name, key, is_public) = match accounts {
        NoAccounts => return config,
        Key(name, key) => (name, key, false),
        Public(name, key) => (name, key, true),
    };
    let mut registry = AccountRegistry::new(key_hasher());
    let account = ClientAccount { name: Arc::from(name), priority: None };
    registry.try_add(account, [key]).expect("valid keys");
    let route = config.route("host.example", "/a/").expect("the route of the tests");
    let route = Route { is_public, ..Route::clone(route) };
    let services = config.services().cloned().collect();
    Config::new(config.version, config.limits, services, vec![route]).with_accounts(registry)
}

/// `Played` is what came of a request.
struct Played {
    answer: Answer,
    /// The requests that reached the two upstreams.
    received: [Option<Received>; 2],
    /// The accounts for which it was counted.
    counted: Vec<Arc<str>>,
}

impl Played {
    /// Returns the account that an upstream received.
    fn account_at(&self, upstream: usize) -> Option<&str> {
        self.received[upstream].as_ref().and_then(|one| one.header("t-account"))
    }
}

/// Sends a request to the first upstream, adopts the changes while it runs there, after the steps `begun`, and lets it end
/// by `steps`.
async fn play(
    change: &Change,
    repeats: Repeats,
    roles: [Option<Role>; 2],
    begun: Vec<Step>,
    steps: [Vec<Step>; 2],
) -> Played {
    let [first, second] = steps;
    let is_changed = Arc::new(Notify::new());
    let awaiting = Step::Await(Arc::clone(&is_changed));
    let first = begun.into_iter().chain([awaiting]).chain(first);
    let first = Upstream::always(first.collect()).await;
    let second = Upstream::always(second).await;
    let near = Entry { role: roles[0], ..entry("first", first.address.port()) };
    let far =
        Entry { role: roles[1], zone: "zone-b".into(), ..entry("second", second.address.port()) };
    let initial = config(1, repeats, change.before);
    let front = start(Some(initial), vec![near, far], ample_budget()).await;

    let headers = format!("{}T-Tokens: 400\r\n", change.headers);
    let asking = front.post_with_long_deadline("r1", &headers, "body");
    let changing = async {
        support::until(|| !first.received().is_empty()).await;
        for (at, accounts) in change.after.iter().enumerate() {
            front.gateway.adopt_config(config(at as u64 * 10 + 11, repeats, *accounts));
        }
        is_changed.notify_one();
    };
    let (answer, ()) = tokio::join!(asking, changing);
    let received = [first, second]
        .map(|one| one.received().into_iter().find(|one| one.line.starts_with("POST")));
    let usage = front.gateway.usage();
    let window = usage.windows().expect("usage is counted").at(usage.time(Millis::ZERO));
    let windows = [window, window + 1].into_iter().flat_map(|window| usage.totals(window));
    let counted = windows.filter(|(_, count)| *count > 0).map(|(name, _)| name).collect();
    Played { answer, received, counted }
}

/// Checks what reached an upstream after a change.
fn check(change: &Change, status: u16, received: Option<Received>) {
    assert_eq!(status, change.status, "{change:?}: {received:?}");
    assert_eq!(received.is_some(), status == 200, "{change:?}");
    let Some(received) = received else { return };
    assert_eq!(received.header("t-account"), change.account, "{change:?}");
    let has_key = received.headers.iter().any(|line| line.contains("good-key"));
    assert!(!has_key, "{change:?}: {received:?}");
}

/// Guards against a valid key that is refused because the configuration had no accounts when the request arrived, against
/// an unknown or withdrawn key that is served, and against usage of another account than the upstream received. The
/// request is between two attempts.
#[tokio::test]
async fn verify_keys_are_judged_by_the_accounts_of_the_next_attempt() {
    for change in &CHANGES {
        let steps = [vec![Step::Close], vec![signed("200 OK", "well")]];
        let played = play(change, Repeats::Idempotent, [None, None], vec![], steps).await;

        // A request whose connection is closed may have run.
        let expected = played.account_at(0).or(played.account_at(1));
        let counted: Vec<_> = played.counted.iter().map(|name| &**name).collect();
        assert_eq!(counted, Vec::from_iter(expected), "{change:?}");
        let [_, second] = played.received;
        check(change, played.answer.status, second);
    }
}

/// Guards against the same faults while an engine reads the prompt of a request.
#[tokio::test]
async fn verify_keys_are_judged_by_the_accounts_when_output_begins() {
    let roles = [Some(Role::Prefill), Some(Role::Decode)];
    for change in &CHANGES {
        let steps = [vec![signed("200 OK", "handle h1")], stream(1, 2)];
        let repeats = Repeats::Stream { resumable: true };
        let played = play(change, repeats, roles, vec![], steps).await;

        // Reading a prompt is not counted.
        let expected = played.account_at(1);
        let counted: Vec<_> = played.counted.iter().map(|name| &**name).collect();
        assert_eq!(counted, Vec::from_iter(expected), "{change:?}");
        let [_, second] = played.received;
        check(change, played.answer.status, second);
    }
}

/// Guards against the same faults when a stream breaks and goes on at another engine.
#[tokio::test]
async fn verify_keys_are_judged_by_the_accounts_when_a_stream_goes_on() {
    let roles = [Some(Role::Decode), Some(Role::Decode)];
    for change in &CHANGES {
        let begun = vec![stream_head(), event(1), event(2)];
        let steps = [vec![Step::Close], stream(3, 4)];
        let repeats = Repeats::Stream { resumable: true };
        let played = play(change, repeats, roles, begun, steps).await;

        let goes_on = change.status == 200;
        let events: &[u64] = if goes_on { &[1, 2, 3, 4] } else { &[1, 2] };
        assert_eq!(played.answer.events(), events, "{change:?}");
        assert_eq!(played.answer.is_complete(), goes_on, "{change:?}");
        let [_, second] = played.received;
        check(change, change.status, second);
    }
}

/// Sends a request, adopts the changes while its connection is being opened, and returns the status and the request that
/// reached the upstream.
async fn play_on_new_connection(change: &Change) -> (u16, Option<Received>) {
    const CONNECT_TIMEOUT: Millis = Millis::from_secs(20);
    const CHANGE_DELAY: Duration = Duration::from_millis(100);
    let accepts = Arc::new(Notify::new());
    let steps = vec![signed("200 OK", "well")];
    let upstream = Upstream::accepting_later(steps, Arc::clone(&accepts)).await;
    let first = TcpStream::connect(upstream.address).await.expect("the first one is accepted");
    let entries = vec![entry("first", upstream.address.port())];
    let initial = config(1, Repeats::AtMostOnce, change.before);
    let front = start_with_connect_timeout(CONNECT_TIMEOUT, Some(initial), entries).await;

    let asking = front.post_with_long_deadline("r1", change.headers, "body");
    let changing = async {
        until(|| front.gateway.in_flight() > 0).await;
        tokio::time::sleep(CHANGE_DELAY).await;
        for (at, accounts) in change.after.iter().enumerate() {
            let config = config(at as u64 * 10 + 11, Repeats::AtMostOnce, *accounts);
            front.gateway.adopt_config(config);
        }
        drop(first);
        accepts.notify_one();
    };
    let (answer, ()) = tokio::join!(asking, changing);
    let received = upstream.received().into_iter().find(|one| one.line.starts_with("POST"));
    (answer.status, received)
}

/// Guards against the same faults, and against a key that reaches an upstream, while the connection for the request is
/// being opened.
#[tokio::test]
async fn verify_keys_are_judged_by_the_accounts_when_the_connection_opens() {
    let played = join_all(CHANGES.iter().map(play_on_new_connection)).await;

    for (change, (status, received)) in CHANGES.iter().zip(played) {
        check(change, status, received);
    }
}

/// Guards against a key that reaches an upstream because the configuration has no accounts any more. Credentials that
/// have never been a key are the upstream's own.
#[tokio::test]
async fn verify_former_keys_are_not_forwarded() {
    let upstream = Upstream::always(vec![signed("200 OK", "well")]).await;
    let entries = vec![entry("first", upstream.address.port())];
    let initial = config(1, Repeats::Idempotent, KITCHEN);
    let front = start(Some(initial), entries, ample_budget()).await;
    let withdrawn = Key("kitchen", "other-key");
    front.gateway.adopt_config(config(2, Repeats::Idempotent, withdrawn));
    front.gateway.adopt_config(config(3, Repeats::Idempotent, NoAccounts));

    let cases = [
        ("Bearer good-key", None),
        ("Bearer other-key", None),
        ("Bearer foreign-key", Some("Bearer foreign-key")),
        ("Basic good-key", Some("Basic good-key")),
    ];
    for (at, (credentials, forwarded)) in cases.into_iter().enumerate() {
        let headers = format!("Authorization: {credentials}\r\n");
        let answer = front.post(&format!("r{at}"), &headers, "").await;

        assert_eq!(answer.status, 200, "{credentials}");
        let received = &upstream.received()[at];
        assert_eq!(received.header("authorization"), forwarded, "{credentials}");
    }
}

/// The changes over which a caller with the key `good-key` remains the same.
const SAME_CALLER: [(Accounts, Accounts); 3] =
    [(NoAccounts, KITCHEN), (KITCHEN, NoAccounts), (NoAccounts, Public("kitchen", "good-key"))];

/// Guards against a stream that its caller can't continue because the configuration has brought in accounts, or has none
/// any more. Another account's caller can't continue it.
#[tokio::test]
async fn verify_a_stream_is_continued_over_a_change_of_accounts() {
    let others = [(KITCHEN, Key("cellar", "good-key"))];
    let cases =
        SAME_CALLER.iter().map(|case| (case, 200)).chain(others.iter().map(|case| (case, 503)));
    for ((before, after), status) in cases {
        let case = format!("{before:?}, {after:?}");
        let repeats = Repeats::Stream { resumable: true };
        let upstream = Upstream::start(|received| match received.header("last-event-id") {
            Some(_) => stream(3, 4),
            None => vec![stream_head(), event(1), event(2), Step::Hang],
        })
        .await;
        let entries = vec![engine("first", &upstream, Role::Decode)];
        let front = start(Some(config(1, repeats, *before)), entries, ample_budget()).await;
        let prompt = format!("{GOOD}T-Tokens: 400\r\n");
        let mut begun = front.open("r1", &prompt, "body").await;
        begun.receive_until("id: 2\n").await;
        front.gateway.adopt_config(config(2, repeats, *after));
        drop(begun);

        let headers = format!("{prompt}T-Resumes: r1\r\nLast-Event-Id: 2\r\n");
        let answer = front.post_with_long_deadline("r2", &headers, "body").await;

        let events = if status == 200 { vec![3, 4] } else { Vec::new() };
        assert_eq!((answer.status, answer.events()), (status, events), "{case}: {answer:?}");
    }
}

/// Guards against a request that terminates engine after engine, and is taken for another one once the accounts have
/// changed.
#[tokio::test]
async fn verify_engine_ends_count_over_a_change_of_accounts() {
    for (before, after) in SAME_CALLER {
        let mut engines = Vec::new();
        for _ in 0..6 {
            engines.push(Upstream::always(vec![stream_head(), event(1), Step::Terminate]).await);
        }
        let listed = engines.iter().enumerate();
        let listed = listed.map(|(at, one)| engine(&format!("e{at}"), one, Role::Decode)).collect();
        let repeats = Repeats::Stream { resumable: false };
        let front = start(Some(config(1, repeats, before)), listed, ample_budget()).await;
        let prompt = format!("{GOOD}T-Tokens: 400\r\n");
        let ends = || {
            let suspects = front.gateway.suspects().list(Millis::ZERO);
            let requests = suspects.iter().filter(|(request, ..)| !request.is_part());
            requests.map(|(_, _, ends)| ends.len()).collect::<Vec<_>>()
        };
        for count in 1..=3 {
            if count == 3 {
                front.gateway.adopt_config(config(2, repeats, after));
            }
            front.post(&format!("r{count}"), &prompt, "body").await;
            until(|| ends() == [count]).await;
        }

        let answer = front.post("r4", &prompt, "body").await;

        assert_eq!((answer.status, answer.body.as_str()), (400, "quarantined"), "{before:?}");
    }
}

/// Guards against a request that waits in line for a busy engine although its key has been withdrawn.
#[tokio::test]
async fn verify_a_waiting_request_whose_key_is_withdrawn_is_refused_at_once() {
    const WAITING: &str = "waiting_requests{service=\"service\",stage=\"read\"} 1\n";
    let repeats = Repeats::Stream { resumable: false };
    let reader = Upstream::always(vec![signed("200 OK", "handle h1")]).await;
    let generator = Upstream::always(stream(1, 2)).await;
    let engines = vec![engine("r", &reader, Role::Prefill), engine("g", &generator, Role::Decode)];
    let config = |version, accounts| {
        let config = config(version, repeats, accounts);
        let route = config.route("host.example", "/a/").expect("the route of the tests");
        let route = Route {
            objective: Millis(200),
            patience: Millis::from_secs(60),
            ..Route::clone(route)
        };
        let services = config.services().cloned().collect();
        let accounts = config.accounts().expect("there are accounts").clone();
        Config::new(version, config.limits, services, vec![route]).with_accounts(accounts)
    };
    // The clock stands, so that the engines remain as busy as they are.
    let initial = Some(config(1, KITCHEN));
    let front = start_with_clock(ManualClock::new(), initial, engines, ample_budget()).await;
    let view = front.gateway.fleet().view();
    let _busy = [("r", 500.0), ("g", 20_000.0)]
        .map(|(id, ms)| Held::with_work(Arc::clone(view.get(id).expect("it is listed")), ms, 0.0));

    let prompt = format!("{GOOD}T-Tokens: 20000\r\nT-First-Part: 11\r\n");
    let asking = front.post_with_long_deadline("r1", &prompt, "body");
    let withdrawing = async {
        until(|| front.gateway.metrics_text().contains(WAITING)).await;
        front.gateway.adopt_config(config(2, Key("kitchen", "other-key")));
    };
    let both = async { tokio::join!(asking, withdrawing) };
    let answered = tokio::time::timeout(Duration::from_secs(10), both).await;

    let (answer, ()) = answered.expect("it is answered while the engines are busy");
    assert_eq!(answer.status, 401, "{answer:?}");
    assert!(reader.received().is_empty());
}
