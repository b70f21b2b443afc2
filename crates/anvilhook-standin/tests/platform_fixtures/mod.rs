//! The two ways to the stand-in platform that the contract is checked on.

use anvilhook_core::units::{ManualClock, Millis};
use anvilhook_platform::{HttpPlatform, HttpPlatformOptions, InstanceList, ObjectStore, Table};
use anvilhook_standin::platform::{LocalPlatform, Pacing, PlatformOptions, PlatformServer};

/// `Platform` is all of the platform's services.
pub trait Platform: Table + ObjectStore + InstanceList {}

impl<T: Table + ObjectStore + InstanceList> Platform for T {}

/// `Fixture` is a platform and one caller's way to it.
pub struct Fixture<P> {
    pub clock: ManualClock,
    /// The platform itself.
    pub platform: LocalPlatform<ManualClock>,
    /// The caller's view, with the caller's faults.
    pub caller: LocalPlatform<ManualClock>,
    /// The binding under test.
    pub subject: P,
    /// The same binding with a short timeout, for calls that are never answered.
    pub impatient: P,
    _server: Option<PlatformServer>,
}

/// Makes a platform that is reached within the process.
pub fn local() -> Fixture<LocalPlatform<ManualClock>> {
    let clock = ManualClock::new();
    let platform = LocalPlatform::new(clock.clone(), PlatformOptions::default());
    let caller = platform.for_caller("entry-1");
    let (subject, impatient) = (caller.clone(), caller.clone());
    Fixture { clock, platform, caller, subject, impatient, _server: None }
}

/// Makes a platform that is reached over HTTP.
pub async fn http() -> Fixture<HttpPlatform> {
    let clock = ManualClock::new();
    let options = PlatformOptions { pacing: Pacing::Timed, ..PlatformOptions::default() };
    let platform = LocalPlatform::new(clock.clone(), options);
    let caller = platform.for_caller("entry-1");
    let address = "127.0.0.1:0".parse().unwrap();
    let server = PlatformServer::start(address, caller.clone()).await.unwrap();
    let subject = binding(&server, Millis::from_secs(20));
    let impatient = binding(&server, Millis(50));
    Fixture { clock, platform, caller, subject, impatient, _server: Some(server) }
}

fn binding(server: &PlatformServer, timeout: Millis) -> HttpPlatform {
    let options = HttpPlatformOptions { timeout, ..HttpPlatformOptions::default() };
    HttpPlatform::try_new(server.address(), &options).unwrap()
}
