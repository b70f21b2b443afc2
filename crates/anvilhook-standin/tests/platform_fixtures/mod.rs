//! Fixtures for the two bindings of the stand-in platform that the contract tests check: within the
//! process and over HTTP.

use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_platform::{HttpPlatform, HttpPlatformOptions, InstanceList, ObjectStore, Table};
use anvilhook_standin::platform::{LocalPlatform, Pacing, PlatformOptions, PlatformServer};

/// `Platform` combines all of the platform's services.
pub trait Platform: Table + ObjectStore + InstanceList {}

impl<T: Table + ObjectStore + InstanceList> Platform for T {}

/// `Fixture` is a platform and one caller's binding to it.
pub struct Fixture<P> {
    pub clock: ManualClock,
    /// The platform itself, without the caller's faults.
    pub platform: LocalPlatform<ManualClock>,
    /// The caller's view of the platform, with the caller's faults.
    pub caller: LocalPlatform<ManualClock>,
    /// The binding under test.
    pub subject: P,
    /// The binding under test with a short timeout, for calls that are never answered.
    pub short_timeout: P,
    _server: Option<PlatformServer>,
}

/// Creates a platform with a binding within the process.
pub fn local() -> Fixture<LocalPlatform<ManualClock>> {
    let clock = ManualClock::new();
    let platform = LocalPlatform::new(clock.clone(), PlatformOptions::default());
    let caller = platform.for_caller("entry-1");
    let (subject, short_timeout) = (caller.clone(), caller.clone());
    Fixture { clock, platform, caller, subject, short_timeout, _server: None }
}

/// Creates a platform with a binding over HTTP.
pub async fn http() -> Fixture<HttpPlatform> {
    let clock = ManualClock::new();
    let options = PlatformOptions { pacing: Pacing::Timed, ..PlatformOptions::default() };
    let platform = LocalPlatform::new(clock.clone(), options);
    let caller = platform.for_caller("entry-1");
    let address = "127.0.0.1:0".parse().unwrap();
    let server = PlatformServer::start(address, caller.clone()).await.unwrap();
    let subject = binding(&server, Millis::from_secs(20));
    let short_timeout = binding(&server, Millis(50));
    Fixture { clock, platform, caller, subject, short_timeout, _server: Some(server) }
}

fn binding(server: &PlatformServer, timeout: Millis) -> HttpPlatform {
    let options = HttpPlatformOptions { timeout, ..HttpPlatformOptions::default() };
    HttpPlatform::try_new(server.address(), &options).unwrap()
}
