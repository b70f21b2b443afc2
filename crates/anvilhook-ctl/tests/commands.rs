//! Tests the command line against an API on a loopback socket.

// The daemon's tests start the same API.
#[path = "../../anvilhook-daemon/tests/operators_fixture/mod.rs"]
mod operators_fixture;

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{Condition, ConditionState};
use anvilhook_core::units::{Revision, WallTime};
use anvilhook_ctl::{Environment, Exit, run};
use anvilhook_standin::platform::{Loss, RateLimits, Reach};
use anvilhook_store::{ArchiveStep, InstanceDirectory, InstanceRecord, StatusRecord, StatusStore};
use operators_fixture::{Api, OPERATOR, key};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SITE: &str = "\
# A resource may be listed before another one that it refers to.
kind: Engine
name: e1
spec: {pool: main, address: \"127.0.0.1:7001\", zone: piraeus}
---
kind: EnginePool
name: main
spec:
  model: {model: checklist, version: 1}
---
kind: ModelVersion
name: checklist-1
spec:
  model: {model: checklist, version: 1}
  weights: checklist-1
  weight_bytes: 1000
  kv_bytes_per_token: 10
";

/// Writes a file. Each test uses its own names.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Runs a command line and returns its exit code, output and errors.
async fn ctl_as(api: &Api, token: Option<&str>, line: &[&str]) -> (Exit, String, String) {
    // Each run has its own seed, so that all change ids differ.
    static RUNS: AtomicU64 = AtomicU64::new(1_000);
    ctl_seeded(api, token, RUNS.fetch_add(1, Ordering::SeqCst), line).await
}

/// Like `ctl_as`, but with a given seed. Two runs with the same seed use the same change ids.
async fn ctl_seeded(
    api: &Api,
    token: Option<&str>,
    seed: u64,
    line: &[&str],
) -> (Exit, String, String) {
    let server = Some(api.address.to_string());
    let environment = Environment { server, token: token.map(str::to_owned), token_file: None };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(line, &environment, &mut rng, &mut out, &mut err).await;
    (exit, String::from_utf8(out).unwrap(), String::from_utf8(err).unwrap())
}

async fn ctl(api: &Api, line: &[&str]) -> (Exit, String, String) {
    ctl_as(api, Some(OPERATOR), line).await
}

/// Runs a command line that must succeed, and returns its output.
async fn done(api: &Api, line: &[&str]) -> String {
    let (exit, out, err) = ctl(api, line).await;
    assert_eq!(exit, Exit::Done, "{line:?}: {out}{err}");
    out
}

#[tokio::test]
async fn verify_the_typical_workflow() {
    let api = Api::start().await;
    let site = file("site.yaml", SITE);
    let more = file("more.yaml", &SITE.replace("weight_bytes: 1000", "weight_bytes: 2000"));

    let dry = done(&api, &["apply", "-f", &site, "--dry-run"]).await;
    assert!(dry.contains("ModelVersion/checklist-1 would be created"), "{dry}");
    assert!(dry.contains("+  weight_bytes: 1000") && dry.ends_with("dry run\n"), "{dry}");
    assert_eq!(api.follower.revision(), Revision(0));

    let applied = done(&api, &["apply", "-f", &site]).await;
    let expected = "ModelVersion/checklist-1 created at r1\nEnginePool/main created at r2\n\
                    Engine/e1 created at r3\n";
    assert_eq!(applied, expected);
    let again = done(&api, &["apply", "-f", &site]).await;
    assert_eq!(again.matches("unchanged").count(), 3, "{again}");

    let dry = done(&api, &["apply", "-f", &more, "--dry-run"]).await;
    assert!(dry.contains("-  weight_bytes: 1000\n+  weight_bytes: 2000"), "{dry}");
    let replaced = done(&api, &["apply", "-f", &more]).await;
    assert!(replaced.contains("ModelVersion/checklist-1 replaced at r4"), "{replaced}");

    let listed = done(&api, &["get"]).await;
    assert!(listed.starts_with("RESOURCE"), "{listed}");
    assert!(listed.contains("Engine/e1                 3"), "{listed}");
    // The output of `get` can be applied again, as YAML and as JSON.
    for output in ["table", "json"] {
        let shown = done(&api, &["get", "engine/e1", "-o", output]).await;
        let shown = file(&format!("shown-{output}.yaml"), &shown);
        let applied = done(&api, &["apply", "-f", &shown]).await;
        assert_eq!(applied, "Engine/e1 unchanged\n");
    }

    let drained = done(&api, &["drain", "main", "--engine", "e1", "--name", "night"]).await;
    assert!(drained.contains("DrainPlan/night created at r5"), "{drained}");
    assert!(drained.contains("anvilhook why DrainPlan/night"), "{drained}");
    let why = done(&api, &["why", "DrainPlan/night"]).await;
    assert!(why.contains("declared by eleni at 1970-01-01T00:00:01Z through entry-1"), "{why}");
    let deleted = done(&api, &["delete", "DrainPlan/night"]).await;
    assert_eq!(deleted, "DrainPlan/night deleted at r6\n");

    let watched = done(&api, &["watch", "Engine", "--from", "0", "--count", "1"]).await;
    assert_eq!(watched, "r3 put Engine/e1\n");
    let audit = done(&api, &["audit", "--limit", "2"]).await;
    let actions: Vec<&str> = audit.lines().skip(1).map(|line| &line[..1]).collect();
    assert_eq!(actions, ["5", "6"], "{audit}");
    let audit = done(&api, &["audit", "--from", "1", "--limit", "1", "--output", "json"]).await;
    let audit: serde_json::Value = serde_json::from_str(&audit).unwrap();
    assert_eq!(
        (audit["entries"][0]["subject"].as_str(), audit["next"].as_u64()),
        (Some("eleni"), Some(2))
    );
}

/// Token | command line | exit | a part of the error message. `@name` is replaced by the path of the
/// file with that name.
const FAILURES: &str = "
operator-token | fetch | BadInput | fetch
operator-token | get Colour | BadInput | kind: expected one of Account
operator-token | get -o xml | BadInput | expected table or json
operator-token | delete e1 | BadInput | expected KIND/NAME, such as Engine/e1
operator-token | apply | BadInput | no file: give -f FILE
operator-token | apply -f no-such.yaml | BadInput | no-such.yaml: cannot be read
operator-token | apply -f @field | BadInput | document 1, Account/cook: spec.requests_per_s: expected at least 1
operator-token | apply -f @yaml | BadInput | yaml:
operator-token | apply -f @kind | BadInput | kind:2:
operator-token | apply -f @twice | BadInput | document 4: Engine/e1 is already declared in
operator-token | apply -f @strands | BadInput | needed by EnginePool/main (spec.model); change that first. Nothing was sent
operator-token | apply -f @old | Conflict | Engine/e1 stands at version 3
operator-token | drain main | BadInput | give --engine or --zone
operator-token | drain main --engine e9 | BadInput | spec.target.engines[0]: expected engines of EnginePool/main
operator-token | delete EnginePool/main | Conflict | EnginePool/main is still needed by Engine/e1 (spec.pool)
operator-token | delete Engine/e1 --version 2 | Conflict | Engine/e1 stands at version 3
operator-token | get Engine/e9 | NotFound | Engine/e9 does not exist
operator-token | why Engine/e9 | NotFound | Engine/e9 does not exist
operator-token | change 7 | BadInput | change id: expected 32 hexadecimal digits
operator-token | change 00000000000000000000000000000007 | Unknown | may still be under way
operator-token | get --token-file no-such | BadInput | token file no-such
operator-token | get --server here | BadInput | --server here: expected IP:PORT
operator-token | get --server 127.0.0.1:1 | Unavailable | Check --server, or ask another instance
reader-token | delete Engine/e1 | NotAllowed | kostas may read only
wrong | status | NotAllowed | bearer token
 | get | NotAllowed | Set ANVILHOOK_TOKEN, or give --token-file
";

/// Writes the files that are used in `FAILURES`.
fn write_bad_files() {
    let account = "token_sha256: [], requests_per_s: 0, open_requests: 1";
    file("field", &format!("kind: Account\nname: cook\nspec: {{{account}}}\n"));
    file("yaml", "kind: Account\nname: [\n");
    file("kind", "---\nkind: Colour\nname: red\nspec: {}\n");
    file("twice", &format!("{SITE}---\n{SITE}"));
    file("strands", &SITE.replace("version: 1}\n  weights", "version: 2}\n  weights"));
    let engine = "pool: main, address: \"127.0.0.1:7002\", zone: z";
    file("old", &format!("kind: Engine\nname: e1\nversion: 1\nspec: {{{engine}}}\n"));
}

#[tokio::test]
async fn verify_exit_codes_and_messages_of_failures() {
    let api = Api::start().await;
    done(&api, &["apply", "-f", &file("base.yaml", SITE)]).await;
    write_bad_files();
    for case in FAILURES.trim_matches('\n').lines() {
        let columns: Vec<&str> = case.split('|').map(str::trim).collect();
        let [token, line, exit, message] = columns[..] else { panic!("{case}") };
        let token = (!token.is_empty()).then_some(token);
        let line = line.replace('@', concat!(env!("CARGO_TARGET_TMPDIR"), "/"));
        let line: Vec<&str> = line.split(' ').collect();

        let (ended, out, err) = ctl_as(&api, token, &line).await;

        assert_eq!(format!("{ended:?}"), exit, "{case}: {out}{err}");
        assert!(err.contains(message), "{case}: {err}");
    }
    assert_eq!(api.follower.revision(), Revision(3), "nothing was changed");
}

#[tokio::test]
async fn verify_help_is_not_a_failure() {
    let api = Api::start().await;
    for line in [vec!["--help"], vec!["apply", "--help"]] {
        let (exit, out, err) = ctl(&api, &line).await;

        assert_eq!((exit, err.as_str()), (Exit::Done, ""));
        assert!(out.starts_with("Usage: anvilhook"), "{out}");
    }
}

/// Guards against an exit code that reports success or failure when neither is known: a script would
/// repeat a change that was accepted, or abandon one that was not. This happens when the table loses
/// an answer and becomes unavailable, temporarily or permanently.
#[tokio::test]
async fn verify_outages_end_in_their_own_exit_codes() {
    let api = Api::start().await;
    done(&api, &["apply", "-f", &file("outages.yaml", SITE)]).await;
    let line = ["drain", "main", "--engine", "e1", "--name", "night"];
    let faults = api.platform.faults();

    faults.set_reach(Reach::Refusing);
    let (exit, _, err) = ctl(&api, &line).await;
    assert_eq!(exit, Exit::Unavailable, "{err}");
    assert!(err.contains("not accepted"), "{err}");

    // One try of the change reaches the table and its answer is lost. After that the table is
    // unavailable.
    faults.heal();
    faults.lose_next_writes(1, Loss::BeforeEffect);
    faults.set_rate_limits(Some(RateLimits { reads_per_s: 2, writes_per_s: 100 }));
    let (exit, _, err) = ctl_seeded(&api, Some(OPERATOR), 7, &line).await;
    assert_eq!(exit, Exit::Unknown, "{err}");
    let (_, ask) = err.trim_end().split_once("Ask with: anvilhook ").unwrap();

    faults.heal();
    let ask: Vec<&str> = ask.split(' ').collect();
    let (exit, _, err) = ctl(&api, &ask).await;
    assert_eq!(exit, Exit::Unknown, "{ask:?}: {err}");
    // Resent with the same id, the change is accepted and its state can be queried.
    let (_, out, _) = ctl_seeded(&api, Some(OPERATOR), 7, &line).await;
    assert!(out.starts_with("DrainPlan/night created at r4"), "{out}");
    assert_eq!(done(&api, &ask).await, "accepted as r4\n");
}

#[tokio::test]
async fn verify_status_and_why_fit_one_screen() {
    let api = Api::start().await;
    done(&api, &["apply", "-f", &file("status.yaml", SITE)]).await;
    let record = InstanceRecord {
        name: InstanceName::try_new("entry-2").unwrap(),
        peer_address: "127.0.0.1:7100".parse().unwrap(),
        zone: "piraeus".parse().unwrap(),
        revision: Revision(1),
        since: WallTime(1_000),
    };
    InstanceDirectory::new(api.platform.clone()).announce(&record).await.unwrap();
    let condition = Condition {
        kind: "Ready".to_owned(),
        state: ConditionState::False,
        reason: "AwaitingPredecessor".to_owned(),
        message: "entry-0 may still give orders".to_owned(),
        since: WallTime(60_000),
    };
    let mut engine = key("e1");
    engine.kind = "Engine".parse().unwrap();
    let record = StatusRecord { key: engine, observer: record.name, condition };
    StatusStore::new(api.platform.clone()).report(&record).await.unwrap();

    let status = done(&api, &["status"]).await;
    let why = done(&api, &["why", "Engine/e1"]).await;
    let listed = done(&api, &["get", "Engine"]).await;

    assert!(
        status.starts_with("asked entry-1, where r3 is in force; last accepted: r3\n"),
        "{status}"
    );
    assert!(
        status.contains("entry-2   piraeus  127.0.0.1:7100  r1        1970-01-01T00:00:01Z  2"),
        "{status}"
    );
    assert!(listed.contains("not Ready: AwaitingPredecessor"), "{listed}");
    for part in [
        "    pool: main",
        "Ready does not hold since 1970-01-01T00:01:00Z",
        "  AwaitingPredecessor: entry-0 may still give orders",
        "  instance entry-2, which has not reported this version in force yet",
    ] {
        assert!(why.contains(part), "{part}: {why}");
    }
    assert!(why.lines().count() <= 24, "{why}");
}

#[tokio::test]
async fn verify_a_watch_of_archived_changes_continues_from_the_current_revision() {
    let api = Api::start().await;
    for n in 0..8 {
        api.declare(&format!("a{n}"), 1, 0).await;
    }
    while api.archive.step(WallTime(5_000)).await.unwrap() != ArchiveStep::Idle {}
    let other = Api::start_beside(&api).await;
    other.follower.poll_once().await.unwrap();
    let line = ["watch", "--from", "1", "--count", "1"];

    // The watch starts at the current revision, so changes are made until it has seen one.
    let changes = async {
        for n in 8_u64.. {
            other.declare(&format!("a{n}"), 1, 0).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let watched = tokio::select! {
        watched = done(&other, &line) => watched,
        () = changes => unreachable!("changes are made until the watch ends"),
    };

    assert!(
        watched.starts_with("# changes after r1 are archived (see: anvilhook audit); on from r"),
        "{watched}"
    );
    assert!(watched.lines().nth(1).unwrap().contains(" put Account/a"), "{watched}");
}
