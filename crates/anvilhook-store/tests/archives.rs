//! Tests that archiving the audit trail leaves no gap, whatever interrupts it.

mod fixtures;

use anvilhook_core::resources::Expected;
use anvilhook_core::units::{Millis, Revision, WallTime};
use anvilhook_platform::{ObjectStore, Table};
use anvilhook_store::{ArchiveOptions, ArchiveStep, AuditArchive, Error};
use bytes::Bytes;
use fixtures::{
    CallFault, FaultyPlatform, Platform, declare, empty, platform, put, request, store,
};

/// The time at which the archive runs. The n-th change was made at n seconds.
const NOW: WallTime = WallTime(100_000);

fn archive<P: Table + ObjectStore>(platform: &P) -> AuditArchive<P, P> {
    let options =
        ArchiveOptions { older_than: Millis(90_500), keep_entries: 2, segment_entries: 3 };
    AuditArchive::new(store(platform), platform.clone(), options)
}

async fn archive_all(platform: &Platform) {
    while archive(platform).step(NOW).await.unwrap() != ArchiveStep::Idle {}
}

/// Lists the whole audit trail, page by page.
async fn listed(platform: &Platform) -> Vec<u64> {
    let mut revisions = Vec::new();
    loop {
        let from = Revision(revisions.last().map_or(1, |last| last + 1));
        let page = archive(platform).list(from, 4).await.unwrap();
        if page.is_empty() {
            return revisions;
        }
        revisions.extend(page.iter().map(|entry| entry.revision.0));
    }
}

#[tokio::test]
async fn verify_old_entries_move_and_are_still_listed() {
    // Entries 1 to 9 are old enough. The newest two entries always stay in the table.
    for (changes, kept) in [(2, 2), (5, 2), (9, 2), (12, 3), (20, 11)] {
        let platform = platform();
        declare(&platform, changes).await;

        archive_all(&platform).await;

        assert_eq!(platform.rows("change/").len(), kept, "{changes} changes");
        assert_eq!(platform.rows("change-id/").len(), kept, "{changes} changes");
        assert_eq!(listed(&platform).await, (1..=changes).collect::<Vec<_>>());
    }
}

/// Guards against lost or duplicated parts of the audit trail. The archiver is interrupted at any of
/// its calls, before or after the call's effect, and continues later; the trail is listed in between.
/// Rows must not be removed before their object is safely stored, and no segment may be recorded twice.
#[tokio::test]
async fn verify_an_interruption_at_any_call_leaves_no_gap() {
    for fault in [CallFault::Refused, CallFault::LostBeforeEffect, CallFault::LostAfterEffect] {
        for first in 0..30 {
            let platform = platform();
            declare(&platform, 9).await;
            let faulty = FaultyPlatform::new(&platform, first, usize::MAX, fault);
            while let Ok(step) = archive(&faulty).step(NOW).await
                && step != ArchiveStep::Idle
            {}

            assert_eq!(
                listed(&platform).await,
                (1..=9).collect::<Vec<_>>(),
                "{fault:?} at {first}"
            );
            archive_all(&platform).await;
            assert_eq!(
                listed(&platform).await,
                (1..=9).collect::<Vec<_>>(),
                "{fault:?} at {first}"
            );
            assert_eq!(platform.rows("change/").len(), 2, "{fault:?} at {first}");
        }
    }
}

/// Guards against a gap or an overlap in the archive. Two instances archive concurrently, see a
/// different number of old entries, and both try to add a segment after the same revision.
#[tokio::test]
async fn verify_two_archivers_make_one_trail() {
    let mut overtaken = 0;
    for head_start in 0..12 {
        let platform = platform();
        declare(&platform, 9).await;
        // The second instance's clock is behind, so its segment would be shorter.
        let fast = run(&platform, 0, NOW);
        let slow = run(&platform, head_start, WallTime(NOW.0 - 7_000));

        let (fast, slow) = tokio::join!(fast, slow);

        overtaken += fast + slow;
        assert_eq!(listed(&platform).await, (1..=9).collect::<Vec<_>>(), "{head_start}");
        assert_eq!(platform.rows("change/").len(), 2, "{head_start}");
    }
    assert!(overtaken > 0, "the archivers never competed");
}

/// Runs several archive steps, and returns how often another archiver was faster.
async fn run(platform: &Platform, head_start: usize, now: WallTime) -> usize {
    let faulty = FaultyPlatform::alternating(platform, head_start).await;
    let mut overtaken = 0;
    for _ in 0..12 {
        let step = archive(&faulty).step(now).await.unwrap();
        overtaken += usize::from(step == ArchiveStep::Overtaken);
    }
    overtaken
}

/// Guards against the permanent loss of entries. The object store damages a segment before its rows are
/// removed; its answer to the write is no evidence that the object is still intact.
#[tokio::test]
async fn verify_rows_stay_while_their_object_is_damaged() {
    let platform = platform();
    declare(&platform, 9).await;
    let step = archive(&platform).step(NOW).await.unwrap();
    assert_eq!(step, ArchiveStep::Archived { through: Revision(3) });
    let object = ObjectStore::list(&platform, "audit/").await.unwrap().remove(0);
    platform.put(&object, Bytes::from_static(b"[]")).await.unwrap();

    let err = archive(&platform).step(NOW).await.unwrap_err();

    assert!(matches!(err, Error::BadRow { .. }), "{err}");
    assert_eq!(platform.rows("change/").len(), 9);
}

#[tokio::test]
async fn verify_instances_behind_the_archive_reload_the_configuration() {
    let platform = platform();
    declare(&platform, 9).await;
    let old = std::sync::Arc::new(store(&platform).load_all().await.unwrap());
    declare_after(&platform, 9).await;
    let lagging = std::sync::Arc::new(old.with_change(Revision(3), &put("a3", 1)));
    archive_all(&platform).await;

    let err = store(&platform).changes_since(Revision(3), 10).await.unwrap_err();
    let caught_up = store(&platform).catch_up(&lagging).await.unwrap();

    assert_eq!(err, Error::TooOld { after: Revision(3), oldest: Revision(10) });
    assert_eq!(*caught_up.configuration, store(&platform).load_all().await.unwrap());
}

async fn declare_after(platform: &Platform, count: u64) {
    for n in count + 1..=count + 3 {
        let req = request(u128::from(n), put(&format!("a{n}"), 1), Expected::Absent);
        store(platform).change(&empty(), &req).await.unwrap();
    }
}
