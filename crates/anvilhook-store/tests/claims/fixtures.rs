//! Fixtures of the claim tests: a platform, instances that make claims on it, and an upstream that
//! counts its runs.

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

/// Creates a request with `key` and `body` whose attempt has the number `attempt`.
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

/// Creates a successful outcome with a body.
pub fn outcome(body: &[u8]) -> StoredOutcome {
    StoredOutcome {
        verdict: Verdict::Ran,
        status: 200,
        content_type: Some("application/json".to_owned()),
        body: StoredBody::from(body),
    }
}

/// Creates the claims of the instance `entry-N`.
pub fn claims<T: Table>(
    table: T,
    clock: &ManualClock,
    number: usize,
    options: ClaimOptions,
) -> Claims<T, ManualClock> {
    let name = InstanceName::try_new(&format!("entry-{number}")).unwrap();
    Claims::new(table, clock.clone(), name, options)
}

/// `CallerOutcome` is the answer that a caller gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// The answer to its own request.
    Answer,
    /// The answer to an earlier request with the key.
    Replay,
    NotRun,
    MayHaveRun,
    KeyReused,
}

/// `Upstream` counts the requests that it runs.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    pub refuses: bool,
    runs: Arc<AtomicUsize>,
}

impl Upstream {
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    /// Runs a request, unless the upstream refuses requests.
    pub fn run(&self) -> Verdict {
        if self.refuses {
            return Verdict::NotRun;
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        Verdict::Ran
    }
}

/// Returns the answer that a caller gets for the outcome of its claim.
pub fn caller_outcome(outcome: &ClaimOutcome) -> CallerOutcome {
    match outcome {
        ClaimOutcome::Won(_) => CallerOutcome::Answer,
        ClaimOutcome::Recorded(_) => CallerOutcome::Replay,
        ClaimOutcome::MayHaveRun(_) => CallerOutcome::MayHaveRun,
        ClaimOutcome::KeyReused(_) => CallerOutcome::KeyReused,
        ClaimOutcome::Refused { .. } => CallerOutcome::NotRun,
    }
}

/// The claims of an instance that uses an in-process platform.
pub type LocalClaims = Claims<LocalPlatform<ManualClock>, ManualClock>;

/// `Site` is a platform, with the number of instances that were started on it.
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

    /// Starts an instance with its own view of the platform.
    pub fn instance(&mut self) -> (LocalClaims, LocalPlatform<ManualClock>) {
        self.instances += 1;
        let view = self.platform.for_caller(&format!("entry-{}", self.instances));
        (claims(view.clone(), &self.clock, self.instances, ClaimOptions::default()), view)
    }

    /// Begins epochs, as instances do after each epoch length.
    pub async fn begin_epochs(&self, count: usize) {
        let write = Write::Put { key: RowKey::new("claim-epoch"), value: "{}".to_owned() };
        let txn = Transaction { conditions: vec![], writes: vec![write] };
        for _ in 0..count {
            self.platform.commit(&txn).await.unwrap();
        }
    }
}

/// Returns the claim, and panics if it was not won.
pub fn won(outcome: ClaimOutcome) -> HeldClaim {
    match outcome {
        ClaimOutcome::Won(held) => held,
        other => panic!("not won: {other:?}"),
    }
}

/// Returns the claim, and panics if it is not in doubt.
pub fn doubtful(outcome: ClaimOutcome) -> HeldClaim {
    match outcome {
        ClaimOutcome::Refused { doubtful: Some(held), .. } => held,
        other => panic!("not doubtful: {other:?}"),
    }
}
