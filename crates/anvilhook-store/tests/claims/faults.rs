//! Tests claims under faults: the answers of callers, the number of runs, and the cost.

use anvilhook_core::Verdict;
use anvilhook_core::units::Millis;
use anvilhook_standin::platform::{Loss, PlatformFaults, Reach};
use anvilhook_store::claims::{ClaimOptions, ClaimOutcome, StoredBody};

use crate::fixtures::{
    CallerOutcome, LocalClaims, Site, Upstream, caller_outcome, doubtful, outcome, request, won,
};

/// `Killed` is the point at which the first instance is killed.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Killed {
    Never,
    BeforeDispatch,
    AfterDispatch,
}

/// `FaultCase` is one fault with the expected outcomes.
struct FaultCase {
    name: &'static str,
    /// The faults that are set before the first instance claims.
    at_claim: fn(&PlatformFaults),
    /// The faults that are set before the first instance records the outcome or releases the claim.
    at_settling: fn(&PlatformFaults),
    refuses: bool,
    killed: Killed,
    /// The answer to the first request, and to its repeat at another instance after the fault.
    answers: [CallerOutcome; 2],
    /// The total number of runs.
    runs: usize,
}

fn case(name: &'static str, answers: [CallerOutcome; 2], runs: usize) -> FaultCase {
    let (at_claim, at_settling) = (|_: &_| (), |_: &_| ());
    FaultCase { name, at_claim, at_settling, refuses: false, killed: Killed::Never, answers, runs }
}

fn fault_cases() -> Vec<FaultCase> {
    use CallerOutcome::{Answer, MayHaveRun, NotRun, Replay};
    vec![
        case("no fault", [Answer, Replay], 1),
        FaultCase {
            at_claim: |faults| faults.set_reach(Reach::Refusing),
            ..case("table down at the claim", [NotRun, Answer], 1)
        },
        FaultCase {
            at_claim: |faults| faults.set_reach(Reach::Cut),
            ..case("instance partitioned at the claim", [NotRun, Answer], 1)
        },
        FaultCase {
            at_claim: |faults| faults.lose_next_writes(2, Loss::AfterEffect),
            ..case("claim's answer lost after its effect", [Answer, Replay], 1)
        },
        FaultCase {
            at_claim: |faults| faults.lose_next_writes(2, Loss::BeforeEffect),
            ..case("claim's answer lost before its effect", [Answer, Replay], 1)
        },
        FaultCase {
            at_claim: |faults| faults.lose_next_writes(2, Loss::LateEffect),
            ..case("claim takes effect late, after it was sent again", [Answer, Replay], 1)
        },
        FaultCase {
            at_claim: |faults| faults.lose_next_writes(3, Loss::AfterEffect),
            ..case("claim abandoned, but it was written", [NotRun, MayHaveRun], 0)
        },
        FaultCase {
            at_claim: |faults| faults.lose_next_writes(3, Loss::BeforeEffect),
            ..case("claim abandoned, and it was not written", [NotRun, Answer], 1)
        },
        FaultCase {
            at_claim: |faults| faults.lose_next_writes(3, Loss::LateEffect),
            ..case("claim abandoned, and it takes effect late", [NotRun, MayHaveRun], 0)
        },
        FaultCase {
            killed: Killed::BeforeDispatch,
            ..case("killed between claim and dispatch", [MayHaveRun, MayHaveRun], 0)
        },
        FaultCase {
            killed: Killed::AfterDispatch,
            ..case("killed between dispatch and record", [MayHaveRun, MayHaveRun], 1)
        },
        FaultCase {
            at_settling: |faults| faults.set_reach(Reach::Refusing),
            ..case("table down at the record", [Answer, MayHaveRun], 1)
        },
        FaultCase {
            at_settling: |faults| faults.lose_next_writes(1, Loss::AfterEffect),
            ..case("record's answer lost after its effect", [Answer, Replay], 1)
        },
        FaultCase {
            at_settling: |faults| faults.lose_next_writes(2, Loss::LateEffect),
            ..case("record takes effect late, after it was sent again", [Answer, Replay], 1)
        },
        FaultCase { refuses: true, ..case("upstream refuses", [NotRun, Answer], 1) },
        FaultCase {
            refuses: true,
            at_settling: |faults| faults.lose_next_writes(2, Loss::AfterEffect),
            ..case("release's answer lost after its effect", [NotRun, Answer], 1)
        },
        FaultCase {
            refuses: true,
            at_settling: |faults| faults.lose_next_writes(1, Loss::LateEffect),
            ..case("release takes effect late, after it was sent again", [NotRun, Answer], 1)
        },
        FaultCase {
            refuses: true,
            at_settling: |faults| faults.set_reach(Reach::Refusing),
            ..case("table down at the release", [NotRun, MayHaveRun], 0)
        },
    ]
}

/// Claims, runs and settles one request.
async fn serve(
    claims: &LocalClaims,
    attempt: u128,
    upstream: &Upstream,
    killed: Killed,
    before_settling: impl FnOnce(),
) -> CallerOutcome {
    let held = match claims.claim(&request("k", "body", attempt)).await {
        ClaimOutcome::Won(held) => held,
        other => return caller_outcome(&other),
    };
    if killed == Killed::BeforeDispatch {
        return CallerOutcome::MayHaveRun;
    }
    let verdict = upstream.run();
    if killed == Killed::AfterDispatch {
        return CallerOutcome::MayHaveRun;
    }

    // A failure of the table does not change the answer to this caller.
    before_settling();
    if verdict == Verdict::NotRun {
        let _ = claims.release(&held).await;
        return CallerOutcome::NotRun;
    }
    let _ = claims.record(&held, outcome(b"{}")).await;
    CallerOutcome::Answer
}

#[tokio::test]
async fn verify_a_repeat_gets_the_true_outcome_after_each_fault() {
    // Guards against a request that runs twice, or that is reported as not run although it ran. The
    // table fails around the claim, or the instance is killed; the caller repeats the request, which
    // reaches another instance. An unknown outcome must not be taken for a run or for no run.
    for case in fault_cases() {
        let mut site = Site::new();
        let (first, view) = site.instance();
        let mut upstream = Upstream::default();
        upstream.refuses = case.refuses;
        // The first claim reads the epoch, so that each case's losses apply to the claim itself.
        won(first.claim(&request("other", "", 9)).await);

        (case.at_claim)(&view.faults());
        let settling = || (case.at_settling)(&view.faults());
        let first_answer = serve(&first, 1, &upstream, case.killed, settling).await;
        site.platform.land_late_writes();
        upstream.refuses = false;
        let (second, _) = site.instance();
        let second_answer = serve(&second, 2, &upstream, Killed::Never, || ()).await;

        assert_eq!([first_answer, second_answer], case.answers, "{}", case.name);
        assert_eq!(upstream.runs(), case.runs, "{}", case.name);
    }
}

#[tokio::test]
async fn verify_a_doubtful_claim_is_freed_later() {
    for loss in [Loss::BeforeEffect, Loss::AfterEffect, Loss::LateEffect] {
        let mut site = Site::new();
        let (first, view) = site.instance();
        won(first.claim(&request("other", "", 9)).await);
        view.faults().lose_next_writes(3, loss);
        let held = doubtful(first.claim(&request("k", "body", 1)).await);

        first.release(&held).await.unwrap();
        site.platform.land_late_writes();

        let (second, _) = site.instance();
        let repeat = second.claim(&request("k", "body", 2)).await;
        assert_eq!(caller_outcome(&repeat), CallerOutcome::Answer, "{loss:?}");
    }
}

#[tokio::test]
async fn verify_releasing_a_doubtful_claim_does_not_release_another() {
    // Guards against a request that runs twice after an instance reaches the table again. A's claim
    // has no effect and is abandoned; B claims and dispatches; A releases its claim in doubt; C claims
    // the key and dispatches. The release must not rely on the row's version alone, because B's row
    // has the version that A's would have had.
    let mut site = Site::new();
    let (first, view) = site.instance();
    won(first.claim(&request("other", "", 9)).await);
    view.faults().lose_next_writes(3, Loss::BeforeEffect);
    let doubt = doubtful(first.claim(&request("k", "body", 1)).await);
    let (second, _) = site.instance();
    won(second.claim(&request("k", "body", 2)).await);

    first.release(&doubt).await.unwrap();

    let (third, _) = site.instance();
    let repeat = third.claim(&request("k", "body", 3)).await;
    assert_eq!(caller_outcome(&repeat), CallerOutcome::MayHaveRun);
}

#[tokio::test]
async fn verify_a_key_belongs_to_its_body() {
    let mut site = Site::new();
    let (first, _) = site.instance();
    let held = won(first.claim(&request("k", "body", 1)).await);
    let other_body = request("k", "another body", 2);

    let while_claimed = first.claim(&other_body).await;
    first.release(&held).await.unwrap();
    let while_released = first.claim(&other_body).await;
    let held = won(first.claim(&request("k", "body", 3)).await);
    first.record(&held, outcome(b"{}")).await.unwrap();
    let once_recorded = first.claim(&other_body).await;

    let all =
        [while_claimed, while_released, once_recorded].map(|outcome| caller_outcome(&outcome));
    assert_eq!(all, [CallerOutcome::KeyReused; 3]);
}

#[tokio::test]
async fn verify_a_repeat_gets_the_same_answer() {
    let large = vec![b'x'; ClaimOptions::default().max_body_bytes + 1];
    let cases: [(&[u8], StoredBody); 3] = [
        (b"{\"sent\":1}", StoredBody::Text { text: "{\"sent\":1}".to_owned() }),
        (&[0xff, 0], StoredBody::Binary { digits: "ff00".to_owned() }),
        (&large, StoredBody::TooLarge { len: large.len() }),
    ];

    for (body, stored) in cases {
        let mut site = Site::new();
        let (first, _) = site.instance();
        let held = won(first.claim(&request("k", "body", 1)).await);
        first.record(&held, outcome(body)).await.unwrap();

        let (second, _) = site.instance();
        let ClaimOutcome::Recorded(replay) = second.claim(&request("k", "body", 2)).await else {
            panic!("no replay");
        };

        let stored_bytes = stored.bytes();
        assert_eq!((replay.status, &replay.body), (200, &stored));
        assert!(stored_bytes.is_none_or(|bytes| bytes == body));
    }
}

#[tokio::test]
async fn verify_a_claim_costs_one_write_before_and_one_after() {
    let mut site = Site::new();
    let (claims, view) = site.instance();
    won(claims.claim(&request("first", "", 1)).await);
    let start = view.counts();

    for attempt in 0..10 {
        let held = won(claims.claim(&request(&format!("k{attempt}"), "", attempt + 10)).await);
        claims.record(&held, outcome(b"{}")).await.unwrap();
    }
    let end = view.counts();
    claims.claim(&request("k0", "", 99)).await;
    let repeat = view.counts();

    assert_eq!((start.reads, start.commits), (1, 2), "an instance's first claim reads the epoch");
    assert_eq!(end.commits - start.commits, 20);
    assert_eq!(end.rows_written - start.rows_written, 20);
    assert_eq!((end.reads, end.scans), (start.reads, start.scans));
    assert_eq!(repeat.commits - end.commits, 1);
    assert_eq!(repeat.rows_written - end.rows_written, 0);
}

#[tokio::test]
async fn verify_nothing_is_tried_past_the_deadline() {
    let mut site = Site::new();
    let (claims, view) = site.instance();
    site.clock.advance(Millis(10));
    let mut late = request("k", "body", 1);
    late.deadline = Millis(10);

    let outcome = claims.claim(&late).await;

    assert!(matches!(outcome, ClaimOutcome::Refused { doubtful: None, .. }), "{outcome:?}");
    assert_eq!(view.counts(), Default::default());
}
