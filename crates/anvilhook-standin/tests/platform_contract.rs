//! Contract of the platform's traits, checked on the stand-in within the process and on the HTTP
//! binding over the stand-in's server.

mod platform_fixtures;

use std::fmt::Debug;

use anvilhook_core::names::{UpstreamName, ZoneName};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_platform::{
    Commit, Condition, Error, InstanceList, ListedInstance, ListedState, ObjectStore, Result,
    RowKey, Table, Transaction, Write,
};
use anvilhook_standin::platform::{Loss, PlatformFaults, RateLimits, Reach, Service};
use bytes::Bytes;

use platform_fixtures::{Fixture, Platform, http, local};

/// Runs each case once within the process and once over HTTP.
macro_rules! contract {
    ($($name:ident)*) => {
        mod over_http {
            $(#[tokio::test] async fn $name() { super::$name(super::http().await).await; })*
        }
        mod in_process {
            $(#[tokio::test] async fn $name() { super::$name(super::local()).await; })*
        }
    };
}

contract! {
    verify_transactions_are_atomic
    verify_scans_are_ordered_and_bounded
    verify_objects_are_stored_and_listed
    verify_the_instance_list_lags
    verify_each_fault_has_its_stated_effect
    verify_a_partition_affects_one_caller_only
    verify_a_lost_write_may_land_after_the_read_back
    verify_rates_past_the_limit_are_refused
    verify_delayed_and_hanging_calls_complete_when_released
}

fn put(key: &str, value: &str) -> Write {
    Write::Put { key: RowKey::new(key), value: value.to_owned() }
}

fn txn(conditions: Vec<Condition>, writes: Vec<Write>) -> Transaction {
    Transaction { conditions, writes }
}

fn insert(key: &str, value: &str) -> Transaction {
    txn(vec![Condition::Absent { key: RowKey::new(key) }], vec![put(key, value)])
}

fn instance(state: ListedState) -> ListedInstance {
    ListedInstance {
        name: UpstreamName::try_new("engine-1").unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        zone: ZoneName::try_new("piraeus").unwrap(),
        state,
    }
}

async fn version_of(table: &impl Table, key: &str) -> Option<(u64, String)> {
    table.read(&RowKey::new(key)).await.unwrap().map(|row| (row.version, row.value))
}

async fn verify_transactions_are_atomic<P: Platform>(fixture: Fixture<P>) {
    let table = &fixture.subject;
    let a = RowKey::new("a");
    let at = |version| Condition::AtVersion { key: RowKey::new("a"), version };
    let absent = Condition::Absent { key: RowKey::new("a") };
    // Each step: the transaction, whether it is done, and then the versions of `a` and `b`.
    let steps = [
        (txn(vec![absent.clone()], vec![put("a", "1")]), true, Some(1), None),
        (txn(vec![absent.clone()], vec![put("a", "2"), put("b", "2")]), false, Some(1), None),
        (txn(vec![at(2)], vec![put("a", "3"), put("b", "3")]), false, Some(1), None),
        (txn(vec![at(1)], vec![put("a", "4"), put("b", "4")]), true, Some(2), Some(1)),
        (txn(vec![], vec![Write::Delete { key: a.clone() }]), true, None, Some(1)),
        (txn(vec![at(2)], vec![put("b", "5")]), false, None, Some(1)),
        (txn(vec![absent], vec![put("a", "6")]), true, Some(1), Some(1)),
    ];

    for (step, (txn, done, a_version, b_version)) in steps.into_iter().enumerate() {
        let current = table.read(&a).await.unwrap();
        let commit = table.commit(&txn).await.unwrap();

        match commit {
            Commit::Done => assert!(done, "step {step}"),
            Commit::Conflict { standing: shown } => {
                assert!(!done, "step {step}");
                assert_eq!(shown, Vec::from_iter(current), "step {step}");
            }
        }
        let version = |row: Option<(u64, String)>| row.map(|row| row.0);
        assert_eq!(version(version_of(table, "a").await), a_version, "step {step}");
        assert_eq!(version(version_of(table, "b").await), b_version, "step {step}");
    }
}

async fn verify_scans_are_ordered_and_bounded<P: Platform>(fixture: Fixture<P>) {
    let table = &fixture.subject;
    let keys = ["c/1", "c/2 & 3=%", "c/é", "c", "d/1"];
    let writes = keys.iter().map(|key| put(key, "{}")).collect();
    table.commit(&txn(vec![], writes)).await.unwrap();
    let after = |key: &str| Some(RowKey::new(key));
    let cases: [(&str, Option<RowKey>, usize, &[&str]); 6] = [
        ("c/", None, 9, &["c/1", "c/2 & 3=%", "c/é"]),
        ("c/", None, 2, &["c/1", "c/2 & 3=%"]),
        ("c/", after("c/2 & 3=%"), 9, &["c/é"]),
        ("c/", after("a"), 1, &["c/1"]),
        ("c/", after("d"), 9, &[]),
        ("", None, 9, &["c", "c/1", "c/2 & 3=%", "c/é", "d/1"]),
    ];

    for (prefix, after, limit, expected) in cases {
        let rows = table.scan(prefix, after.as_ref(), limit).await.unwrap();

        let found: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        assert_eq!(found, expected, "{prefix:?} after {after:?}, at most {limit}");
    }
}

async fn verify_objects_are_stored_and_listed<P: Platform>(fixture: Fixture<P>) {
    let objects = &fixture.subject;
    let big = Bytes::from(vec![7; 300_000]);

    objects.put("audit/1", Bytes::from_static(b"old")).await.unwrap();
    objects.put("audit/1", big.clone()).await.unwrap();
    objects.put("audit/2 %", Bytes::new()).await.unwrap();

    assert_eq!(objects.get("audit/1").await.unwrap(), Some(big));
    assert_eq!(objects.get("audit/2 %").await.unwrap(), Some(Bytes::new()));
    assert_eq!(objects.get("audit/3").await.unwrap(), None);
    let listed = ObjectStore::list(objects, "audit/").await.unwrap();
    assert_eq!(listed, ["audit/1", "audit/2 %"]);
}

async fn verify_the_instance_list_lags<P: Platform>(fixture: Fixture<P>) {
    let Fixture { clock, platform, subject, .. } = &fixture;
    platform.set_list_lag(Millis(500));
    platform.enter_instance(instance(ListedState::Live));
    clock.advance(Millis(300));
    platform.enter_instance(instance(ListedState::Leaving));
    let states = async || -> Vec<ListedState> {
        let entries = InstanceList::list(subject).await.unwrap();
        entries.into_iter().map(|entry| entry.state).collect()
    };

    // The entries are made at 0 ms and 300 ms. Each is shown 500 ms later: after another 200 ms and
    // another 300 ms.
    assert_eq!(states().await, []);
    clock.advance(Millis(200));
    assert_eq!(states().await, [ListedState::Live]);
    clock.advance(Millis(300));
    assert_eq!(states().await, [ListedState::Leaving]);
    platform.remove_instance(&UpstreamName::try_new("engine-1").unwrap());
    clock.advance(Millis(500));
    assert_eq!(states().await, []);
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    Fine,
    Unavailable,
    AnswerLost,
}

fn seen<T: Debug>(outcome: Result<T>) -> Seen {
    match outcome {
        Ok(_) => Seen::Fine,
        Err(Error::Unavailable { .. }) => Seen::Unavailable,
        Err(Error::AnswerLost { .. }) => Seen::AnswerLost,
        Err(err) => panic!("{err}"),
    }
}

/// A fault, the outcome of writes and reads under it, and whether a write takes effect.
struct FaultCase {
    name: &'static str,
    inject: fn(&PlatformFaults),
    write: Seen,
    read: Seen,
    effect: bool,
}

const FAULTS: [FaultCase; 6] = [
    FaultCase { name: "none", inject: |_| (), write: Seen::Fine, read: Seen::Fine, effect: true },
    FaultCase {
        name: "down",
        inject: |faults| faults.set_reach(Reach::Refusing),
        write: Seen::Unavailable,
        read: Seen::Unavailable,
        effect: false,
    },
    FaultCase {
        name: "only the list down",
        inject: |faults| faults.set_reach_of(Service::Instances, Reach::Refusing),
        write: Seen::Fine,
        read: Seen::Fine,
        effect: true,
    },
    FaultCase {
        name: "a write's answer lost after its effect",
        inject: |faults| faults.lose_next_writes(1, Loss::AfterEffect),
        write: Seen::AnswerLost,
        read: Seen::Fine,
        effect: true,
    },
    FaultCase {
        name: "a write's answer lost before its effect",
        inject: |faults| faults.lose_next_writes(1, Loss::BeforeEffect),
        write: Seen::AnswerLost,
        read: Seen::Fine,
        effect: false,
    },
    FaultCase {
        name: "a read's answers lost, also over a new connection",
        inject: |faults| faults.lose_next_reads(2),
        write: Seen::Fine,
        read: Seen::AnswerLost,
        effect: true,
    },
];

async fn verify_each_fault_has_its_stated_effect<P: Platform>(fixture: Fixture<P>) {
    let Fixture { platform, caller, subject, .. } = &fixture;
    for faults in [platform.faults(), caller.faults()] {
        for case in FAULTS {
            platform
                .commit(&txn(vec![], vec![Write::Delete { key: RowKey::new("a") }]))
                .await
                .unwrap();

            (case.inject)(&faults);
            let write = seen(subject.commit(&insert("a", "1")).await);
            let object_reads = subject.get("x").await;
            (case.inject)(&faults);
            let scan = seen(subject.scan("", None, 1).await);
            (case.inject)(&faults);
            let read = seen(subject.read(&RowKey::new("a")).await);
            faults.heal();

            assert_eq!((write, read, scan), (case.write, case.read, case.read), "{}", case.name);
            assert_eq!(seen(object_reads), case.read, "{}", case.name);
            let effect = version_of(subject, "a").await.is_some();
            assert_eq!(effect, case.effect, "{}", case.name);
        }
    }
}

async fn verify_a_partition_affects_one_caller_only<P: Platform>(fixture: Fixture<P>) {
    let Fixture { platform, caller, short_timeout, .. } = &fixture;
    let other = platform.for_caller("other");

    caller.faults().set_reach(Reach::Cut);
    let commit = short_timeout.commit(&insert("a", "1")).await;
    let list = InstanceList::list(short_timeout).await;

    assert_eq!((seen(commit), seen(list)), (Seen::AnswerLost, Seen::AnswerLost));
    assert_eq!(other.commit(&insert("a", "2")).await, Ok(Commit::Done));
    caller.faults().heal();
    assert_eq!(version_of(&fixture.subject, "a").await, Some((1, "2".to_owned())));
}

async fn verify_a_lost_write_may_land_after_the_read_back<P: Platform>(fixture: Fixture<P>) {
    let Fixture { platform, caller, subject, .. } = &fixture;

    caller.faults().lose_next_writes(1, Loss::LateEffect);
    let commit = subject.commit(&insert("a", "1")).await;
    let read_back = version_of(subject, "a").await;
    let landed = platform.land_late_writes();

    assert_eq!((seen(commit), read_back, landed), (Seen::AnswerLost, None, 1));
    assert_eq!(version_of(subject, "a").await, Some((1, "1".to_owned())));
}

async fn verify_rates_past_the_limit_are_refused<P: Platform>(fixture: Fixture<P>) {
    let Fixture { clock, platform, subject, .. } = &fixture;
    let limits = RateLimits { writes_per_s: 3, reads_per_s: 2 };
    platform.faults().set_rate_limits(Some(limits));
    let two_rows = txn(vec![], vec![put("a", "1"), put("b", "1")]);
    let key = RowKey::new("a");

    for second in 0..2 {
        let mut writes = Vec::new();
        let mut reads = Vec::new();
        for _ in 0..3 {
            writes.push(seen(subject.commit(&two_rows).await));
            reads.push(seen(subject.read(&key).await));
        }

        let refused = Seen::Unavailable;
        assert_eq!(writes, [Seen::Fine, refused, refused], "second {second}");
        assert_eq!(reads, [Seen::Fine, Seen::Fine, refused], "second {second}");
        clock.advance(Millis::from_secs(1));
    }
    let counts = platform.counts();
    assert_eq!((counts.commits, counts.rows_written, counts.reads, counts.refused), (2, 4, 4, 6));
}

async fn verify_delayed_and_hanging_calls_complete_when_released<P: Platform>(fixture: Fixture<P>) {
    let Fixture { clock, caller, subject, .. } = fixture;
    let faults = caller.faults();
    type Change = fn(&PlatformFaults);
    let delay: Change = |faults| faults.set_delay(Millis(40));
    let hang: Change = |faults| faults.set_reach(Reach::Hanging);
    let cases = [
        ("delay", delay, PlatformFaults::step as Change),
        ("hang", hang, PlatformFaults::heal as Change),
    ];

    for (name, inject, release) in cases {
        inject(&faults);
        let table = subject.clone();
        let call = tokio::spawn(async move { table.commit(&insert(name, "1")).await });
        while faults.waiting_calls() == 0 {
            tokio::task::yield_now().await;
        }
        let is_delayed = caller.rows(name).is_empty();
        clock.advance(Millis(40));
        release(&faults);
        let commit = call.await.unwrap();
        faults.heal();

        assert!(is_delayed, "{name}");
        assert_eq!(commit, Ok(Commit::Done), "{name}");
    }
    assert_eq!(clock.now(), Millis(80));
}
