//! Tests which instance scans the records, how many rows the fleet reads, and how soon changes of the
//! members become known.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::names::{InstanceName, ZoneName};
use anvilhook_core::units::{Clock, ManualClock, Millis, Revision, WallTime};
use anvilhook_platform::{Commit, Result, Row, RowKey, Table, Transaction};
use anvilhook_standin::platform::{LocalPlatform, Loss, PlatformOptions};
use anvilhook_store::{InstanceDirectory, InstanceRecord, MembershipFollower, MembershipOptions};
use futures_util::future::join_all;
use tokio::task::yield_now;

const STEP: Millis = Millis(100);

/// `CountedTable` counts the calls that read from the table, and the rows read.
#[derive(Clone, Debug)]
struct CountedTable {
    table: LocalPlatform<ManualClock>,
    calls: Arc<AtomicU64>,
    rows: Arc<AtomicU64>,
}

impl CountedTable {
    fn count(&self, rows: usize) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.rows.fetch_add(rows as u64, Ordering::Relaxed);
    }

    fn take(&self) -> (u64, u64) {
        (self.calls.swap(0, Ordering::Relaxed), self.rows.swap(0, Ordering::Relaxed))
    }
}

impl Table for CountedTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.count(1);
        yield_now().await;
        self.table.read(key).await
    }

    async fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Result<Vec<Row>> {
        let rows = self.table.scan(prefix, after, limit).await?;
        self.count(rows.len());
        yield_now().await;
        Ok(rows)
    }

    async fn commit(&self, txn: &Transaction) -> Result<Commit> {
        self.table.commit(txn).await
    }
}

struct Instance {
    name: InstanceName,
    follower: MembershipFollower<CountedTable, ManualClock>,
    next_poll: Millis,
    runs: bool,
}

struct Fleet {
    clock: ManualClock,
    platform: LocalPlatform<ManualClock>,
    table: CountedTable,
    instances: Vec<Instance>,
}

impl Fleet {
    /// Starts a fleet of announced instances that poll at different times.
    async fn start(count: usize) -> Fleet {
        let clock = ManualClock::new();
        let platform = LocalPlatform::new(clock.clone(), PlatformOptions::default());
        let (calls, rows) = (Arc::default(), Arc::default());
        let table = CountedTable { table: platform.clone(), calls, rows };
        let mut fleet = Fleet { clock, platform, table, instances: Vec::new() };
        for _ in 0..count {
            fleet.join().await;
        }
        fleet
    }

    async fn join(&mut self) {
        let index = self.instances.len();
        let name = InstanceName::try_new(&format!("entry-{index}")).unwrap();
        let record = InstanceRecord {
            name: name.clone(),
            peer_address: SocketAddr::from(([10, 0, 0, 1], 9_000 + index as u16)),
            zone: ZoneName::try_new("piraeus").unwrap(),
            revision: Revision(1),
            since: WallTime(0),
        };
        InstanceDirectory::new(self.platform.clone()).announce(&record).await.unwrap();
        let options = MembershipOptions::default();
        let (table, clock) = (self.table.clone(), self.clock.clone());
        let follower = MembershipFollower::new(table, clock.clone(), name.clone(), options);
        let next_poll = clock.now() + Millis((index as u64 * 37) % 1_000);
        self.instances.push(Instance { name, follower, next_poll, runs: true });
    }

    async fn run_for(&mut self, span: Millis) {
        let end = self.clock.now() + span;
        while self.clock.now() < end {
            self.clock.advance(STEP);
            let now = self.clock.now();
            self.platform.land_late_writes();
            let due = |instance: &&mut Instance| instance.runs && instance.next_poll <= now;
            // Instances that are due within one step poll at the same time, so that they collide.
            let polls = self.instances.iter_mut().filter(due).map(|instance| async move {
                let _ = instance.follower.poll(true).await;
                instance.next_poll = now + instance.follower.pause();
            });
            join_all(polls).await;
        }
    }

    /// Runs until the members of all running instances are exactly the instances with a record, and
    /// returns how long that takes.
    async fn converge(&mut self, limit: Millis, case: &str) -> Millis {
        let started_at = self.clock.now();
        let records = InstanceDirectory::new(self.platform.clone()).list().await.unwrap();
        let expected: BTreeSet<InstanceName> = records.into_iter().map(|one| one.name).collect();
        let knows = |instance: &Instance| {
            let members = instance.follower.members().iter();
            members.map(|member| member.name.clone()).collect::<BTreeSet<_>>() == expected
        };
        while !self.instances.iter().filter(|one| one.runs).all(knows) {
            assert!(self.clock.now() - started_at < limit, "{case}: not after {limit}");
            self.run_for(STEP).await;
        }
        self.clock.now() - started_at
    }
}

/// Guards against table reads that grow with the square of the number of instances until the table
/// refuses calls, because every instance reads every other's record every few seconds.
#[tokio::test]
async fn verify_rows_read_do_not_grow_with_the_square_of_the_fleet() {
    // The number of instances, and the maximum number of calls and rows per second.
    let cases =
        [(3, 4.0, 5.0), (9, 10.0, 12.0), (27, 29.0, 35.0), (81, 42.0, 60.0), (390, 42.0, 90.0)];
    for (count, max_calls, max_rows) in cases {
        let mut fleet = Fleet::start(count).await;
        fleet.run_for(Millis::from_secs(30)).await;
        fleet.table.take();

        fleet.run_for(Millis::from_secs(120)).await;

        let (calls, rows) = fleet.table.take();
        let (calls, rows) = (calls as f64 / 120.0, rows as f64 / 120.0);
        println!("{count} instances: {calls:.1} reads and {rows:.1} rows per second");
        assert!(calls <= max_calls && rows <= max_rows, "{count}: {calls} calls, {rows} rows");
    }
}

/// Guards against a new instance that knows no peers for a long time, or that has to read the record of
/// every instance itself. An instance joins a running fleet.
#[tokio::test]
async fn verify_a_new_instance_knows_all_members_after_two_reads() {
    // The number of instances, and the maximum time until all know of the new one, whenever it joins.
    for (count, limit) in [(3, 2_500), (81, 4_500), (390, 13_000)] {
        let mut longest = Millis::ZERO;
        for phase in [0, 1_300, 2_600, 3_900] {
            let mut fleet = Fleet::start(count).await;
            fleet.run_for(Millis(30_000 + phase)).await;
            fleet.join().await;
            fleet.table.take();

            let joined = fleet.instances.last_mut().unwrap();
            let report = joined.follower.poll(true).await.unwrap();

            assert!(report.changed && !report.scanned, "{count}");
            assert_eq!(joined.follower.members().len(), count);
            assert_eq!(fleet.table.take(), (2, 2), "{count}");
            let took = fleet.converge(Millis(limit), &format!("{count}, {phase}")).await;
            longest = longest.max(took);
        }
        println!("{count} instances: a new one is known to all after at most {longest}");
    }
}

/// Guards against scans that stop, so that joins and leaves are not noticed any more. Any number of
/// instances are killed, including those that scan; or the answers to the writes after scans are lost.
/// Other instances must continue the scans.
#[tokio::test]
async fn verify_scans_go_on_after_any_loss() {
    for count in [3, 9, 81] {
        for killed in [1, count / 2, count - 1] {
            let case = format!("{killed} of {count} killed");
            let mut fleet = Fleet::start(count).await;
            fleet.converge(Millis::from_secs(15), &case).await;
            let directory = InstanceDirectory::new(fleet.platform.clone());
            for instance in &mut fleet.instances[..killed] {
                instance.runs = false;
                directory.remove(&instance.name).await.unwrap();
            }

            let took = fleet.converge(Millis::from_secs(20), &case).await;

            println!("{case}: known after {took}");
        }
    }
    for loss in [Loss::BeforeEffect, Loss::AfterEffect, Loss::LateEffect] {
        let mut fleet = Fleet::start(9).await;
        fleet.run_for(Millis::from_secs(20)).await;
        fleet.join().await;
        fleet.platform.faults().lose_next_writes(3, loss);
        fleet.converge(Millis::from_secs(60), &format!("{loss:?}")).await;
    }
}
