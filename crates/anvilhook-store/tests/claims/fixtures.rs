//! A platform, instances with claims on it, and an upstream that counts what it runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use anvilhook_core::Verdict;
use anvilhook_core::attempts::AttemptId;
use anvilhook_core::names::{AccountName, InstanceName, ServiceName};
use anvilhook_core::units::{ManualClock, Millis, WallTime};
use anvilhook_platform::{RowKey, Table, Transaction, Write};
use anvilhook_standin::platform::{LocalPlatform, PlatformOptions};
use anvilhook_store::claims::{
    BodyDigest, ClaimKey, ClaimOptions, ClaimOutcome, ClaimRequest, Claims, HeldClaim, StoredBody,
    StoredOutcome,
};

/// A request with `key` and `body`, whose attempt has the number `attempt`.
pub fn request(key: &str, body: &str, attempt: u128) -> ClaimRequest {
    let account = AccountName::try_new("papadakis").unwrap();
    let service = ServiceName::try_new("chef-alerts").unwrap();
    ClaimRequest {
        key: ClaimKey::new(&account, &service, key),
        body: BodyDigest::of(&[body.as_bytes()]),
        attempt: AttemptId(attempt),
        claimed_at: WallTime(1_700_000_000_000),
        deadline: Millis::MAX,
    }
}

/// An outcome with a body.
pub fn outcome(body: &[u8]) -> StoredOutcome {
    StoredOutcome {
        verdict: Verdict::Ran,
        status: 200,
        content_type: Some("application/json".to_owned()),
        body: StoredBody::from(body),
    }
}

/// The claims of an instance named `entry-N`.
pub fn claims<T: Table>(
    table: T,
    clock: &ManualClock,
    number: usize,
    options: ClaimOptions,
) -> Claims<T, ManualClock> {
    let name = InstanceName::try_new(&format!("entry-{number}")).unwrap();
    Claims::new(table, clock.clone(), name, options)
}

/// What a caller hears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// The answer of its own request.
    Answer,
    /// The answer of an earlier request with the key.
    Replay,
    NotRun,
    MayHaveRun,
    KeyReused,
}

/// An upstream that counts what it runs.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    pub refuses: bool,
    runs: Arc<AtomicUsize>,
}

impl Upstream {
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    /// Runs a request, unless it refuses.
    pub fn run(&self) -> Verdict {
        if self.refuses {
            return Verdict::NotRun;
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        Verdict::Ran
    }
}

/// What a caller hears of a request that was not dispatched.
pub fn heard(outcome: &ClaimOutcome) -> Heard {
    match outcome {
        ClaimOutcome::Won(_) => Heard::Answer,
        ClaimOutcome::Recorded(_) => Heard::Replay,
        ClaimOutcome::MayHaveRun(_) => Heard::MayHaveRun,
        ClaimOutcome::KeyReused(_) => Heard::KeyReused,
        ClaimOutcome::Refused { .. } => Heard::NotRun,
    }
}

/// The claims of an instance that reaches the platform within the process.
pub type LocalClaims = Claims<LocalPlatform<ManualClock>, ManualClock>;

/// A platform and the number of instances that came to it.
pub struct Site {
    pub clock: ManualClock,
    pub platform: LocalPlatform<ManualClock>,
    instances: usize,
}

impl Site {
    pub fn new() -> Self {
        let clock = ManualClock::new();
        let platform = LocalPlatform::new(clock.clone(), PlatformOptions::default());
        Self { clock, platform, instances: 0 }
    }

    /// Starts an instance, which has its own view of the platform.
    pub fn instance(&mut self) -> (LocalClaims, LocalPlatform<ManualClock>) {
        self.instances += 1;
        let view = self.platform.for_caller(&format!("entry-{}", self.instances));
        (claims(view.clone(), &self.clock, self.instances, ClaimOptions::default()), view)
    }

    /// Begins epochs as instances do once the time has passed.
    pub async fn begin_epochs(&self, count: usize) {
        let write = Write::Put { key: RowKey::new("claim-epoch"), value: "{}".to_owned() };
        let txn = Transaction { conditions: vec![], writes: vec![write] };
        for _ in 0..count {
            self.platform.commit(&txn).await.unwrap();
        }
    }
}

/// Returns a claim that must have been won.
pub fn won(outcome: ClaimOutcome) -> HeldClaim {
    match outcome {
        ClaimOutcome::Won(held) => held,
        other => panic!("not won: {other:?}"),
    }
}

/// Returns a claim that must have been left in doubt.
pub fn doubtful(outcome: ClaimOutcome) -> HeldClaim {
    match outcome {
        ClaimOutcome::Refused { doubtful: Some(held), .. } => held,
        other => panic!("not doubtful: {other:?}"),
    }
}
