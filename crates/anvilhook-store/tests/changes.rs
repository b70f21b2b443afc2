//! Tests that callers get the true outcome of changes under lost answers, races and outages.

mod fixtures;

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::{Change, Expected};
use anvilhook_core::units::Revision;
use anvilhook_standin::platform::{Loss, Reach};
use anvilhook_store::{Accepted, ChangeRequest, ChangeState, Error, Result};
use fixtures::{
    CallFault, FaultyPlatform, Platform, declare, delete, empty, key, platform, put, request, store,
};

/// Returns how many changes with this id are in the table.
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

/// Guards against a wrong report of a change's outcome: a change that is reported as not made and is
/// therefore made twice, or one that is reported as made and is missing. The table's answer is lost, or
/// the table becomes unreachable, at any call of a change, for one call or for good. A lost answer is
/// no evidence of whether the write took effect.
#[tokio::test]
async fn verify_the_reported_outcome_is_true_whichever_call_fails() {
    let faults = [CallFault::Refused, CallFault::LostBeforeEffect, CallFault::LostAfterEffect];
    let mut outcomes = [0; 3];
    for fault in faults {
        for first in 0..12 {
            for last in [first, first + 1, usize::MAX] {
                let case = format!("{fault:?} at calls {first} to {last}");
                let platform = platform();
                declare(&platform, 1).await;
                let faulty = FaultyPlatform::new(&platform, first, last, fault);
                let req = request(9, put("a1", 2), Expected::Version(Revision(1)));

                let answer = store(&faulty).change(&empty(), &req).await;

                let made = recorded(&platform, 9);
                match &answer {
                    Ok(accepted) => {
                        assert_eq!((made, accepted.revision), (1, Revision(2)), "{case}");
                        outcomes[0] += 1;
                    }
                    Err(Error::Unknown { id, base }) => {
                        assert_eq!((*id, *base), (ChangeId(9), Revision(1)), "{case}");
                        outcomes[1] += 1;
                    }
                    Err(err) => {
                        assert_eq!(err.verdict(), Verdict::NotRun, "{case}: {err}");
                        assert_eq!(made, 0, "{case}: {err}");
                        outcomes[2] += 1;
                    }
                }

                // If the request is repeated with the same id, the change is made exactly once.
                let again = store(&platform).change(&empty(), &req).await.unwrap();
                assert_eq!((again.revision, recorded(&platform, 9)), (Revision(2), 1), "{case}");
            }
        }
    }
    assert!(outcomes.iter().all(|count| *count > 0), "not every outcome occurred: {outcomes:?}");
}

/// Guards against a change that is reported as unknown, then as not accepted, and appears later. The
/// commit is delayed; the caller queries the id before and after the commit takes effect, with and
/// without another change in between. An id that is not recorded proves nothing while the commit can
/// still take effect.
#[tokio::test]
async fn verify_a_delayed_commit_is_unknown_until_it_cannot_take_effect() {
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
async fn verify_a_retry_after_a_lost_answer_makes_no_duplicate() {
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

/// Guards against one operator's change silently undoing another's. Both read version 1 and write at
/// the same time through different instances. Each write must be conditioned on the version that its
/// operator has read.
#[tokio::test]
async fn verify_only_one_of_two_racing_operators_succeeds() {
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
    assert!(conflicts > 0, "the changes never conflicted on the head");
}

/// Guards against changes that are rejected only because of other changes. Many operators change
/// different resources at the same time, and each change advances the head on which all others are
/// conditioned.
#[tokio::test]
async fn verify_many_operators_at_once_all_succeed() {
    let platform = platform();
    let faulty = FaultyPlatform::alternating(&platform, 0).await;
    let store = store(&faulty);
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

/// Makes two changes whose calls to the table alternate; the second change starts some calls later.
async fn race(
    platform: &Platform,
    head_start: usize,
    first: &ChangeRequest,
    second: &ChangeRequest,
) -> (Result<Accepted>, Result<Accepted>) {
    let seen = Arc::new(store(platform).load_all().await.unwrap());
    let one = async {
        let faulty = FaultyPlatform::alternating(platform, 0).await;
        store(&faulty).change(&seen, first).await
    };
    let two = async {
        let faulty = FaultyPlatform::alternating(platform, head_start).await;
        store(&faulty).change(&seen, second).await
    };
    tokio::join!(one, two)
}

#[tokio::test]
async fn verify_refusals() {
    let cases: [(&str, Change, Expected, &str); 6] = [
        (
            "create an existing one",
            put("a1", 2),
            Expected::Absent,
            "Account/a1 stands at version 1",
        ),
        ("replace a missing one", put("b", 2), Expected::Present, "Account/b does not exist"),
        (
            "replace an old version",
            put("a2", 2),
            Expected::Version(Revision(1)),
            "Account/a2 stands at version 2",
        ),
        ("delete a missing one", delete("b"), Expected::Present, "Account/b does not exist"),
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
async fn verify_no_change_is_accepted_while_the_table_is_down() {
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
