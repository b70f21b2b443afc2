//! Tests that a followed configuration is complete, never reverts, and costs few reads.

mod fixtures;

use std::ops::Range;
use std::sync::Arc;

use anvilhook_core::resources::{Configuration, Expected};
use anvilhook_core::units::Revision;
use anvilhook_platform::{Commit, Result, Row, RowKey, Table, Transaction};
use anvilhook_standin::platform::Reach;
use anvilhook_store::histories::History;
use anvilhook_store::{Adoption, ConfigurationFollower, ConfigurationStore, Error, StoreOptions};
use fixtures::{Platform, declare, delete, empty, key, platform, put, request, store};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Returns the configurations after each of the first `count` changes.
async fn states(platform: &Platform, count: u64) -> Vec<Configuration> {
    let entries = store(platform).changes_since(Revision(0), 1_000).await.unwrap();
    let mut cfg = Configuration::default();
    let states = entries.iter().take(count as usize).map(|entry| {
        cfg = cfg.with_change(entry.revision, &entry.change);
        cfg.clone()
    });
    states.collect()
}

/// Guards against an accepted configuration that is temporarily undone on one instance. Results of
/// polls and configurations of peers arrive late, twice and in any order; the newest must be adopted,
/// not the last to arrive.
#[tokio::test]
async fn verify_offers_in_any_order_never_revert() {
    let platform = platform();
    declare(&platform, 6).await;
    let states = states(&platform, 6).await;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..50 {
        let follower = ConfigurationFollower::new(store(&platform));
        let mut offers: Vec<&Configuration> = states.iter().chain(&states).collect();
        offers.shuffle(&mut rng);
        let mut highest = Revision(0);
        let mut revisions = follower.subscribe();

        for offer in offers {
            let adoption = follower.offer(offer.clone());

            let is_newer = offer.revision() > highest;
            highest = highest.max(offer.revision());
            assert_eq!(matches!(adoption, Adoption::Adopted(_)), is_newer);
            assert_eq!(*follower.current(), states[highest.0 as usize - 1]);
            assert_eq!(*revisions.borrow_and_update(), highest);
        }
    }
}

#[tokio::test]
async fn verify_a_poll_reads_one_row_while_nothing_changes_and_then_only_what_is_new() {
    let platform = platform();
    declare(&platform, 40).await;
    let view = platform.for_caller("entry-1");
    let follower = ConfigurationFollower::new(store(&view));
    follower.poll_once().await.unwrap();
    let start = view.counts();

    follower.poll_once().await.unwrap();
    let idle = view.counts();
    let req = request(99, put("new", 1), Expected::Absent);
    store(&platform).change(&empty(), &req).await.unwrap();
    let adoption = follower.poll_once().await.unwrap();
    let changed = view.counts();

    assert_eq!((idle.reads - start.reads, idle.scans - start.scans), (1, 0));
    assert_eq!(adoption, Adoption::Adopted(Revision(41)));
    assert_eq!((changed.reads - idle.reads, changed.scans - idle.scans), (1, 1));
    assert_eq!(*follower.current(), store(&platform).load_all().await.unwrap());
}

#[tokio::test]
async fn verify_outages_and_a_restored_table_do_not_change_the_applied_configuration() {
    let platform = platform();
    declare(&platform, 2).await;
    let follower = ConfigurationFollower::new(store(&platform));
    follower.poll_once().await.unwrap();

    for reach in [Reach::Refusing, Reach::Cut] {
        platform.faults().set_reach(reach);
        assert!(follower.poll_once().await.unwrap_err().is_outage());
        assert_eq!(follower.revision(), Revision(2));
    }

    // The table was restored from an older copy.
    let restored = fixtures::platform();
    declare(&restored, 1).await;
    let follower_of_restored = ConfigurationFollower::new(store(&restored));
    follower_of_restored.offer(Configuration::clone(&follower.current()));
    let err = follower_of_restored.poll_once().await.unwrap_err();
    assert_eq!(err, Error::Reverted { held: Revision(2), head: Revision(1) });
    assert_eq!(follower_of_restored.revision(), Revision(2));
}

#[tokio::test]
async fn verify_a_start_without_the_table_adopts_the_highest_revision_of_the_peers() {
    let platform = platform();
    declare(&platform, 4).await;
    let states = states(&platform, 4).await;
    platform.faults().set_reach(Reach::Refusing);
    let follower = ConfigurationFollower::new(store(&platform));
    assert!(follower.poll_once().await.is_err());

    for held in [1, 3, 0] {
        // Configurations are sent over the peer link as JSON.
        let buf = serde_json::to_vec(&states[held]).unwrap();
        follower.offer(serde_json::from_slice(&buf).unwrap());
    }

    assert_eq!(*follower.current(), states[3]);
    platform.faults().heal();
    assert_eq!(follower.poll_once().await.unwrap(), Adoption::Kept(Revision(4)));
}

#[tokio::test]
async fn verify_an_own_change_is_applied_immediately_and_retained_in_the_history() {
    let platform = platform();
    declare(&platform, 3).await;
    let view = platform.for_caller("entry-1");
    let follower = ConfigurationFollower::new(store(&view));
    follower.poll_once().await.unwrap();

    let req = request(9, delete("a2"), Expected::Present);
    follower.change(&req).await.unwrap();
    let start = view.counts();
    let held = follower.changes_since(Revision(3), 10).await.unwrap();
    let after_held = view.counts();
    let older = follower.changes_since(Revision(1), 10).await.unwrap();

    assert!(follower.current().get(&key("a2")).is_none());
    assert_eq!(held.iter().map(|entry| entry.revision.0).collect::<Vec<_>>(), [4]);
    assert_eq!(start, after_held);
    assert_eq!(older.iter().map(|entry| entry.revision.0).collect::<Vec<_>>(), [2, 3, 4]);
}

/// Revisions, each with the number of retained changes after it, or `None` if some are not retained.
type Held<'a> = &'a [(u64, Option<usize>)];

/// Guards against a watcher that misses a deletion. An instance adopts a later revision from a peer,
/// then polls again. Its history must not continue after the gap as if there were none.
#[tokio::test]
async fn verify_a_history_drops_the_changes_before_a_gap() {
    let platform = platform();
    declare(&platform, 8).await;
    let entries = store(&platform).changes_since(Revision(0), 8).await.unwrap();
    // known entries, applied revision; then the number of retained changes after some revisions
    let steps: [(Range<usize>, u64, Held<'_>); 4] = [
        (0..2, 2, &[(0, Some(2)), (1, Some(1)), (2, Some(0))]),
        (0..0, 5, &[(0, None), (2, None), (4, None), (5, Some(0))]),
        (5..7, 7, &[(4, None), (5, Some(2)), (6, Some(1))]),
        // An entry that is already known is recorded again, and the oldest entry is dropped.
        (6..8, 8, &[(4, None), (5, None), (6, Some(2)), (8, Some(0))]),
    ];
    let mut history = History::new(2);
    for (known, now, held) in steps {
        history.record(&entries[known], Revision(now));

        for (after, count) in held {
            let found = history.since(Revision(*after), 10);
            assert_eq!(found.as_ref().map(Vec::len), *count, "after {after} at {now}");
            let first = found.as_deref().and_then(<[_]>::first);
            assert!(first.is_none_or(|entry| entry.revision.0 == after + 1));
        }
    }
}

/// `ChangingTable` makes two changes before each scan of resources.
#[derive(Clone, Debug)]
struct ChangingTable(Platform, Arc<std::sync::atomic::AtomicU64>);

impl Table for ChangingTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.0.read(key).await
    }

    async fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Result<Vec<Row>> {
        let n = self.1.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        if prefix == "resource/" {
            // One account after the scan's position is deleted, and one before it is created.
            let deleted =
                request(u128::from(100 + 2 * n), delete(&format!("a{}", n + 1)), Expected::Present);
            let created =
                request(u128::from(101 + 2 * n), put(&format!("a0{n}"), 1), Expected::Absent);
            store(&self.0).change(&empty(), &deleted).await.unwrap();
            store(&self.0).change(&empty(), &created).await.unwrap();
        }
        self.0.scan(prefix, after, limit).await
    }

    async fn commit(&self, txn: &Transaction) -> Result<Commit> {
        self.0.commit(txn).await
    }
}

/// Guards against an instance that starts with a configuration that never existed, because some changes
/// are missing. It scans all resources in pages while operators change them, so the pages are of
/// different revisions.
#[tokio::test]
async fn verify_a_scan_during_changes_gives_a_complete_configuration() {
    let platform = platform();
    declare(&platform, 9).await;
    let mut options = StoreOptions::new("entry-1".parse().unwrap());
    options.page_rows = 2;
    let racing = ConfigurationStore::new(ChangingTable(platform.clone(), Arc::default()), options);

    let loaded = racing.load_all().await.unwrap();

    let count = loaded.revision().0;
    assert!(count > 9, "no changes were made during the scan");
    assert_eq!(loaded, states(&platform, count).await[count as usize - 1]);
}
