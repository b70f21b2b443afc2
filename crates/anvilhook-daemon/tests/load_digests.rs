//! Tests three instances that poll the load reports of engines for each other.

use std::collections::{BTreeMap, BTreeSet};

use anvilhook_bench::sites::{Site, SiteOptions};
use anvilhook_core::membership::choose_readers;
use anvilhook_core::names::UpstreamName;
use anvilhook_core::units::{Millis, SystemClock};
use anvilhook_daemon::instances::{InstanceHandle, LoadSources};

/// The time between two checks of an awaited condition.
const POLL_INTERVAL: Millis = Millis(20);

/// The time after which a test fails instead of hanging. No other conclusion depends on it.
const TEST_TIMEOUT: Millis = Millis::from_secs(60);

/// The number of load reports that each reader must poll, and of digests that the other instances must
/// receive.
const WINDOW: u64 = 5;

type Fleet = Vec<InstanceHandle<SystemClock>>;

type Snapshot = Vec<BTreeMap<UpstreamName, LoadSources>>;

fn snapshot(fleet: &Fleet) -> Snapshot {
    fleet.iter().map(InstanceHandle::load_sources).collect()
}

/// Returns how much the counts for an engine at an instance grew between two snapshots.
fn added(now: &Snapshot, before: &Snapshot, at: usize, engine: &UpstreamName) -> LoadSources {
    let counts = |snapshot: &Snapshot| snapshot[at].get(engine).copied().unwrap_or_default();
    let (now, before) = (counts(now), counts(before));
    LoadSources {
        read: now.read - before.read,
        read_missed: now.read_missed - before.read_missed,
        digests: now.digests - before.digests,
    }
}

/// Waits until `is_done` holds between the first snapshot and the current one. When `is_interrupted`
/// holds, the current snapshot becomes the first one.
async fn wait_for(
    fleet: &Fleet,
    is_interrupted: impl Fn(&Snapshot, &Snapshot) -> bool,
    is_done: impl Fn(&Snapshot, &Snapshot) -> bool,
) {
    let waiting = async {
        let mut before = snapshot(fleet);
        loop {
            tokio::time::sleep(POLL_INTERVAL.as_duration()).await;
            let now = snapshot(fleet);
            if is_interrupted(&now, &before) {
                before = now;
            } else if is_done(&now, &before) {
                return;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT.as_duration(), waiting)
        .await
        .expect("the condition holds in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_two_poll_and_the_third_receives_digests_until_it_is_partitioned() {
    // Arrange.
    let site = Site::start(&SiteOptions::default()).await.expect("the site starts");
    let mut fleet = Fleet::new();
    for index in 0..3 {
        fleet.push(site.start_instance(index, index as u64).await.expect("an instance"));
    }
    let members = fleet.iter().map(InstanceHandle::announcement);
    let members: Vec<_> = members.map(|known| (&known.instance, &known.zone)).collect();
    let engines: Vec<UpstreamName> =
        (0..site.engines.len()).map(anvilhook_bench::sites::engine_name).collect();
    let readers: BTreeMap<&UpstreamName, BTreeSet<usize>> = engines
        .iter()
        .map(|engine| {
            let names = choose_readers(engine, members.iter().copied());
            let at = |name: &_| members.iter().position(|(known, _)| known == name).expect("one");
            (engine, names.iter().map(at).collect())
        })
        .collect();
    let others = || {
        let pairs = engines.iter().flat_map(|engine| (0..3).map(move |at| (at, engine)));
        pairs.filter(|(at, engine)| !readers[engine].contains(at))
    };

    // Act, assert: for a whole window, only the readers poll, and the third instance receives their
    // digests.
    let is_interrupted = |now: &Snapshot, before: &Snapshot| {
        others().any(|(at, engine)| {
            let added = added(now, before, at, engine);
            added.read + added.read_missed > 0
        })
    };
    let is_done = |now: &Snapshot, before: &Snapshot| {
        let received =
            others().all(|(at, engine)| added(now, before, at, engine).digests >= WINDOW);
        received
            && readers.iter().all(|(engine, readers)| {
                readers.iter().all(|at| added(now, before, *at, engine).read >= WINDOW)
            })
    };
    wait_for(&fleet, is_interrupted, is_done).await;

    // Act, assert: a partitioned instance polls the engines of the others by itself.
    let (partitioned, _) = others().next().expect("an engine that two other instances read");
    fleet[partitioned].stop_peer_link();
    let is_done = |now: &Snapshot, before: &Snapshot| {
        let mut missed = others().filter(|(at, _)| *at == partitioned);
        missed.all(|(at, engine)| added(now, before, at, engine).read_missed >= WINDOW)
    };
    wait_for(&fleet, |_, _| false, is_done).await;

    // The partitioned instance also detects an engine that leaves.
    let (_, engine) = others().find(|(at, _)| *at == partitioned).expect("one");
    let index = engines.iter().position(|known| known == engine).expect("a known engine");
    site.engines[index].set_leaving(true);
    let leaving = async {
        while fleet.iter().any(|instance| instance.takes_work(engine)) {
            tokio::time::sleep(POLL_INTERVAL.as_duration()).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT.as_duration(), leaving).await.expect("all detect it in time");
}
