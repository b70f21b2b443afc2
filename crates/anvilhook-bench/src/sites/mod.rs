//! Runs a small site on the loopback interface: stand-ins of the platform, the engines and the
//! plain services, and the resources that declare them.

mod declarations;
mod resources;

use std::net::SocketAddr;
use std::path::Path;

use anvilhook_core::units::{Millis, SystemClock};
use anvilhook_daemon::instances::{Instance, InstanceHandle, Parts};
use anvilhook_daemon::settings::{self, RoleSettings, Settings};
use anvilhook_standin::engines::{EngineOptions, EngineServer, EngineServerOptions};
use anvilhook_standin::faults::FrontOptions;
use anvilhook_standin::plain::{PlainServer, PlainServerOptions, RunLedger};
use anvilhook_standin::platform::{LocalPlatform, Pacing, PlatformOptions, PlatformServer};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use declarations::{declare, redeclare};
pub use resources::{
    ALERT_SERVICE, Bounds, CALL_PATH, CHAT_SERVICE, Declared, ECHO_PATH, LEDGER_SERVICE, MODEL,
    OPERATOR_TOKEN, TOKEN, engine_name, model_ref, name, plain_name, pool, pool_with, resources,
    token_digest, zone,
};

/// A loopback address whose port the kernel chooses.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// `SiteOptions` holds the parameters of a site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// The number of engines.
    pub engines: usize,
    /// The options of each engine.
    pub engine: EngineOptions,
    /// The number of upstreams of the plain services.
    pub plain: usize,
    /// Further upstreams of the plain services, which the site does not start.
    pub other_plain: Vec<SocketAddr>,
    /// The delay until the instance list shows a change.
    pub list_lag: Millis,
    /// The time limits of the services.
    pub bounds: Bounds,
    /// Whether the stand-ins track their connections, so that these can be made to fail.
    pub holds_connections: bool,
    /// The instances' settings for role planning, which apply to pools with automatic roles.
    pub roles: RoleSettings,
    /// The seed of all random choices.
    pub seed: u64,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            engines: 2,
            engine: EngineOptions::default().faster(10.0),
            plain: 3,
            other_plain: Vec::new(),
            list_lag: Millis(200),
            bounds: Bounds::default(),
            holds_connections: true,
            roles: RoleSettings::default(),
            seed: 1,
        }
    }
}

/// `Site` holds the running stand-ins of a site, without instances.
#[derive(Debug)]
pub struct Site {
    /// The platform's services, called within the process.
    pub platform: LocalPlatform<SystemClock>,
    /// The engines, in the order of their names.
    pub engines: Vec<EngineServer>,
    /// The upstreams of the plain services, in the order of their names.
    pub plain: Vec<PlainServer>,
    /// The runs of all upstreams of the plain services.
    pub ledger: RunLedger,
    /// The clock of all stand-ins.
    pub clock: SystemClock,
    roles: RoleSettings,
    platform_server: PlatformServer,
}

impl Site {
    /// Starts the stand-ins and declares them.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a resource cannot be declared.
    pub async fn start(options: &SiteOptions) -> eyre::Result<Self> {
        let clock = SystemClock::new();
        let platform_options =
            PlatformOptions { list_lag: options.list_lag, pacing: Pacing::Timed };
        let platform = LocalPlatform::new(clock, platform_options);
        let platform_server = PlatformServer::start(ANY_PORT, platform.clone()).await?;
        let front = FrontOptions {
            holds_connections: options.holds_connections,
            ..FrontOptions::default()
        };

        let mut engines = Vec::new();
        for index in 0..options.engines {
            let engine = EngineOptions { seed: index as u64, ..options.engine.clone() };
            let opts = EngineServerOptions { front, engine, clock, ..Default::default() };
            engines.push(EngineServer::start(opts).await?);
        }

        let ledger = RunLedger::default();
        let mut plain = Vec::new();
        for _ in 0..options.plain {
            let ledger = ledger.clone();
            let opts = PlainServerOptions { front, ledger, clock, ..Default::default() };
            plain.push(PlainServer::start(opts).await?);
        }

        let engine_addresses: Vec<SocketAddr> = engines.iter().map(EngineServer::address).collect();
        let mut plain_addresses: Vec<SocketAddr> = plain.iter().map(PlainServer::address).collect();
        plain_addresses.extend(&options.other_plain);
        let declared = resources(&engine_addresses, &plain_addresses, &options.bounds);
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        declare(platform.clone(), declared, &mut rng).await?;
        Ok(Self { platform, engines, plain, ledger, clock, roles: options.roles, platform_server })
    }

    /// Returns the address on which the platform listens.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_server.address()
    }

    /// Returns the text of a settings file for the instance with the given number.
    pub fn settings_text(&self, index: usize) -> String {
        let platform = self.platform_address();
        let zone = zone(index);
        let digest = token_digest(OPERATOR_TOKEN);
        format!(
            "instance: {{name_prefix: entry-{index}, zone: {zone}}}\n\
             listen: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}}\n\
             platform: {{address: '{platform}'}}\n\
             operators: [{{subject: operator, token_sha256: {digest}, rights: operator}}]\n\
             logging: {{level: error}}\n\
             polling: {{configuration_ms: 100, reports_ms: 100, instance_list_ms: 100}}\n\
             peers: {{key: key-of-the-demonstration-on-loopback}}\n"
        )
    }

    /// Returns the settings of the instance with the given number.
    ///
    /// # Errors
    ///
    /// Returns a `SettingsError` if the text of [`Site::settings_text`] is invalid.
    pub fn settings(&self, index: usize) -> Result<Settings, settings::SettingsError> {
        let text = self.settings_text(index);
        let settings = settings::parse(Path::new("site.yaml"), &text)?;
        Ok(Settings { roles: self.roles, ..settings })
    }

    /// Starts an instance within the process and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot be started.
    pub async fn start_instance(
        &self,
        index: usize,
        seed: u64,
    ) -> eyre::Result<InstanceHandle<SystemClock>> {
        let instance = Instance::start(self.settings(index)?, Parts::seeded(seed)).await?;
        instance.ready().await;
        Ok(instance)
    }
}
