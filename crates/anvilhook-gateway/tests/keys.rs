//! API keys of client accounts: which callers are served, and what is forwarded to upstreams.

mod support;

use std::sync::Arc;

use anvilhook_core::api_keys::{AccountRegistry, ClientAccount};
use anvilhook_gateway::configs::{Config, Repeats, Route};
use support::fronts::{
    Front, ample_budget, config_of_version, request, route, start, with_long_timeouts,
};
use support::upstreams::{Step, Upstream, signed};
use support::wires::{entry, key_hasher, limits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

const GOOD: &str = "Authorization: Bearer good-key\r\n";

/// Returns a configuration in which `keys` belong to the account `kitchen`.
fn config_with_keys(version: u64, repeats: Repeats, keys: &[&str]) -> Config {
    let mut accounts = AccountRegistry::new(key_hasher());
    let account = ClientAccount { name: Arc::from("kitchen"), priority: Some(0) };
    accounts.try_add(account, keys.iter().copied()).expect("valid keys");
    with_long_timeouts(&config_of_version(version, repeats, 2, false)).with_accounts(accounts)
}

async fn front_of(config: Config, steps: Vec<Step>) -> (Front, Upstream) {
    let upstream = Upstream::always(steps).await;
    let entries = vec![entry("first", upstream.address.port())];
    (start(Some(config), entries, ample_budget()).await, upstream)
}

fn success() -> Vec<Step> {
    vec![signed("200 OK", "well")]
}

/// Guards against service to a caller without a valid key, and against its request at an upstream.
#[tokio::test]
async fn verify_only_valid_keys_are_served() {
    let long = format!("Authorization: Bearer {}\r\n", "k".repeat(1_500));
    let cases = [
        ("", 401),
        ("Authorization: Bearer bad-key\r\n", 401),
        ("Authorization: Bearer good-key2\r\n", 401),
        ("Authorization: Bearer \r\n", 401),
        ("Authorization: good-key\r\n", 401),
        ("Authorization: Basic good-key\r\n", 401),
        ("Authorization: Bearer good-key\r\nAuthorization: Bearer good-key\r\n", 401),
        ("Authorization: Bearer good-key\r\nAuthorization: Bearer bad-key\r\n", 401),
        (long.as_str(), 401),
        (GOOD, 200),
        ("authorization: bearer good-key\r\n", 200),
    ];
    for (headers, expected) in cases {
        let (front, upstream) =
            front_of(config_with_keys(1, Repeats::Idempotent, &["good-key"]), success()).await;

        let answer = front.post("r1", headers, "body").await;

        assert_eq!(answer.status, expected, "{headers}");
        assert_eq!(upstream.received().len(), usize::from(expected == 200), "{headers}");
        assert_eq!(answer.head.contains("www-authenticate: bearer"), expected == 401, "{headers}");
    }
}

/// Guards against a key of 1 MiB that is hashed or stored.
#[tokio::test]
async fn verify_a_huge_key_is_refused_by_its_size() {
    let (front, upstream) =
        front_of(config_with_keys(1, Repeats::Idempotent, &["good-key"]), success()).await;

    let header = format!("Authorization: Bearer {}\r\n", "k".repeat(1 << 20));
    let answer = front.post("r1", &header, "body").await;

    assert!(answer.status != 200 && upstream.received().is_empty(), "{}", answer.status);
}

/// Guards against an upstream that receives a caller's key, or an account name set by the caller.
#[tokio::test]
async fn verify_upstreams_get_the_account_and_no_key() {
    let (front, upstream) =
        front_of(config_with_keys(1, Repeats::AtMostOnce, &["good-key"]), success()).await;

    front.post("r1", &format!("{GOOD}T-Account: other\r\n"), "").await;

    let received = &upstream.received()[0];
    assert_eq!(received.header("t-account"), Some("kitchen"));
    assert!(!received.headers.iter().any(|line| line.contains("good-key")), "{received:?}");
}

/// Guards against a public route that requires a key, or forwards one to an upstream.
#[tokio::test]
async fn verify_public_routes_need_no_key_and_forward_none() {
    let config = config_with_keys(1, Repeats::Idempotent, &["good-key"]);
    let accounts = config.accounts().expect("accounts").clone();
    let public = Route { is_public: true, ..route(Repeats::Idempotent, 2) };
    let services = config.services().cloned().collect();
    let public = Config::new(1, limits(), services, vec![public]).with_accounts(accounts);
    let (front, upstream) = front_of(public, success()).await;

    let cases = [("", None), (GOOD, Some("kitchen")), ("Authorization: Bearer bad\r\n", None)];
    for (at, (headers, account)) in cases.into_iter().enumerate() {
        assert_eq!(front.post(&format!("r{at}"), headers, "").await.status, 200, "{headers}");
        let received = &upstream.received()[at];
        assert_eq!(received.header("t-account"), account, "{headers}");
        assert_eq!(received.header("authorization"), None, "{headers}");
    }
}

/// Guards against the loss of credentials for an upstream where the gateway has no accounts.
#[tokio::test]
async fn verify_credentials_are_forwarded_without_accounts() {
    let config = config_of_version(1, Repeats::Idempotent, 2, false);
    let (front, upstream) = front_of(config, success()).await;

    front.post("r1", &format!("{GOOD}T-Account: other\r\n"), "").await;

    assert_eq!(upstream.received()[0].header("authorization"), Some("Bearer good-key"));
    assert_eq!(upstream.received()[0].header("t-account"), None);
}

/// Guards against service for a withdrawn key on a connection that was opened before.
#[tokio::test]
async fn verify_a_key_is_withdrawn_on_open_connections() {
    let (front, upstream) =
        front_of(config_with_keys(1, Repeats::Idempotent, &["good-key"]), success()).await;
    let mut stream = TcpStream::connect(front.address).await.expect("the front listens");
    let first = request("r1", GOOD, "").replace("Connection: close\r\n", "");
    stream.write_all(first.as_bytes()).await.expect("the front reads");
    let mut buf = [0; 1_024];
    let len = stream.read(&mut buf).await.expect("an answer");
    assert!(buf[..len].starts_with(b"HTTP/1.1 200"));

    front.gateway.adopt_config(config_with_keys(2, Repeats::Idempotent, &["new-key"]));
    stream.write_all(request("r2", GOOD, "").as_bytes()).await.expect("the front reads");
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;

    let rest = String::from_utf8_lossy(&rest).into_owned();
    assert!(rest.contains("HTTP/1.1 401"), "{rest}");
    assert_eq!(upstream.received().len(), 1);
}

/// Guards against a retry of a request whose key was withdrawn during the first attempt.
#[tokio::test]
async fn verify_a_key_is_checked_again_before_a_retry() {
    let is_withdrawn = Arc::new(Notify::new());
    let failing = Upstream::always(vec![Step::Await(Arc::clone(&is_withdrawn)), Step::Close]).await;
    let second = Upstream::always(success()).await;
    let mut far = entry("second", second.address.port());
    far.zone = "zone-b".into();
    let entries = vec![entry("first", failing.address.port()), far];
    let config = config_with_keys(1, Repeats::Idempotent, &["good-key"]);
    let front = start(Some(config), entries, ample_budget()).await;

    let asking = front.post("r1", GOOD, "");
    let withdrawing = async {
        support::until(|| !failing.received().is_empty()).await;
        front.gateway.adopt_config(config_with_keys(2, Repeats::Idempotent, &[]));
        is_withdrawn.notify_one();
    };
    let (answer, ()) = tokio::join!(asking, withdrawing);

    assert_eq!((answer.status, second.received().len()), (401, 0));
}
