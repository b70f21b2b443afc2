//! Tests epochs and sweeps: how long claims are retained, and that late writes change no newer claim.

use anvilhook_core::names::{UpstreamName, ZoneName};
use anvilhook_core::units::Millis;
use anvilhook_platform::{ListedInstance, ListedState};
use anvilhook_standin::platform::{Loss, Reach, Service};
use anvilhook_store::claims::{ClaimOptions, ClaimOutcome, Sweeper};

use crate::fixtures::{CallerOutcome, Site, caller_outcome, doubtful, outcome, request, won};

#[tokio::test]
async fn verify_claims_can_be_settled_after_a_change_of_epoch() {
    let mut site = Site::new();
    let (first, view) = site.instance();
    let held = won(first.claim(&request("k", "body", 1)).await);
    site.begin_epochs(1).await;
    let start = view.counts();

    first.record(&held, outcome(b"{}")).await.unwrap();
    won(first.claim(&request("k2", "body", 2)).await);

    // The record conflicts with the new epoch and is sent once more; the next claim uses that epoch.
    assert_eq!(view.counts().commits - start.commits, 3);
    assert_eq!(view.counts().reads, start.reads);
}

#[tokio::test]
async fn verify_epochs_begin_only_after_their_whole_length() {
    let mut site = Site::new();
    let (claims, _) = site.instance();
    let epoch = Millis(ClaimOptions::default().retention.0 / 4);
    let mut sweeper = Sweeper::default();
    let present = || site.platform.rows("claim-epoch").first().map(|row| row.version);

    // The sweeper has observed each epoch since the sweep in which the epoch began.
    for (wait, expected) in [(Millis(9), 1), (epoch - Millis(1), 1), (Millis(1), 2), (epoch, 2)] {
        site.clock.advance(wait);
        claims.sweep(&mut sweeper, |_| false).await.unwrap();
        assert_eq!(present(), Some(expected));
    }
}

#[tokio::test]
async fn verify_sweeps_delete_only_what_is_settled_and_old() {
    let mut site = Site::new();
    let (claims, view) = site.instance();
    let mut sweeper = Sweeper::default();
    let recorded = won(claims.claim(&request("recorded", "", 1)).await);
    claims.record(&recorded, outcome(b"{}")).await.unwrap();
    let released = won(claims.claim(&request("released", "", 2)).await);
    claims.release(&released).await.unwrap();
    won(claims.claim(&request("in flight", "", 3)).await);

    // Claims expire only after four whole epochs after the one in which the rows were written.
    site.begin_epochs(4).await;
    let early = claims.sweep(&mut sweeper, |_| true).await.unwrap();
    site.begin_epochs(1).await;
    let in_time = claims.sweep(&mut sweeper, |_| false).await.unwrap();
    let listed = |state| ListedInstance {
        name: UpstreamName::try_new("entry-1").unwrap(),
        address: "127.0.0.1:7000".parse().unwrap(),
        zone: ZoneName::try_new("piraeus").unwrap(),
        state,
    };
    site.platform.enter_instance(listed(ListedState::Leaving));
    let leaving = claims.sweep_listed(&mut sweeper, &view).await.unwrap();
    site.platform.enter_instance(listed(ListedState::Gone));
    view.faults().set_reach_of(Service::Instances, Reach::Refusing);
    let unlisted = claims.sweep_listed(&mut sweeper, &view).await.unwrap();
    view.faults().heal();
    let gone = claims.sweep_listed(&mut sweeper, &view).await.unwrap();

    assert_eq!((early.seen, early.deleted), (3, 0));
    assert_eq!((in_time.deleted, in_time.kept_in_flight), (2, 1));
    assert_eq!((leaving.kept_in_flight, unlisted.kept_in_flight), (1, 1));
    assert_eq!((gone.seen, gone.deleted, gone.kept_in_flight), (1, 1, 0));
    assert!(site.platform.rows("claims/").is_empty());
}

#[tokio::test]
async fn verify_sweeps_go_on_where_the_last_ended() {
    let mut site = Site::new();
    let (claims, _) = site.instance();
    let (other, _) = site.instance();
    let rows = ClaimOptions::default().sweep_rows + 5;
    for attempt in 0..rows as u128 {
        let held = won(claims.claim(&request(&format!("k{attempt}"), "", attempt)).await);
        claims.release(&held).await.unwrap();
    }
    site.begin_epochs(5).await;
    let start = site.platform.counts();

    // The second sweep is made by another instance.
    let first = claims.sweep(&mut Sweeper::default(), |_| false).await.unwrap();
    let second = other.sweep(&mut Sweeper::default(), |_| false).await.unwrap();
    let idle = claims.sweep(&mut Sweeper::default(), |_| false).await.unwrap();

    assert_eq!([first.seen, second.seen], [rows - 5, 5]);
    assert_eq!([first.round_done, second.round_done], [false, true]);
    assert!(site.platform.rows("claims/").is_empty());
    assert_eq!(idle.seen, 0);
    let end = site.platform.counts();
    let cost = (end.commits - start.commits, end.scans - start.scans, end.reads - start.reads);
    assert_eq!(cost, (2, 3, 6));
}

#[tokio::test]
async fn verify_late_writes_do_not_change_a_new_claim() {
    // Guards against a repeat that runs a request again although its outcome was recorded. A write of
    // an old claim is delayed; the row is deleted in a sweep, and a new claim of the key is recorded,
    // so that its row has the version that the old write requires; the old write takes effect. Writes
    // must not rely on the row's version alone.
    for late in ["deletion", "takeover", "record"] {
        let mut site = Site::new();
        let (first, view) = site.instance();
        let held = won(first.claim(&request("k", "body", 1)).await);
        let faults = view.faults();
        match late {
            "deletion" => {
                first.record(&held, outcome(b"{}")).await.unwrap();
                site.begin_epochs(5).await;
                faults.lose_next_writes(1, Loss::LateEffect);
                first.sweep(&mut Sweeper::default(), |_| false).await.unwrap_err();
            }
            "takeover" => {
                first.release(&held).await.unwrap();
                // The first write conflicts with the released row, the second one takes it over.
                faults.pass_next_writes(1);
                faults.lose_next_writes(3, Loss::LateEffect);
                doubtful(first.claim(&request("k", "body", 4)).await);
            }
            _ => {
                faults.lose_next_writes(3, Loss::LateEffect);
                first.record(&held, outcome(b"old")).await.unwrap_err();
            }
        }
        site.begin_epochs(5).await;
        let (second, _) = site.instance();
        second.sweep(&mut Sweeper::default(), |_| true).await.unwrap();
        let new = won(second.claim(&request("k", "body", 2)).await);
        if late != "record" {
            second.record(&new, outcome(b"new")).await.unwrap();
        }

        assert!(site.platform.land_late_writes() > 0, "late {late}");

        let repeat = second.claim(&request("k", "body", 3)).await;
        match repeat {
            ClaimOutcome::Recorded(replay) => assert_eq!(replay, outcome(b"new"), "late {late}"),
            repeat => assert_eq!(caller_outcome(&repeat), CallerOutcome::MayHaveRun, "late {late}"),
        }
    }
}
