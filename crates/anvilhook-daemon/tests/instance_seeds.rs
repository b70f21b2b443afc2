//! Instances that were given one seed, by mistake or by a test.

use std::collections::BTreeSet;
use std::path::Path;

use anvilhook_core::names::InstanceName;
use anvilhook_daemon::instances::{Instance, Parts};
use anvilhook_daemon::names::own_generator;
use anvilhook_daemon::settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 7;

/// Starts an instance before a platform that is not there, and returns its name.
async fn started_name() -> InstanceName {
    let text = include_str!("settings/good/minimal.yaml");
    let settings = settings::parse(Path::new("minimal.yaml"), text).expect("good settings");
    let instance = Instance::start(settings, Parts::seeded(SEED)).await.expect("a free port");
    instance.announcement().instance.clone()
}

/// Symptom: an instance takes another's claim, lease or acknowledgement for its own.
/// Sequence: two instances start with the same settings and the same seed.
/// Cause: a name that the seed repeats.
#[tokio::test(flavor = "multi_thread")]
async fn verify_one_seed_gives_no_name_twice() {
    let names = [started_name().await, started_name().await];

    assert_ne!(names[0], names[1]);
}

/// Symptom: an instance takes another's claim for its own, and a request runs twice.
/// Sequence: instances draw the ids of attempts from one seed.
/// Cause: a seed without the instance's name.
#[test]
fn verify_one_seed_gives_no_id_twice() {
    let names = ["entry-a", "entry-b", "entry-ab", "other-a"];

    let draws: BTreeSet<u64> = names.iter().map(|name| first_draw(name)).collect();

    assert_eq!(draws.len(), names.len());
    assert_eq!(first_draw("entry-a"), first_draw("entry-a"), "a name and a seed can be repeated");
}

fn first_draw(name: &str) -> u64 {
    let name = InstanceName::try_new(name).expect("a name");
    own_generator(&name, &mut ChaCha8Rng::seed_from_u64(SEED)).next_u64()
}
