//! Changes under lost answers, races and outages: what the caller is told is true.

mod fixtures;

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::{Change, Expected};
use anvilhook_core::units::Revision;
use anvilhook_standin::platform::{Loss, Reach};
use anvilhook_store::{Accepted, ChangeRequest, ChangeState, Error, Result};
use fixtures::{
    Platform, Trip, Tripwire, declare, delete, empty, key, platform, put, request, store,
};

/// Returns how many changes the table holds with this id.
fn recorded(platform: &Platform, id: u128) -> usize {
    let id = ChangeId(id).to_string();
    platform.rows("change/").iter().filter(|row| row.value.contains(&id)).count()
}

#[tokio::test]
async fn verify_a_change_is_one_row_of_each_kind() {
    let platform = platform();
    let req = request(7, put("a", 5), Expected::Absent);

    let accepted = store(&platform).change(&empty(), &req).await.unwrap();

    assert_eq!(accepted.revision, Revision(1));
    assert_eq!(accepted.configuration.get(&key("a")).unwrap().version, Revision(1));
    assert_eq!(platform.counts().commits, 1);
    let keys: Vec<String> = platform.rows("").iter().map(|row| row.key.to_string()).collect();
    assert_eq!(
        keys,
        [
            "change-id/00000000000000000000000000000007",
            "change/00000000000000000001",
            "config/head",
            "resource/Account/a",
        ]
    );
}

/// Symptom: an operator is told that a change was not made, makes it again, and it is there twice;
/// or is told that it was made, and it is not there.
/// Sequence: the table's answer is lost, or the table goes away, at any call of a change, for one
/// call or for good.
/// Cause: a lost answer says nothing about the effect of the write.
#[tokio::test]
async fn verify_the_truth_is_told_whichever_call_fails() {
    let trips = [Trip::Refused, Trip::LostBeforeEffect, Trip::LostAfterEffect];
    let mut told = [0; 3];
    for trip in trips {
        for first in 0..12 {
            for last in [first, first + 1, usize::MAX] {
                let case = format!("{trip:?} at calls {first} to {last}");
                let platform = platform();
                declare(&platform, 1).await;
                let wire = Tripwire::new(&platform, first, last, trip);
                let req = request(9, put("a1", 2), Expected::Version(Revision(1)));

                let answer = store(&wire).change(&empty(), &req).await;

                let made = recorded(&platform, 9);
                match &answer {
                    Ok(accepted) => {
                        assert_eq!((made, accepted.revision), (1, Revision(2)), "{case}");
                        told[0] += 1;
                    }
                    Err(Error::Unknown { id, base }) => {
                        assert_eq!((*id, *base), (ChangeId(9), Revision(1)), "{case}");
                        told[1] += 1;
                    }
                    Err(err) => {
                        assert_eq!(err.verdict(), Verdict::NotRun, "{case}: {err}");
                        assert_eq!(made, 0, "{case}: {err}");
                        told[2] += 1;
                    }
                }

                // Asked again by its id, the change is made exactly once.
                let again = store(&platform).change(&empty(), &req).await.unwrap();
                assert_eq!((again.revision, recorded(&platform, 9)), (Revision(2), 1), "{case}");
            }
        }
    }
    assert!(told.iter().all(|count| *count > 0), "each outcome is reached: {told:?}");
}

/// Symptom: a change that was reported as unknown, and then as not accepted, appears later.
/// Sequence: the commit is delayed on its way; the caller asks by the id before and after it lands,
/// with and without another change in between.
/// Cause: an id that is not recorded says nothing while the commit can still land.
#[tokio::test]
async fn verify_a_delayed_commit_is_unknown_until_it_cannot_land() {
    for (other_first, expected) in
        [(false, ChangeState::Accepted { revision: Revision(2) }), (true, ChangeState::NotAccepted)]
    {
        let platform = platform();
        declare(&platform, 1).await;
        let view = platform.for_caller("entry-1");
        view.faults().lose_next_writes(8, Loss::LateEffect);
        let req = request(9, put("b", 2), Expected::Absent);

        let err = store(&view).change(&empty(), &req).await.unwrap_err();

        let Error::Unknown { id, base } = err else { panic!("{err}") };
        let reader = store(&platform);
        assert_eq!(reader.change_state(id, Some(base)).await.unwrap(), ChangeState::Unknown);
        if other_first {
            let other = request(10, put("c", 1), Expected::Absent);
            reader.change(&empty(), &other).await.unwrap();
            assert_eq!(reader.change_state(id, Some(base)).await.unwrap(), expected);
        }
        platform.land_late_writes();
        assert_eq!(reader.change_state(id, Some(base)).await.unwrap(), expected);
        assert_eq!(recorded(&platform, 9), usize::from(!other_first));
    }
}

#[tokio::test]
async fn verify_a_lost_answer_is_tried_again_without_a_double() {
    for loss in [Loss::BeforeEffect, Loss::AfterEffect, Loss::LateEffect] {
        let platform = platform();
        platform.faults().lose_next_writes(1, loss);
        let req = request(9, put("a", 2), Expected::Absent);

        let accepted = store(&platform).change(&empty(), &req).await.unwrap();

        platform.land_late_writes();
        assert_eq!((accepted.revision, recorded(&platform, 9)), (Revision(1), 1), "{loss:?}");
        let head = store(&platform).head().await.unwrap().unwrap();
        assert_eq!(head.revision, Revision(1), "{loss:?}");
    }
}

/// Symptom: one operator's change silently undoes another's.
/// Sequence: both read version 1 and write at the same moment through different instances.
/// Cause: the second write was not conditioned on what its operator had seen.
#[tokio::test]
async fn verify_of_two_operators_who_race_one_succeeds() {
    for head_start in 0..8 {
        let platform = platform();
        declare(&platform, 1).await;
        let expected = Expected::Version(Revision(1));
        let first = request(11, put("a1", 11), expected);
        let second = request(12, put("a1", 12), expected);

        let (first, second) = race(&platform, head_start, &first, &second).await;

        let (won, lost) = if first.is_ok() { (first, second) } else { (second, first) };
        assert_eq!(won.unwrap().revision, Revision(2));
        let Err(Error::Conflict { standing: Some(standing), .. }) = lost else {
            panic!("{lost:?}")
        };
        assert_eq!(standing.version, Revision(2));
        assert_eq!(platform.rows("change/").len(), 2);
    }
}

#[tokio::test]
async fn verify_changes_of_different_resources_do_not_conflict() {
    let mut conflicts = 0;
    for head_start in 0..8 {
        let platform = platform();
        declare(&platform, 1).await;
        let first = request(21, put("a1", 9), Expected::Version(Revision(1)));
        let second = request(22, put("b", 9), Expected::Absent);

        let (first, second) = race(&platform, head_start, &first, &second).await;

        let mut revisions = [first.unwrap().revision, second.unwrap().revision];
        revisions.sort();
        assert_eq!(revisions, [Revision(2), Revision(3)]);
        conflicts += platform.counts().conflicts;
    }
    assert!(conflicts > 0, "the head moved under one of them");
}

/// Symptom: operators are told to try again although nothing is wrong.
/// Sequence: many change different resources at the same moment.
/// Cause: each change moves the head under all others.
#[tokio::test]
async fn verify_many_operators_at_once_all_succeed() {
    let platform = platform();
    let wire = Tripwire::taking_turns(&platform, 0).await;
    let store = store(&wire);
    let requests: Vec<ChangeRequest> =
        (1..=20).map(|n| request(n, put(&format!("a{n}"), 1), Expected::Absent)).collect();
    let base = empty();

    let changes = requests.iter().map(|req| store.change(&base, req));
    let answers = futures_util::future::join_all(changes).await;

    let mut revisions: Vec<u64> =
        answers.into_iter().map(|done| done.unwrap().revision.0).collect();
    revisions.sort();
    assert_eq!(revisions, (1..=20).collect::<Vec<_>>());
}

/// Makes two changes that take turns at the table, the second some calls later.
async fn race(
    platform: &Platform,
    head_start: usize,
    first: &ChangeRequest,
    second: &ChangeRequest,
) -> (Result<Accepted>, Result<Accepted>) {
    let seen = Arc::new(store(platform).load_all().await.unwrap());
    let one = async {
        let wire = Tripwire::taking_turns(platform, 0).await;
        store(&wire).change(&seen, first).await
    };
    let two = async {
        let wire = Tripwire::taking_turns(platform, head_start).await;
        store(&wire).change(&seen, second).await
    };
    tokio::join!(one, two)
}

#[tokio::test]
async fn verify_refusals() {
    let cases: [(&str, Change, Expected, &str); 6] = [
        ("create what is there", put("a1", 2), Expected::Absent, "Account/a1 stands at version 1"),
        ("replace what is not there", put("b", 2), Expected::Present, "Account/b does not exist"),
        (
            "replace an old version",
            put("a2", 2),
            Expected::Version(Revision(1)),
            "Account/a2 stands at version 2",
        ),
        ("delete what is not there", delete("b"), Expected::Present, "Account/b does not exist"),
        (
            "delete an old version",
            delete("a2"),
            Expected::Version(Revision(1)),
            "Account/a2 stands at version 2",
        ),
        ("break a rule", put("b", 0), Expected::Absent, "spec.requests_per_s: expected at least 1"),
    ];
    for (case, change, expected, message) in cases {
        let platform = platform();
        declare(&platform, 2).await;

        let err =
            store(&platform).change(&empty(), &request(9, change, expected)).await.unwrap_err();

        assert!(err.to_string().starts_with(message), "{case}: {err}");
        assert_eq!(err.verdict(), Verdict::NotRun, "{case}");
        assert_eq!(platform.rows("change/").len(), 2, "{case}");
    }
}

#[tokio::test]
async fn verify_a_change_id_belongs_to_one_change() {
    let platform = platform();
    declare(&platform, 1).await;
    let other = request(1, put("b", 1), Expected::Absent);

    let err = store(&platform).change(&empty(), &other).await.unwrap_err();

    assert_eq!(err, Error::ChangeIdReused { id: ChangeId(1), revision: Revision(1) });
}

#[tokio::test]
async fn verify_with_the_table_down_nothing_is_accepted() {
    for reach in [Reach::Refusing, Reach::Cut] {
        let platform = platform();
        declare(&platform, 1).await;
        platform.faults().set_reach(reach);
        let req = request(9, put("b", 1), Expected::Absent);

        let err = store(&platform).change(&empty(), &req).await.unwrap_err();

        assert!(matches!(err, Error::NotAccepted { .. }), "{reach:?}: {err}");
        assert_eq!(recorded(&platform, 9), 0);
    }
}
