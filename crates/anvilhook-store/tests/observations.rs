//! Tests the conditions of resources and the records of instances.

mod fixtures;

use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{Condition, ConditionState};
use anvilhook_core::units::{Revision, WallTime};
use anvilhook_store::{InstanceDirectory, InstanceRecord, StatusRecord, StatusStore};
use fixtures::{key, platform};

fn condition(
    name: &str,
    kind: &str,
    state: ConditionState,
    message: &str,
    at: u64,
) -> StatusRecord {
    StatusRecord {
        key: key(name),
        observer: InstanceName::try_new("entry-1").unwrap(),
        condition: Condition {
            kind: kind.to_owned(),
            state,
            reason: "Test".to_owned(),
            message: message.to_owned(),
            since: WallTime(at),
        },
    }
}

#[tokio::test]
async fn verify_a_condition_keeps_its_since_and_is_written_only_when_it_differs() {
    use ConditionState::{False, True};
    let platform = platform();
    let statuses = StatusStore::new(platform.clone());
    // state, message, time; expected since, expected writes so far
    let cases = [
        (False, "two left", 10, 10, 1),
        (False, "two left", 20, 10, 1),
        (False, "one left", 30, 10, 2),
        (True, "none left", 40, 40, 3),
    ];
    for (state, message, at, since, writes) in cases {
        statuses.report(&condition("a", "Drained", state, message, at)).await.unwrap();

        let found = statuses.of(&key("a")).await.unwrap().remove(0).condition;
        assert_eq!((found.state, found.since), (state, WallTime(since)), "{message}");
        assert_eq!(platform.counts().rows_written, writes, "{message}");
    }
}

#[tokio::test]
async fn verify_conditions_of_names_with_a_common_prefix_are_separate() {
    let statuses = StatusStore::new(platform());
    for (name, kind) in [("a", "Ready"), ("a", "Drained"), ("a.b", "Ready"), ("ab", "Ready")] {
        let record = condition(name, kind, ConditionState::True, "", 1);
        statuses.report(&record).await.unwrap();
    }

    let of_a = statuses.of(&key("a")).await.unwrap().len();
    statuses.forget(&key("a")).await.unwrap();
    let left = statuses.all().await.unwrap().len();

    assert_eq!((of_a, left), (2, 2));
}

#[tokio::test]
async fn verify_instances_come_and_go() {
    let directory = InstanceDirectory::new(platform());
    let record = |name: &str, revision: u64| InstanceRecord {
        name: InstanceName::try_new(name).unwrap(),
        peer_address: "127.0.0.1:7100".parse().unwrap(),
        zone: "piraeus".parse().unwrap(),
        revision: Revision(revision),
        since: WallTime(1),
    };
    for entry in [record("entry-2", 1), record("entry-1", 1), record("entry-2", 5)] {
        directory.announce(&entry).await.unwrap();
    }
    assert_eq!(directory.list().await.unwrap(), [record("entry-1", 1), record("entry-2", 5)]);

    directory.remove(&record("entry-1", 1).name).await.unwrap();

    assert_eq!(directory.list().await.unwrap(), [record("entry-2", 5)]);
}
