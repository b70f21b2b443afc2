//! Reports the state of the system, and what a resource waits for.

use std::sync::Arc;

use anvilhook_api::{InstanceAnswer, LeaseAnswer, Observation, StatusAnswer, WhyAnswer};
use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::{AuditEntry, ConditionState, Resource, ResourceKey};
use anvilhook_core::units::Revision;
use anvilhook_platform::{ObjectStore, Table};
use anvilhook_store::{Error, InstanceRecord, Result, StatusRecord};

use super::OperatorApi;
use super::endpoints::{Answer, Call, not_found, ok};
use super::leases::LeaseSource;
use super::resources::key_of;

/// Answers with the instances, their applied revisions, and the lease holders.
pub(super) async fn status<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    _call: Call,
) -> Answer {
    let instance = api.follower.store().instance().clone();
    let in_force = api.follower.revision();
    let answer = match fleet(&api).await {
        Ok(Fleet { head, instances, leases }) => {
            let instances = instances.into_iter().map(|record| with_lag(record, head)).collect();
            let head = Some(head);
            StatusAnswer { instance, in_force, head, missing: None, instances, leases }
        }
        Err(err) => {
            let missing = Some(err.to_string());
            let (instances, leases) = (Vec::new(), Vec::new());
            StatusAnswer { instance, in_force, head: None, missing, instances, leases }
        }
    };
    Ok(ok(&answer))
}

/// `Fleet` is the state of the instances in the table.
struct Fleet {
    head: Revision,
    instances: Vec<InstanceRecord>,
    leases: Vec<LeaseAnswer>,
}

async fn fleet<T: Table, O: ObjectStore, L: LeaseSource>(
    api: &OperatorApi<T, O, L>,
) -> Result<Fleet> {
    let head = api.follower.store().head().await?.map_or(Revision::default(), |head| head.revision);
    let instances = api.instances.list().await?;
    let leases = api.leases.leases().await?;
    Ok(Fleet { head, instances, leases })
}

fn with_lag(record: InstanceRecord, head: Revision) -> InstanceAnswer {
    InstanceAnswer {
        name: record.name,
        zone: record.zone,
        peer_address: record.peer_address,
        revision: record.revision,
        since: record.since,
        lag: head.0.saturating_sub(record.revision.0),
    }
}

/// Answers why a resource is not in its declared state.
pub(super) async fn why<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    call: Call,
) -> Answer {
    let key = key_of(&call)?;
    let wanted = api.follower.current().get(&key).map(|found| Resource::clone(found));
    let (known, missing) = match observe(&api, &key, wanted.as_ref()).await {
        Ok(known) => (known, None),
        Err(err) => (Known::default(), Some(err.to_string())),
    };
    if wanted.is_none() && known.observed.is_empty() && missing.is_none() {
        return Err(not_found(format!("{key} does not exist, and nothing was observed of it")));
    }
    let is_waiting = |seen: &&Observation| seen.condition.state != ConditionState::True;
    let waiting = known.observed.iter().filter(is_waiting).cloned().collect();
    let Known { observed, last_change, lagging } = known;
    Ok(ok(&WhyAnswer { key, wanted, observed, waiting, last_change, lagging, missing }))
}

/// `Known` is the state of a resource in the table, without its declaration.
#[derive(Default)]
struct Known {
    observed: Vec<Observation>,
    last_change: Option<AuditEntry>,
    lagging: Vec<InstanceName>,
}

async fn observe<T: Table, O: ObjectStore, L: LeaseSource>(
    api: &OperatorApi<T, O, L>,
    key: &ResourceKey,
    wanted: Option<&Resource>,
) -> Result<Known> {
    let observed = api.statuses.of(key).await?.into_iter().map(to_observation).collect();
    let Some(wanted) = wanted else { return Ok(Known { observed, ..Known::default() }) };
    let last_change = match api.archive.list(wanted.version, 1).await {
        Ok(entries) => entries.into_iter().next(),
        // While the object store is unavailable, only an archived change is missing in the answer.
        Err(Error::Platform(err)) => {
            log::warn!("failed to read the change that declared {key}: {err}");
            None
        }
        Err(err) => return Err(err),
    };
    let instances = api.instances.list().await?;
    let behind = instances.into_iter().filter(|record| record.revision < wanted.version);
    let lagging = behind.map(|record| record.name).collect();
    Ok(Known { observed, last_change, lagging })
}

fn to_observation(record: StatusRecord) -> Observation {
    Observation { observer: record.observer, condition: record.condition }
}
