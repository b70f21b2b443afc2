//! Creates the HTTP bindings to the platform, upstreams and engines.

use anvilhook_engine::{ControlOptions, HttpEngineControl, HttpUpstreams};
use anvilhook_http::{CallError, ClientOptions, HttpClient};
use anvilhook_platform::{HttpPlatform, HttpPlatformOptions};
use rand::Rng;

use crate::settings::Settings;

/// The maximum number of idle connections to one upstream. If it were lower than the number of
/// concurrent requests, connections would be closed after a request and opened again for the next.
const MAX_IDLE: usize = 1_024;

/// `Clients` holds the bindings.
#[derive(Clone)]
pub(super) struct Clients {
    pub platform: HttpPlatform,
    pub upstreams: HttpUpstreams,
    pub control: HttpEngineControl,
}

impl Clients {
    /// Creates the bindings without connecting.
    pub fn try_new(settings: &Settings, rng: &mut impl Rng) -> Result<Self, CallError> {
        let options = HttpPlatformOptions {
            timeout: settings.platform.timeout_ms,
            ..HttpPlatformOptions::default()
        };
        let client_options =
            ClientOptions { max_idle_per_address: MAX_IDLE, ..ClientOptions::default() };
        let client = HttpClient::try_new(&client_options)?;
        Ok(Self {
            platform: HttpPlatform::try_new(settings.platform.address, &options)?,
            upstreams: HttpUpstreams::new(client.clone()),
            control: HttpEngineControl::new(client, control_options(settings), rng),
        })
    }
}

/// Returns options under which a call ends within the guard interval of a lease.
fn control_options(settings: &Settings) -> ControlOptions {
    let timeout = settings.leases.options().call_timeout();
    ControlOptions { timeout, ..ControlOptions::default() }
}
