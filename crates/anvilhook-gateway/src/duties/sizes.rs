//! Orders engines as [`anvilhook_core::fleet_size`] decides.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use anvilhook_core::fleet_size::{
    EngineKind, FleetPlanner, ScalingSpec, SizeAnswer, SizeOptions, SizeOrder, ZoneEngines,
};
use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use serde::{Deserialize, Serialize};

use super::DutyRunner;
use super::records::{Record, RecordValue};
use crate::clouds::{Authority, Cloud, CloudAnswer, FleetOrder};
use crate::events::{DutyEvent, emit};
use crate::fleets::Upstream;
use crate::followers::LIST_SOURCE;
use crate::relay::Gateway;
use crate::tables::{Table, TableError};
use crate::wires::Wire;

/// The maximum age of the upstream table from which orders are decided.
const MAX_LIST_AGE: Millis = Millis(6_000);

/// The interval at which the number of engines and their use are logged.
const LOG_INTERVAL: Millis = Millis(2_000);

/// The row of the number of engines that each service had before any were ordered.
const SIZE_ROW: &str = "sizes";

/// `UsualSizes` stores how many engines each service had before any were ordered.
///
/// A later holder of the lease also sees the engines that were ordered. Without the stored number it would
/// count them among the usual ones.
pub(super) struct UsualSizes<T> {
    record: Record<T, Sizes>,
    known: HashSet<Arc<str>>,
    /// The epoch of the store in which the known sizes were read.
    epoch: u64,
}

/// `Sizes` are the usual numbers of engines by service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
struct Sizes(BTreeMap<Arc<str>, u32>);

impl RecordValue for Sizes {
    fn recover(&mut self, earlier: Self) {
        for (service, size) in earlier.0 {
            self.0.entry(service).or_insert(size);
        }
    }
}

impl<T: Table> UsualSizes<T> {
    /// Creates the sizes with none read yet.
    pub fn new(table: T) -> Self {
        Self { record: Record::new(table, SIZE_ROW), known: HashSet::new(), epoch: 0 }
    }

    /// Has the sizes read and written again if the store was restored.
    fn follow(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.known.clear();
        }
    }

    fn is_known(&self, service: &str) -> bool {
        self.known.contains(service)
    }

    /// Returns the stored size of a service, and stores `own` first if there is none.
    async fn find_or_write(&mut self, service: &Arc<str>, own: u32) -> Result<u32, TableError> {
        let write = |sizes: &Sizes| match sizes.0.get(service) {
            Some(size) => (None, *size),
            None => {
                let mut next = sizes.clone();
                next.0.insert(Arc::clone(service), own);
                (Some(next), own)
            }
        };
        let size = self.record.change(self.epoch, write).await?;
        self.known.insert(Arc::clone(service));
        Ok(size)
    }
}

/// `PendingOrder` is an order with the data that it was decided from.
struct PendingOrder {
    service: Arc<str>,
    spec: ScalingSpec,
    size: SizeOrder,
    has: u32,
}

impl<W: Wire, T: Table, C: Clock, P: Cloud> DutyRunner<W, T, C, P> {
    /// Orders engines where there are too few or too many, if this instance is responsible for it.
    pub(super) async fn size_fleets(&mut self, rank: usize, options: SizeOptions) {
        let pending = self.pending_orders(options);
        // Instances of later rank update their planners too, but act only while they hold the lease.
        if rank > 0 && !self.lease.is_held() {
            return;
        }
        for order in pending {
            if !self.knows_usual_size(&order.service).await {
                return;
            }
            self.order_engines(order).await;
        }
    }

    /// Returns whether the planner already uses the usual number of engines that the first holder stored. If
    /// it does not, reads that number from the table, and the planner uses it from the next check on.
    async fn knows_usual_size(&mut self, service: &Arc<str>) -> bool {
        self.usual_sizes.follow(self.lease.epoch());
        if self.usual_sizes.is_known(service) {
            return true;
        }
        let Some(planner) = self.planners.get_mut(service) else { return false };
        let Some(own) = planner.usual() else { return false };
        match self.usual_sizes.find_or_write(service, own).await {
            Ok(usual) => planner.set_usual(usual),
            Err(err) => emit(&DutyEvent::DutyDelayed { duty: "sizes", cause: err.to_string() }),
        }
        false
    }

    fn pending_orders(&mut self, options: SizeOptions) -> Vec<PendingOrder> {
        let Some(config) = self.gateway.config() else { return Vec::new() };
        let now = self.clock.now();
        let is_logged = self.logged_at.is_none_or(|at| at + LOG_INTERVAL <= now);
        if is_logged {
            self.logged_at = Some(now);
        }
        let is_stale = list_age(&self.gateway, now).is_none_or(|age| age > MAX_LIST_AGE);
        let view = self.gateway.fleet().view();
        let mut pending = Vec::new();
        for service in config.services() {
            let Some(spec) = &service.scaling else { continue };
            let listed = view.of_service(&service.name);
            let planner = self.planners.entry(Arc::clone(&service.name));
            let planner = planner.or_insert_with(|| FleetPlanner::new(options));
            if is_stale {
                continue;
            }
            let zones = engines_by_zone(listed);
            if is_logged {
                emit(&DutyEvent::FleetSeen {
                    service: &service.name,
                    regular: zones.iter().map(|zone| zone.regular).sum(),
                    reclaimable: zones.iter().map(|zone| zone.reclaimable).sum(),
                    used: (engines_in_use(listed, now) * 100.0) as u32,
                    usual: planner.usual(),
                });
            }
            for size in planner.orders(spec, &zones, now) {
                let zone = zones.iter().find(|zone| zone.zone == size.zone);
                let has = zone.map_or(0, |zone| match size.kind {
                    EngineKind::Regular => zone.regular,
                    EngineKind::Reclaimable => zone.reclaimable,
                });
                let (service, spec) = (Arc::clone(&service.name), spec.clone());
                pending.push(PendingOrder { service, spec, size, has });
            }
        }
        pending
    }

    async fn order_engines(&mut self, pending: PendingOrder) {
        let Some(lease) = self.hold().await else { return };
        let authority = Authority { holder: self.lease.holder(), token: lease.token };
        let order = FleetOrder { service: pending.service, size: pending.size };
        let answer = self.cloud.size_fleet(authority, &order).await;
        let FleetOrder { service, size } = order;
        let now = self.clock.now();
        let Some(planner) = self.planners.get_mut(&service) else { return };
        let outcome = match answer {
            CloudAnswer::Accepted => SizeAnswer::Taken,
            // Either no engines are available, or another instance holds the lease; reloading it shows which.
            CloudAnswer::Conflict => SizeAnswer::Unavailable,
            CloudAnswer::Busy | CloudAnswer::Wrong | CloudAnswer::NoAnswer => SizeAnswer::Unknown,
        };
        planner.record_answer(&pending.spec, &size, pending.has, outcome, now);
        emit(&DutyEvent::FleetOrdered {
            service: &service,
            zone: &size.zone,
            reclaimable: size.kind == EngineKind::Reclaimable,
            has: pending.has,
            desired: size.desired,
            reason: size.reason,
            list_age_ms: list_age(&self.gateway, now).map(|age| age.0),
            token: lease.token,
            outcome: answer.as_str(),
        });
        if answer == CloudAnswer::Conflict {
            self.lease.reload();
        }
    }
}

fn list_age<W: Wire, C: Clock>(gateway: &Gateway<W, C>, now: Millis) -> Option<Millis> {
    gateway.metrics().source_age(LIST_SOURCE, now)
}

/// Returns how many engines the current work would fully occupy, estimated from all instances' requests.
fn engines_in_use(listed: &[Arc<Upstream>], now: Millis) -> f64 {
    let staying = listed.iter().filter(|one| !one.is_leaving());
    let uses = staying.map(|one| {
        let work = one.state.work(now);
        let taken = f64::from(work.in_flight) / f64::from(one.entry.slots.max(1));
        match one.role() {
            Some(Role::Prefill) => f64::from(u32::from(work.reading_ms > 0.0)),
            Some(Role::Decode | Role::Mixed) => taken,
            None => 0.0,
        }
    });
    uses.sum()
}

/// Returns the numbers of engines that don't leave, by availability zone. Zones in which all engines leave
/// are included.
fn engines_by_zone(listed: &[Arc<Upstream>]) -> Vec<ZoneEngines> {
    let mut zones: BTreeMap<Arc<str>, ZoneEngines> = BTreeMap::new();
    for upstream in listed {
        let zone = &upstream.entry.zone;
        let engines = zones.entry(Arc::clone(zone)).or_insert_with(|| ZoneEngines {
            zone: Arc::clone(zone),
            regular: 0,
            reclaimable: 0,
        });
        if upstream.is_leaving() {
            continue;
        }
        match upstream.entry.reclaimable {
            true => engines.reclaimable += 1,
            false => engines.regular += 1,
        }
    }
    zones.into_values().collect()
}
