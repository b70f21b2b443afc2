//! Several daemon processes of one site. Each has its own connection to the platform, so that faults
//! can be injected for one instance alone.

use std::time::Duration;

use anvilhook_api::{ApiClient, ApiClientOptions, LeaseAnswer, PutBody};
use anvilhook_bench::callers::{Caller, ChatCall, Outcome};
use anvilhook_bench::sites::{
    ANY_PORT, Declared, OPERATOR_TOKEN, Site, SiteOptions, name, pool, redeclare,
};
use anvilhook_core::names::InstanceName;
use anvilhook_core::orders::{ModelRef, Order, OrderReply, Stamp};
use anvilhook_core::resources::{ModelVersionSpec, Resource, Spec};
use anvilhook_core::units::{Millis, Revision, SystemClock, Tokens};
use anvilhook_platform::{ListedInstance, ListedState};
use anvilhook_standin::engines::{EngineServer, OrderRecord, expected_output};
use anvilhook_standin::platform::{LocalPlatform, PlatformServer};
use http::StatusCode;

use crate::processes::DaemonProcess;

/// The lease length in these tests: short, but long enough for a slow machine.
pub const LEASE: Millis = Millis(3_000);
const GUARD: Millis = Millis(1_000);

/// The time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time after which a wait fails the test. No other conclusion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(90);

/// Waits until a condition holds, and fails the test after `TEST_TIMEOUT`. `what` names the condition.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !holds().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(
        tokio::time::timeout(TEST_TIMEOUT, polling).await.is_ok(),
        "timed out waiting until {what}"
    );
}

/// `Member` is one instance with its own connection to the platform.
pub struct Member {
    /// The process.
    pub daemon: DaemonProcess,
    /// Its access to the platform, in which faults can be injected for this instance alone.
    pub platform: LocalPlatform<SystemClock>,
    /// A client of its operator API.
    pub api: ApiClient,
    _server: PlatformServer,
}

impl Member {
    /// Returns the name of the running instance.
    pub fn name(&self) -> &InstanceName {
        &self.daemon.announcement().instance
    }

    /// Waits until the instance reports that it is ready.
    pub async fn ready(&self) {
        until("the instance is ready", async || {
            self.daemon.probe("/readyz").await.0 == StatusCode::OK
        })
        .await;
    }

    /// Returns the lease of the only pool, as this instance reads it from the table.
    pub async fn lease(&self) -> Option<LeaseAnswer> {
        self.api.status().await.ok()?.leases.into_iter().next()
    }

    /// Returns the revision that this instance has applied, or nothing if it does not answer.
    pub async fn in_force(&self) -> Option<Revision> {
        Some(self.api.status().await.ok()?.in_force)
    }

    /// Returns its entry for the platform's instance list, with the given state.
    pub fn list_entry(&self, state: ListedState) -> ListedInstance {
        let announced = self.daemon.announcement();
        ListedInstance {
            name: name(announced.instance.as_str()),
            address: announced.addresses.peers,
            zone: announced.zone.clone(),
            state,
        }
    }
}

/// `Fleet` is a site with the instances that serve it.
pub struct Fleet {
    /// The stand-ins of the engines, plain upstreams and platform.
    pub site: Site,
    /// The instances.
    pub members: Vec<Member>,
    /// A caller for the test's requests.
    pub caller: Caller,
    test: &'static str,
}

impl Fleet {
    /// Starts a site and two instances, and waits until they know each other and one holds the pool.
    pub async fn start(test: &'static str, options: &SiteOptions) -> Self {
        let site = Site::start(options).await.expect("the site starts");
        let caller = Caller::try_new().expect("a caller");
        let mut fleet = Self { site, members: Vec::new(), caller, test };
        for index in 0..2 {
            let member = fleet.spawn(index).await;
            fleet.members.push(member);
        }
        for member in &fleet.members {
            member.ready().await;
            until("both instances are announced and the pool is held", async || {
                let Ok(status) = member.api.status().await else { return false };
                let is_held = status.leases.iter().any(|lease| lease.holder.is_some());
                is_held && status.instances.len() == 2
            })
            .await;
        }
        fleet
    }

    /// Starts the process of an instance without waiting for its readiness.
    pub async fn spawn(&self, index: usize) -> Member {
        let platform = self.site.platform.for_caller(&format!("entry-{index}"));
        let server = PlatformServer::start(ANY_PORT, platform.clone()).await.expect("a platform");
        let shared = self.site.platform_address().to_string();
        let text = self.site.settings_text(index).replace(&shared, &server.address().to_string());
        let leases = format!(
            "leases: {{length_ms: {LEASE}, guard_ms: {GUARD}}}\n",
            LEASE = LEASE.0,
            GUARD = GUARD.0
        );
        let daemon = DaemonProcess::spawn(&(text + &leases), &format!("{}-{index}", self.test));
        let operators = daemon.announcement().addresses.operators;
        let options = ApiClientOptions { timeout: Millis::from_secs(5), ..Default::default() };
        let api = ApiClient::try_new(operators, Some(OPERATOR_TOKEN), options).expect("a client");
        Member { daemon, platform, api, _server: server }
    }

    /// Returns the index of the instance that holds the pool.
    pub async fn holder(&self) -> usize {
        let lease = self.members[0].lease().await.expect("the lease can be read");
        let holder = lease.holder.expect("the pool is held");
        let is_holder = |member: &Member| *member.name() == holder;
        self.members.iter().position(is_holder).expect("an instance holds the pool")
    }

    /// Declares that all engines should serve a version of the model.
    pub async fn want_version(&self, version: u64) {
        let weights = ModelVersionSpec {
            model: model(version),
            weights: format!("weights/standin/{version}"),
            weight_bytes: 16_000_000_000,
            kv_bytes_per_token: 131_072,
        };
        let weights: Declared = (name(&format!("standin-{version}")), Spec::ModelVersion(weights));
        let resources = vec![weights, pool(model(version))];
        redeclare(&self.site.platform, resources).await.expect("the version is declared");
    }

    /// Waits until every engine has loaded a version.
    pub async fn version_loaded(&self, version: u64) {
        let has_loaded = |engine: &EngineServer| {
            let orders = engine.orders();
            let is_wanted = |record: &&OrderRecord| record.order.order == load(version);
            orders.iter().filter(is_wanted).any(|record| record.end.is_some())
        };
        until(&format!("all engines have loaded version {version}"), async || {
            self.site.engines.iter().all(has_loaded)
        })
        .await;
    }

    /// Sends a chat request to an instance. Returns its outcome as an error unless the answer is complete
    /// and correct.
    pub async fn answers_chat(&self, member: &Member, prompt: &str) -> Result<(), Outcome> {
        let deadline = Millis::from_secs(20);
        let prompt = prompt.to_owned();
        let call = ChatCall { prompt, max_tokens: 8, stream: true, deadline };
        let outcome = self.caller.chat(member.daemon.callers(), &call).await;
        let expected = expected_output(&call.messages(), Tokens(call.max_tokens));
        match outcome.answer() {
            Some(answer) if answer.text == expected => Ok(()),
            _ => Err(outcome),
        }
    }
}

/// Returns a version of the site's model.
pub fn model(version: u64) -> ModelRef {
    ModelRef { model: name("standin"), version }
}

/// Returns the order to load a version of the site's model.
pub fn load(version: u64) -> Order {
    Order::LoadModel { model: model(version) }
}

/// Returns the body of a change that replaces the spec of a resource.
pub fn replacing(current: &Resource, spec: &Spec) -> PutBody {
    let mut value = serde_json::to_value(spec).expect("a spec can be written");
    let spec = value["spec"].take();
    PutBody { kind: None, name: None, version: Some(current.version), spec, status: None }
}

/// Checks the log of an engine: no order arrived while another was running, none took effect after an
/// order with a later stamp, and none interrupted a request.
pub fn check_orders(engine: usize, log: &[OrderRecord], case: &str) {
    let mut last = Stamp::default();
    let mut runs_until = Millis::ZERO;
    for record in log.iter().filter(|record| !matches!(record.reply, OrderReply::Fenced { .. })) {
        let case = format!("{case}, engine {engine}");
        assert_eq!(record.reply, OrderReply::Accepted, "{case}: {record:?} was not accepted");
        assert!(record.at >= runs_until, "{case}: {record:?} arrived while another was running");
        assert!(record.order.stamp > last, "{case}: {record:?} took effect after {last:?}");
        assert!(record.cut.is_empty(), "{case}: {record:?} interrupted requests");
        last = record.order.stamp;
        runs_until = match record.end {
            Some(anvilhook_standin::engines::OrderEnd::Done { at }) => at,
            Some(anvilhook_standin::engines::OrderEnd::Interrupted { at }) => at,
            None => Millis::MAX,
        };
    }
}
