//! Tests that a keyed request that must not be repeated runs at most once, whichever instances receive
//! it.

#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
mod support;

use std::sync::{Arc, Mutex};

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::{Millis, SystemClock, WallTime};
use anvilhook_daemon::front::FrontOptions;
use anvilhook_daemon::proxy::TableClaims;
use anvilhook_standin::platform::{LocalPlatform, Loss, PlatformOptions, Reach};
use anvilhook_store::claims::{
    BodyDigest, ClaimKey, ClaimOptions, ClaimOutcome, ClaimRequest, Claims,
};
use support::fakes::{self, Fault, Ledger, SharedLedger};
use support::fronts::{self, FrontUnderTest, configuration};

type Platform = LocalPlatform<SystemClock>;
type Front = FrontUnderTest<TableClaims<Platform, SystemClock>>;

const RECORD: &str = "{\"lot\":7}";
const PATH: &str = "/services/ledger/records";
const KEY: &str = "paddle-12";
const WARM: &str = "warm";

/// `Site` is a platform, two upstreams and two instances.
struct Site {
    platform: Platform,
    ledger: SharedLedger,
    fronts: [Front; 2],
}

fn claims(platform: &Platform, name: &str) -> Claims<Platform, SystemClock> {
    let name = name.parse().expect("a name");
    Claims::new(platform.clone(), SystemClock::new(), name, ClaimOptions::default())
}

async fn site() -> Site {
    let platform = Platform::new(SystemClock::new(), PlatformOptions::default());
    let ledger: SharedLedger = Arc::new(Mutex::new(Ledger::default()));
    let addresses = [fakes::start(&ledger).await, fakes::start(&ledger).await];
    let cfg = configuration(&addresses, |_| {}, (100_000, 100_000));
    let start = async |name: &str, seed| {
        let claims = TableClaims::new(claims(&platform, name), || WallTime(0));
        fronts::start_seeded(&cfg, FrontOptions::default(), claims, [seed; 32]).await
    };
    let fronts = [start("entry-1", 1).await, start("entry-2", 2).await];
    let site = Site { platform, ledger, fronts };

    // The first claim of each instance also reads the current epoch.
    for instance in 0..2 {
        let headers = [("idempotency-key", WARM)];
        site.fronts[instance].ask("POST", PATH, &headers, WARM).await;
    }
    site.ledger.lock().expect("a ledger").runs.clear();
    site
}

impl Site {
    /// Sends a record to an instance and returns the caller's outcome.
    async fn send(&self, instance: usize, body: &str) -> String {
        let headers = [("idempotency-key", KEY)];
        let answer = self.fronts[instance].ask("POST", PATH, &headers, body).await;
        let replayed = answer.headers.contains_key("x-anvilhook-replayed");
        match answer.outcome().as_str() {
            "answered" if replayed => "replayed".to_owned(),
            "answered" => "answered".to_owned(),
            verdict => {
                let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
                format!("{} {verdict}", body["error"]["code"].as_str().expect("a code"))
            }
        }
    }

    fn fault(&self, fault: Option<Fault>) {
        let mut ledger = self.ledger.lock().expect("a ledger");
        ledger.faults = fault.into_iter().collect();
        ledger.repeats = fault.is_some();
    }

    fn runs(&self) -> u32 {
        self.ledger.lock().expect("a ledger").runs.values().sum()
    }
}

/// Guards against a record that is entered twice, or reported as "not run" although it was entered: a
/// caller repeats a keyed request at another instance after the first attempt was answered, failed, was
/// refused, or found the table down or its answer lost. The request was sent before its claim was known
/// to be stored, or the claim was released too early.
#[tokio::test]
async fn verify_repeats_at_another_instance() {
    type Prepare = fn(&Site);
    let table_down: Prepare = |site| site.platform.faults().set_reach(Reach::Refusing);
    let claim_lost: Prepare = |site| site.platform.faults().lose_next_writes(1, Loss::AfterEffect);
    let table_partitioned: Prepare = |site| site.platform.faults().set_reach(Reach::Cut);
    let claim_late: Prepare = |site| site.platform.faults().lose_next_writes(9, Loss::LateEffect);
    let resets: Prepare = |site| site.fault(Some(Fault::ResetBeforeFirstByte));
    let refuses: Prepare = |site| site.fault(Some(Fault::OwnRefusal));
    let healthy: Prepare = |_| {};
    let cases = [
        ("healthy", healthy, RECORD, "answered", "replayed", 1),
        ("other body", healthy, "{}", "answered", "key-reused not-run", 1),
        ("table down", table_down, RECORD, "claims-unavailable not-run", "answered", 1),
        (
            "table partitioned",
            table_partitioned,
            RECORD,
            "claims-unavailable not-run",
            "answered",
            1,
        ),
        ("claim written late", claim_late, RECORD, "claims-unavailable not-run", "answered", 1),
        ("answer to the claim lost", claim_lost, RECORD, "answered", "replayed", 1),
        (
            "upstream resets",
            resets,
            RECORD,
            "upstream-failed may-have-run",
            "key-in-flight may-have-run",
            1,
        ),
        ("upstream refuses", refuses, RECORD, "upstream-refused not-run", "answered", 1),
    ];
    for (case, prepare, repeat, first_expected, repeat_expected, runs) in cases {
        let site = site().await;
        prepare(&site);

        let first = site.send(0, RECORD).await;
        site.platform.faults().heal();
        site.fault(None);
        let second = site.send(1, repeat).await;
        site.platform.land_late_writes();

        assert_eq!((first.as_str(), second.as_str()), (first_expected, repeat_expected), "{case}");
        assert_eq!(site.runs(), runs, "{case}");
    }
}

/// Guards against two instances that enter the same record: a caller sends its request to a second
/// instance while the first one still processes it, and both instances' claims of the key are accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn verify_two_instances_race_one_key() {
    for _ in 0..20 {
        let site = site().await;

        let outcomes = tokio::join!(site.send(0, RECORD), site.send(1, RECORD));

        assert_eq!(site.runs(), 1, "{outcomes:?}");
        let answered =
            [&outcomes.0, &outcomes.1].into_iter().filter(|outcome| *outcome == "answered").count();
        assert_eq!(answered, 1, "{outcomes:?}");
        for outcome in [&outcomes.0, &outcomes.1] {
            let allowed = ["answered", "replayed", "key-in-flight may-have-run"];
            assert!(allowed.contains(&outcome.as_str()), "{outcome}");
        }
    }
}

/// Guards against a record that is entered twice: an instance is killed or paused between its claim and
/// sending the request, and the caller repeats the request at another instance, which assumes that a
/// claim without an outcome never ran.
#[tokio::test]
async fn verify_an_instance_killed_after_its_claim() {
    let site = site().await;
    let (account, service) = ("caller".parse().expect("name"), "ledger".parse().expect("name"));
    let req = ClaimRequest {
        key: ClaimKey::new(&account, &service, KEY),
        body: BodyDigest::of(&[b"POST", b"/records", RECORD.as_bytes()]),
        attempt: AttemptId(1),
        claimed_at: WallTime(0),
        deadline: Millis::MAX,
    };
    let killed = claims(&site.platform, "entry-0").claim(&req).await;
    assert!(matches!(killed, ClaimOutcome::Won(_)), "{killed:?}");

    let outcome = site.send(0, RECORD).await;

    assert_eq!(outcome, "key-in-flight may-have-run");
    assert_eq!(site.runs(), 0);
}
