//! Instances that start with the same seed, by mistake or in a test.

use std::collections::BTreeSet;
use std::path::Path;

use anvilhook_core::names::InstanceName;
use anvilhook_daemon::instances::{Instance, Parts};
use anvilhook_daemon::names::own_generator;
use anvilhook_daemon::settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 7;

/// Starts an instance whose platform is unreachable, and returns its name.
async fn started_name() -> InstanceName {
    let text = include_str!("settings/good/minimal.yaml");
    let settings = settings::parse(Path::new("minimal.yaml"), text).expect("good settings");
    let instance = Instance::start(settings, Parts::seeded(SEED)).await.expect("a free port");
    instance.announcement().instance.clone()
}

/// Guards against an instance that mistakes another's claim, lease or acknowledgement for its own: two
/// instances start with the same settings and seed, and the seed gives both the same name.
#[tokio::test(flavor = "multi_thread")]
async fn verify_one_seed_gives_no_name_twice() {
    let names = [started_name().await, started_name().await];

    assert_ne!(names[0], names[1]);
}

/// Guards against a request that runs twice because an instance mistakes another's claim for its own:
/// instances draw the ids of attempts from the same seed, and the generator ignores the instance's name.
#[test]
fn verify_one_seed_gives_no_id_twice() {
    let names = ["entry-a", "entry-b", "entry-ab", "other-a"];

    let draws: BTreeSet<u64> = names.iter().map(|name| first_draw(name)).collect();

    assert_eq!(draws.len(), names.len());
    assert_eq!(
        first_draw("entry-a"),
        first_draw("entry-a"),
        "the same name and seed give the same ids"
    );
}

fn first_draw(name: &str) -> u64 {
    let name = InstanceName::try_new(name).expect("a name");
    own_generator(&name, &mut ChaCha8Rng::seed_from_u64(SEED)).next_u64()
}
