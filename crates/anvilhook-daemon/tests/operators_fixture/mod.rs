//! An operator API on a loopback socket, with the in-process platform behind it.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;

use anvilhook_api::{ApiClient, ApiClientOptions, PutBody};
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::{InstanceName, ResourceName, SubjectName};
use anvilhook_core::resources::{Kind, ResourceKey};
use anvilhook_core::units::{ManualClock, Millis, Revision, WallTime};
use anvilhook_daemon::operators::{
    Credentials, LeaseRows, OperatorApi, OperatorOptions, OperatorParts, router,
};
use anvilhook_daemon::settings::{OperatorRights, OperatorSettings};
use anvilhook_http::{Phase, Shutdown, serve};
use anvilhook_standin::platform::{LocalPlatform, PlatformOptions};
use anvilhook_store::{
    ArchiveOptions, AuditArchive, ConfigurationFollower, ConfigurationStore, StoreOptions,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;

pub type Platform = LocalPlatform<ManualClock>;

/// The token of the operator `eleni`, who may change resources.
pub const OPERATOR: &str = "operator-token";
/// The token of the operator `kostas`, who may only read.
pub const READER: &str = "reader-token";
/// The key prefix of the pools' rows.
pub const LEASE_PREFIX: &str = "pools/";

/// `Api` is a running operator API. Dropping it stops the server.
pub struct Api {
    pub address: SocketAddr,
    pub platform: Platform,
    pub follower: ConfigurationFollower<Platform>,
    pub archive: AuditArchive<Platform, Platform>,
    pub shutdown: Shutdown,
}

impl Drop for Api {
    fn drop(&mut self) {
        self.shutdown.advance(Phase::Closed);
    }
}

impl Api {
    pub async fn start() -> Self {
        Self::start_with(OperatorOptions::default()).await
    }

    pub async fn start_with(options: OperatorOptions) -> Self {
        let platform = LocalPlatform::new(ManualClock::new(), PlatformOptions::default());
        Self::start_on(platform, options).await
    }

    /// Starts another instance on the same platform.
    pub async fn start_beside(other: &Api) -> Self {
        Self::start_on(other.platform.clone(), OperatorOptions::default()).await
    }

    async fn start_on(platform: Platform, options: OperatorOptions) -> Self {
        let name = InstanceName::try_new("entry-1").unwrap();
        let store = ConfigurationStore::new(platform.clone(), StoreOptions::new(name));
        let follower = ConfigurationFollower::new(store.clone());
        let archive_options =
            ArchiveOptions { older_than: Millis(0), keep_entries: 2, segment_entries: 3 };
        let archive = AuditArchive::new(store, platform.clone(), archive_options);
        let shutdown = Shutdown::new();
        let parts = OperatorParts {
            follower: follower.clone(),
            archive: archive.clone(),
            leases: LeaseRows::new(platform.clone(), LEASE_PREFIX),
            credentials: credentials(),
            shutdown: shutdown.clone(),
            rng: ChaCha8Rng::seed_from_u64(1),
            wall_clock: || WallTime(1_000),
            options,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, router(OperatorApi::new(parts)), shutdown.clone()));
        Self { address, platform, follower, archive, shutdown }
    }

    pub fn client(&self, token: &str) -> ApiClient {
        ApiClient::try_new(self.address, Some(token), ApiClientOptions::default()).unwrap()
    }

    /// Declares an account with the token of the operator who may change resources.
    pub async fn declare(&self, name: &str, requests_per_s: u32, version: u64) -> Revision {
        let body = put_body(account(requests_per_s), version);
        let id = ChangeId(u128::from(self.follower.revision().0) + 1);
        self.client(OPERATOR).put(&key(name), &body, id).await.unwrap().revision
    }
}

fn credentials() -> Credentials {
    let operator = |subject: &str, token: &str, rights| OperatorSettings {
        subject: SubjectName::try_new(subject).unwrap(),
        token_sha256: Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect(),
        rights,
    };
    Credentials::try_new(&[
        operator("eleni", OPERATOR, OperatorRights::Operator),
        operator("kostas", READER, OperatorRights::Reader),
    ])
    .unwrap()
}

pub fn key(name: &str) -> ResourceKey {
    ResourceKey { kind: Kind::Account, name: ResourceName::try_new(name).unwrap() }
}

pub fn account(requests_per_s: u32) -> Value {
    json!({"token_sha256": [], "requests_per_s": requests_per_s, "open_requests": 1})
}

pub fn put_body(spec: Value, version: u64) -> PutBody {
    PutBody { kind: None, name: None, version: Some(Revision(version)), spec, status: None }
}
