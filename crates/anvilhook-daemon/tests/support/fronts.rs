//! The front of an instance on a real socket, and a caller of it.

use std::net::SocketAddr;

use anvilhook_core::orders::Role;
use anvilhook_core::resources::{
    AccountSpec, CallSpec, Configuration, EngineSpec, Fencing, PlainUpstream, Resource,
    ServiceBackend, ServiceSpec, Spec,
};
use anvilhook_core::units::{Millis, Revision, SystemClock};
use anvilhook_daemon::front::{Front, FrontMetrics, FrontOptions, FrontParts, VERDICT_HEADER};
use anvilhook_daemon::proxy::Claims;
use anvilhook_engine::HttpUpstreams;
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::collect_body;
use anvilhook_http::{ClientOptions, HttpClient, Shutdown};
use http::{HeaderMap, Request, StatusCode};
use prometheus_client::registry::Registry;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use volo_http::body::Body;
use volo_http::client::sse::SseReader;

/// The token of the only account.
pub const TOKEN: &str = "a-token-of-the-test";

/// The time after which a test fails with a message instead of hanging.
pub const TEST_TIMEOUT: Millis = Millis(20_000);

/// `FrontUnderTest` is a running front.
pub struct FrontUnderTest<K> {
    /// The front.
    pub front: Front<SystemClock, HttpUpstreams, K>,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its shutdown phase.
    pub shutdown: Shutdown,
    /// Its metrics.
    pub registry: Registry,
    client: HttpClient,
}

/// `Answer` is the answer that a caller received.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: String,
}

impl Answer {
    /// Returns the value of the verdict header, or "answered" if there is none.
    pub fn outcome(&self) -> String {
        let verdict = self.headers.get(VERDICT_HEADER).map(|value| value.to_str().expect("text"));
        verdict.unwrap_or("answered").to_owned()
    }
}

/// Returns a service with limits for tests. Its time limits are long, so that no answer counts as
/// late because the machine is busy.
pub fn service(backend: ServiceBackend) -> ServiceSpec {
    ServiceSpec {
        backend,
        deadline_ms: Millis(TEST_TIMEOUT.0 * 3 / 4),
        first_byte_ms: Millis(TEST_TIMEOUT.0 / 2),
        between_events_ms: Millis(TEST_TIMEOUT.0 / 2),
        priority: 1,
        max_body_bytes: 10_000,
        max_answer_bytes: 10_000,
    }
}

/// Returns a configuration with a service `ledger` of plain upstreams and a service `verdicts` of
/// engines with model `m`, both at the given addresses. `account` is the limit on requests per second
/// and on open requests.
pub fn configuration(
    addresses: &[SocketAddr],
    edit: impl Fn(&mut ServiceSpec),
    account: (u32, u32),
) -> Configuration {
    let name = |text: &str| text.parse().expect("a name");
    let zone = || "za".parse().expect("a zone");
    let call = |method: &str, path: &str, idempotent| CallSpec {
        method: method.to_owned(),
        path_prefix: path.to_owned(),
        idempotent,
    };
    let upstreams = addresses.iter().enumerate().map(|(i, address)| PlainUpstream {
        name: format!("p{i}").parse().expect("a name"),
        address: *address,
        zone: zone(),
    });
    let plain = ServiceBackend::Plain {
        upstreams: upstreams.collect(),
        calls: vec![call("POST", "/records", false), call("PUT", "/records", true)],
    };
    let model = ServiceBackend::Model {
        pool: "pool".parse().expect("a pool"),
        model: "m".parse().expect("a model"),
    };
    let engines = addresses.iter().enumerate().map(|(i, address)| {
        let engine = EngineSpec {
            pool: "pool".parse().expect("a pool"),
            address: *address,
            zone: zone(),
            fencing: Fencing::Checks,
            role: Role::Mixed,
        };
        (format!("e{i}"), Spec::Engine(engine))
    });
    let digest: String = Sha256::digest(TOKEN).iter().map(|byte| format!("{byte:02x}")).collect();
    let account = AccountSpec {
        token_sha256: vec![digest],
        requests_per_s: account.0,
        open_requests: account.1,
    };
    let mut services = [service(plain), service(model)];
    services.iter_mut().for_each(edit);
    let [plain, model] = services;
    let fixed = [
        ("caller".to_owned(), Spec::Account(account)),
        ("ledger".to_owned(), Spec::Service(plain)),
        ("verdicts".to_owned(), Spec::Service(model)),
    ];
    let resources = fixed.into_iter().chain(engines).map(|(text, spec)| Resource {
        name: name(&text),
        version: Revision(1),
        spec,
        status: Vec::new(),
    });
    Configuration::new(Revision(1), resources)
}

/// Starts a front with a configuration.
pub async fn start<K: Claims>(
    cfg: &Configuration,
    options: FrontOptions,
    claims: K,
) -> FrontUnderTest<K> {
    start_seeded(cfg, options, claims, [7; 32]).await
}

/// Starts a front that draws its ids from a seed. Two instances must not share a seed.
pub async fn start_seeded<K: Claims>(
    cfg: &Configuration,
    options: FrontOptions,
    claims: K,
    seed: [u8; 32],
) -> FrontUnderTest<K> {
    let client = HttpClient::try_new(&ClientOptions::default()).expect("a client");
    let (shutdown, mut registry) = (Shutdown::new(), Registry::default());
    let front = Front::new(FrontParts {
        clock: SystemClock::new(),
        upstreams: HttpUpstreams::new(client.clone()),
        claims,
        shutdown: shutdown.clone(),
        options,
        metrics: FrontMetrics::new(&mut registry),
        seed,
    });
    front.apply(cfg, 1);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(anvilhook_http::serve(listener, front.router(), shutdown.clone()));
    FrontUnderTest { front, address, shutdown, registry, client }
}

impl<K> FrontUnderTest<K> {
    /// Sends a request with the given headers, and with the account's token unless they hold another
    /// authorization.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> http::Response<Body> {
        let mut req = Request::builder().method(method).uri(path);
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            req = req.header("authorization", format!("Bearer {TOKEN}"));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Body::from(body.to_owned())).expect("a request");
        let sending = self.client.send(self.address, req, Connection::New, TEST_TIMEOUT);
        sending.await.expect("an answer from the front")
    }

    /// Sends a request and collects the answer.
    pub async fn ask(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let (parts, body) = self.send(method, path, headers, body).await.into_parts();
        let body = collect_body(body, 1 << 20, TEST_TIMEOUT).await.expect("a whole answer");
        let body = String::from_utf8(body.to_vec()).expect("text");
        Answer { status: parts.status, headers: parts.headers, body }
    }

    /// Requests a streamed completion, and returns the numbers of its events and its outcome.
    pub async fn ask_streamed(&self, body: &str) -> (Vec<u64>, String) {
        let answer = self.send("POST", "/v1/chat/completions", &[], body).await;
        if !answer.status().is_success() {
            let verdict = answer.headers()[VERDICT_HEADER].to_str().expect("text");
            return (Vec::new(), verdict.to_owned());
        }
        let mut reader = SseReader::into_sse(answer).expect("a stream");
        let mut numbers = Vec::new();
        while let Some(event) = reader.read().await.expect("a whole stream") {
            let data = event.data.clone().unwrap_or_default();
            if event.event() == "error" {
                let body: serde_json::Value = serde_json::from_str(&data).expect("JSON");
                return (numbers, body["error"]["verdict"].as_str().expect("text").to_owned());
            }
            if data == "[DONE]" {
                return (numbers, "answered".to_owned());
            }
            numbers.push(event.id().expect("a number").parse().expect("a number"));
        }
        (numbers, "truncated".to_owned())
    }
}

/// Returns the body of a chat request.
pub fn chat_body(text: &str, stream: bool) -> String {
    format!(
        "{{\"model\":\"m\",\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}],\
         \"stream\":{stream}}}"
    )
}
