//! Three instances that read engines for each other.

use std::collections::{BTreeMap, BTreeSet};

use anvilhook_bench::sites::{Site, SiteOptions};
use anvilhook_core::membership::choose_readers;
use anvilhook_core::names::UpstreamName;
use anvilhook_core::units::{Millis, SystemClock};
use anvilhook_daemon::instances::{InstanceHandle, LoadSources};

/// The pause between two looks at something that is being waited for.
const LOOK_AGAIN: Millis = Millis(20);

/// A guard against a test that hangs; no test's outcome depends on it.
const GUARD: Millis = Millis::from_secs(60);

/// How many readings by each reader, and digests told to the others, are looked at.
const WINDOW: u64 = 5;

type Fleet = Vec<InstanceHandle<SystemClock>>;

type Seen = Vec<BTreeMap<UpstreamName, LoadSources>>;

fn look(fleet: &Fleet) -> Seen {
    fleet.iter().map(InstanceHandle::load_sources).collect()
}

/// Returns what was added for an engine at an instance since an earlier look.
fn added(now: &Seen, before: &Seen, at: usize, engine: &UpstreamName) -> LoadSources {
    let of = |seen: &Seen| seen[at].get(engine).copied().unwrap_or_default();
    let (now, before) = (of(now), of(before));
    LoadSources {
        read: now.read - before.read,
        read_missed: now.read_missed - before.read_missed,
        digests: now.digests - before.digests,
    }
}

/// Waits until `is_done` holds of what was added since a look that `is_void` did not void.
async fn wait_for(
    fleet: &Fleet,
    is_void: impl Fn(&Seen, &Seen) -> bool,
    is_done: impl Fn(&Seen, &Seen) -> bool,
) {
    let waiting = async {
        let mut before = look(fleet);
        loop {
            tokio::time::sleep(LOOK_AGAIN.as_duration()).await;
            let now = look(fleet);
            if is_void(&now, &before) {
                before = now;
            } else if is_done(&now, &before) {
                return;
            }
        }
    };
    tokio::time::timeout(GUARD.as_duration(), waiting).await.expect("it comes to hold");
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_two_read_and_the_third_is_told_until_the_link_is_cut() {
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

    // Act, assert: for a whole window, only the readers read, and the third is told by them.
    let is_void = |now: &Seen, before: &Seen| {
        others().any(|(at, engine)| {
            let added = added(now, before, at, engine);
            added.read + added.read_missed > 0
        })
    };
    let is_done = |now: &Seen, before: &Seen| {
        let told = others().all(|(at, engine)| added(now, before, at, engine).digests >= WINDOW);
        told && readers.iter().all(|(engine, readers)| {
            readers.iter().all(|at| added(now, before, *at, engine).read >= WINDOW)
        })
    };
    wait_for(&fleet, is_void, is_done).await;

    // Act, assert: cut off, an instance reads the others' engines by itself.
    let (cut, _) = others().next().expect("some engine is read by two others");
    fleet[cut].stop_peer_link();
    let is_done = |now: &Seen, before: &Seen| {
        let mut missed = others().filter(|(at, _)| *at == cut);
        missed.all(|(at, engine)| added(now, before, at, engine).read_missed >= WINDOW)
    };
    wait_for(&fleet, |_, _| false, is_done).await;

    // An engine that leaves is noticed all the same.
    let (_, engine) = others().find(|(at, _)| *at == cut).expect("one");
    let index = engines.iter().position(|known| known == engine).expect("a known engine");
    site.engines[index].set_leaving(true);
    let leaving = async {
        while fleet.iter().any(|instance| instance.takes_work(engine)) {
            tokio::time::sleep(LOOK_AGAIN.as_duration()).await;
        }
    };
    tokio::time::timeout(GUARD.as_duration(), leaving).await.expect("all notice");
}
