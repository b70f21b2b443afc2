//! Declares resources in the platform's table, as the operators do.

use std::sync::Arc;

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{Action, Change, Configuration, Expected, ResourceKey};
use anvilhook_daemon::operators::system_wall_time;
use anvilhook_platform::Table;
use anvilhook_store::{ChangeRequest, ConfigurationStore, StoreOptions};
use eyre::WrapErr;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::resources::{Declared, name};

/// Declares resources at a running site, or replaces their specs, one after the other.
///
/// # Errors
///
/// Returns the first refusal or failure.
pub async fn redeclare<T: Table>(table: &T, resources: Vec<Declared>) -> eyre::Result<()> {
    let options = StoreOptions::new(name::<InstanceName>("operator"));
    let store = ConfigurationStore::new(table.clone(), options);
    let mut cfg = Arc::new(store.load_all().await?);
    // Seeding with the revision makes the IDs differ from those of earlier declarations.
    let mut rng = ChaCha8Rng::seed_from_u64(cfg.revision().0);
    for declared in resources {
        cfg = declare_one(&store, &cfg, declared, &mut rng).await?;
    }
    Ok(())
}

/// Declares resources one after the other in an empty table and returns the resulting
/// configuration.
///
/// # Errors
///
/// Returns the first refusal or failure.
pub async fn declare<T: Table>(
    table: T,
    resources: Vec<Declared>,
    rng: &mut impl Rng,
) -> eyre::Result<Arc<Configuration>> {
    let store = ConfigurationStore::new(table, StoreOptions::new(name::<InstanceName>("operator")));
    let mut cfg = Arc::new(Configuration::default());
    for declared in resources {
        cfg = declare_one(&store, &cfg, declared, rng).await?;
    }
    Ok(cfg)
}

async fn declare_one<T: Table>(
    store: &ConfigurationStore<T>,
    cfg: &Arc<Configuration>,
    (resource, spec): Declared,
    rng: &mut impl Rng,
) -> eyre::Result<Arc<Configuration>> {
    let key = ResourceKey { kind: spec.kind(), name: resource };
    let expected =
        cfg.get(&key).map_or(Expected::Absent, |current| Expected::Version(current.version));
    let req = ChangeRequest {
        id: ChangeId::random(rng),
        subject: name("operator"),
        at: system_wall_time(),
        change: Change { key: key.clone(), action: Action::Put(spec) },
        expected,
    };
    let accepted = store.change(cfg, &req).await.wrap_err_with(|| format!("declare {key}"))?;
    Ok(accepted.configuration)
}
