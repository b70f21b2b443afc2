//! Declaring resources in the platform's table, as the operators do.

use std::sync::Arc;

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{Action, Change, Configuration, Expected, ResourceKey};
use anvilhook_daemon::operators::system_wall_time;
use anvilhook_platform::Table;
use anvilhook_store::{ChangeRequest, ConfigurationStore, StoreOptions};
use eyre::WrapErr;
use rand::Rng;

use super::resources::{Declared, name};

/// Declares resources one after the other and returns the configuration that they make.
///
/// # Errors
///
/// The first refusal or failure.
pub async fn declare<T: Table>(
    table: T,
    resources: Vec<Declared>,
    rng: &mut impl Rng,
) -> eyre::Result<Arc<Configuration>> {
    let store = ConfigurationStore::new(table, StoreOptions::new(name::<InstanceName>("operator")));
    let mut cfg = Arc::new(Configuration::default());
    for (resource, spec) in resources {
        let key = ResourceKey { kind: spec.kind(), name: resource };
        let req = ChangeRequest {
            id: ChangeId::random(rng),
            subject: name("operator"),
            at: system_wall_time(),
            change: Change { key: key.clone(), action: Action::Put(spec) },
            expected: Expected::Absent,
        };
        let accepted = store.change(&cfg, &req).await.wrap_err_with(|| format!("declare {key}"))?;
        cfg = accepted.configuration;
    }
    Ok(cfg)
}
