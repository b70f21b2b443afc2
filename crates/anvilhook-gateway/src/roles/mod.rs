//! Controls how a service's engines are split between reading (prefill) of prompts and generating output.
//!
//! One instance at a time orders engines to change their roles, under a lease.

mod orders;
mod versions;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::splits::{Pressure, WorkMix, next_share, surplus_engines};
use anvilhook_core::units::{Clock, Millis};
use futures_util::future::join_all;

use crate::configs::Config;
use crate::events::{DutyEvent, UpstreamEvent, emit};
use crate::fleets::Upstream;
use crate::leases::{Lease, LeaseManager};
use crate::loads::RoleChange;
use crate::metrics::NameLabel;
use crate::relay::Gateway;
use crate::tables::Table;
use crate::wires::{OrderAnswer, Wire};

use orders::{Change, OrderOutcome, await_role, give_order};
use versions::{spared_by_versions, version_splits};

/// The row of the lease.
const LEASE_ROW: &str = "roles";

/// The pause between two checks of the split.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long after the start the first check is made, so that the engines have been listed.
const STARTUP_DELAY: Duration = Duration::from_millis(5_000);

/// How long an engine gets no further order after one, whatever its outcome.
const SETTLE_TIME: Millis = Millis::from_secs(6);

/// How long an engine that is to change its role may take to complete its running requests. It gets no
/// work until it is listed with the new role, because it would refuse the requests, and they would use up
/// the retry budget.
const MAX_COMPLETION_TIME: Millis = Millis::from_secs(8);

/// How long an engine gets no new work before it is ordered to change its role. In this time the notice
/// reaches instances of all availability zones, and most requests that they sent earlier begin to run.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// How long a notice of a coming order is valid. An order that is not accepted has failed by then.
const NOTICE_TIME: Millis = Millis(2_500);

/// `RoleOptions` configures how engines are split.
#[derive(Clone, Debug)]
pub struct RoleOptions {
    /// The share of a service's engines that read prompts: the initial value, and the maximum.
    pub prefill_share: f64,
    /// How long the split must differ from the wanted one before an order is given.
    pub patience: Millis,
    /// How long a lease is valid.
    pub lease: Millis,
}

/// `RoleController` orders engines to change their roles, under a lease.
pub struct RoleController<W: Wire, T: Table, C: Clock> {
    gateway: Gateway<W, C>,
    clock: C,
    options: RoleOptions,
    lease: LeaseManager<T, C>,
    uneven_since: Option<Millis>,
    settling: HashMap<u32, Millis>,
    /// The current share of readers by service, where it differs from the initial one.
    shares: HashMap<Arc<str>, f64>,
    /// How much of the capacity of each service's engines is used.
    pressures: HashMap<Arc<str>, Pressure>,
}

impl<W: Wire, T: Table, C: Clock> RoleController<W, T, C> {
    /// Creates a controller that holds no lease.
    pub fn new(
        gateway: Gateway<W, C>,
        table: T,
        clock: C,
        holder: String,
        options: RoleOptions,
    ) -> Self {
        let (length, peers) = (options.lease, Arc::clone(gateway.peers()));
        Self {
            gateway,
            lease: LeaseManager::new(table, clock.clone(), LEASE_ROW, holder, length, peers),
            clock,
            options,
            uneven_since: None,
            settling: Default::default(),
            shares: HashMap::new(),
            pressures: HashMap::new(),
        }
    }

    /// Sets how long the split must differ from the wanted one before an order is given.
    pub fn set_patience(&mut self, patience: Millis) {
        self.options.patience = patience;
    }

    /// Controls the split for as long as the process runs.
    pub async fn run(mut self) {
        tokio::time::sleep(STARTUP_DELAY).await;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            // Only the first instance in rank acts, so that the others need not read the lease.
            let is_first = self.gateway.peers().is_first(self.clock.now());
            if self.gateway.is_ready() && is_first {
                self.reconcile().await;
            }
        }
    }

    /// Checks the split once and gives the orders that are due.
    pub async fn reconcile(&mut self) {
        let Some(config) = self.gateway.config() else { return };
        let due = self.due_changes(&config);
        if due.is_empty() {
            self.uneven_since = None;
            return;
        }
        // An engine that restarts is missing only briefly, while a change would make another one unavailable.
        let now = self.clock.now();
        let uneven_since = *self.uneven_since.get_or_insert(now);
        if now < uneven_since + self.options.patience {
            return;
        }
        let Some(lease) = self.lease.hold().await else { return };
        self.gateway.metrics().record_lease(lease.token);
        self.give_notice(&due).await;
        // Orders are sent concurrently: an engine that does not answer must not delay the others' orders.
        let orders = due.iter().map(|change| {
            give_order(&self.gateway, &self.clock, change, self.lease.holder(), lease)
        });
        let outcomes = join_all(orders).await;
        for (change, outcome) in due.into_iter().zip(outcomes) {
            if let Some(outcome) = outcome {
                self.record_outcome(change, outcome, lease);
            }
        }
    }

    fn due_changes(&mut self, config: &Config) -> Vec<Change> {
        let now = self.clock.now();
        self.settling.retain(|_, until| *until > now);
        let view = self.gateway.fleet().view();
        let mut due = Vec::new();
        for service in config.services() {
            let Some(engine) = &service.engine else { continue };
            let listed = view.of_service(&service.name);
            let is_changing =
                |one: &&Arc<Upstream>| one.state.role_change(now, one.role()).is_some();
            let changing = listed.iter().filter(is_changing).count();
            let mix = self.gateway.speeds().mix(&service.name);
            let left = mix.changes_left(listed.len(), changing);
            let changes = self.changes_of(&service.name, listed, &mix, left).into_iter();
            let duration = engine.role_change;
            due.extend(changes.map(|(upstream, role)| Change { upstream, role, duration }));
        }
        due
    }

    /// Returns the changes that bring a service's listed engines closer to the wanted split: at most `left`, or
    /// as many as there are engines that are not needed in their role.
    fn changes_of(
        &mut self,
        service: &Arc<str>,
        listed: &[Arc<Upstream>],
        mix: &WorkMix,
        left: usize,
    ) -> Vec<(Arc<Upstream>, Role)> {
        let staying: Vec<_> = listed
            .iter()
            .filter(|upstream| !upstream.is_leaving())
            .filter(|upstream| upstream.role().is_some_and(|role| role != Role::Mixed))
            .collect();
        if staying.len() < 2 {
            return Vec::new();
        }
        let pressure = self.pressures.entry(Arc::clone(service)).or_default();
        let current = pressure_of(&staying, self.clock.now());
        pressure.record(current);
        let pressure = *pressure;
        let share = self.share_of(service, mix, &pressure, staying.len());
        let wanted = (staying.len() as f64 * share).round() as usize;
        let wanted = wanted.clamp(1, staying.len() - 1);
        let of_role = |role| {
            let have = staying.iter().filter(move |upstream| upstream.role() == Some(role));
            have.copied().collect::<Vec<_>>()
        };
        let (readers, generators) = (of_role(Role::Prefill), of_role(Role::Decode));
        let (from, count, role) = if readers.len() < wanted {
            (generators, wanted - readers.len(), Role::Prefill)
        } else {
            let spare = readers.len() - wanted;
            (readers, spare, Role::Decode)
        };
        let now = self.clock.now();
        let versions = version_splits(&staying, now);
        let missing = self.missing_by_version(&staying, &versions, left, now);
        if !missing.is_empty() {
            return missing;
        }
        let from = spared_by_versions(from, role, versions);
        // The average lags behind a burst that has just begun.
        let used = match role {
            Role::Prefill => pressure.generating.max(current.generating),
            _ => pressure.reading.max(current.reading),
        };
        let surplus = self.surplus_of(&from, count, used, now);
        let usual = take_from_fullest_zones(from, count.min(left + self.settling.len()), now);
        let unsettled = usual.into_iter().filter(|one| !self.settling.contains_key(&one.hash));
        let usual: Vec<_> = unsettled.take(left).collect();
        let taken = if surplus.len() > usual.len() { surplus } else { usual };
        taken.into_iter().map(|upstream| (upstream, role)).collect()
    }

    /// Returns at most `count` engines of `from`, all of one role, that are not needed in it if the share
    /// `used` of their capacity is in use.
    fn surplus_of(
        &self,
        from: &[&Arc<Upstream>],
        count: usize,
        used: f64,
        now: Millis,
    ) -> Vec<Arc<Upstream>> {
        if !self.gateway.policy().surplus_role_changes {
            return Vec::new();
        }
        // Engines that have just been ordered to change still show their earlier role.
        let is_pending = |one: &&Arc<Upstream>| {
            let is_changing = one.state.role_change(now, one.role()).is_some();
            is_changing || self.settling.contains_key(&one.hash)
        };
        let (pending, idle): (Vec<_>, Vec<_>) = from.iter().copied().partition(is_pending);
        let count = count.saturating_sub(pending.len()).min(surplus_engines(idle.len(), used));
        take_from_fullest_zones(idle, count, now)
    }

    /// Returns the share of a service's engines that should read prompts, according to the recent work.
    fn share_of(
        &mut self,
        service: &Arc<str>,
        mix: &WorkMix,
        pressure: &Pressure,
        engines: usize,
    ) -> f64 {
        let max = self.options.prefill_share;
        let current = self.shares.get(service).copied().unwrap_or(max);
        let next = next_share(current, max, mix, pressure, engines);
        if next != current {
            emit(&UpstreamEvent::SplitPlanned { service, share: next, before: current });
            self.shares.insert(Arc::clone(service), next);
        }
        next
    }

    /// Notifies all instances to skip the engines that are about to get an order, and waits until they do.
    ///
    /// An engine that accepts an order refuses all requests that it has not begun. Without a notice, prompts
    /// on their way to it would be refused, and each would use up some of the retry budget.
    async fn give_notice(&self, due: &[Change]) {
        let until = self.clock.now() + NOTICE_TIME;
        for Change { upstream, role, .. } in due {
            upstream.state.record_role_change(RoleChange { role: *role, until, is_own: true });
        }
        self.gateway.peers().announce();
        tokio::time::sleep(DRAIN_TIME).await;
    }

    /// Records the outcome of an order.
    fn record_outcome(&mut self, change: Change, outcome: OrderOutcome, lease: Lease) {
        let Change { upstream, role, duration } = change;
        let now = self.clock.now();
        self.settling.insert(upstream.hash, now + SETTLE_TIME);
        match outcome {
            OrderOutcome::Answered(OrderAnswer::Taken) => {
                let until = now + duration + MAX_COMPLETION_TIME;
                upstream.state.record_role_change(RoleChange { role, until, is_own: true });
                self.gateway.peers().announce();
                let polling =
                    await_role(self.gateway.clone(), Arc::clone(&upstream), role, duration);
                let limit = (duration + MAX_COMPLETION_TIME).as_duration();
                tokio::spawn(tokio::time::timeout(limit, polling));
            }
            OrderOutcome::Answered(OrderAnswer::Fenced) => self.lease.yield_to_newer(),
            OrderOutcome::Answered(OrderAnswer::Busy | OrderAnswer::Refused)
            | OrderOutcome::NoAnswer => {}
        }
        let (id, outcome) = (&upstream.entry.id, outcome.as_str());
        let role = format!("{role:?}").to_lowercase();
        emit(&DutyEvent::OrderGiven { upstream: id, role: &role, token: lease.token, outcome });
        let label = NameLabel { name: outcome.to_owned() };
        self.gateway.metrics().orders.get_or_create(&label).inc();
    }
}

/// Returns how much of the engines' capacity is used now, estimated from all instances' requests.
fn pressure_of(engines: &[&Arc<Upstream>], now: Millis) -> Pressure {
    let of_role = |role| engines.iter().filter(move |one| one.role() == Some(role));
    let share = |taken: u32, all: u32| f64::from(taken) / f64::from(all.max(1));
    let (mut readers, mut busy, mut all_slots, mut taken) = (0, 0, 0, 0);
    for reader in of_role(Role::Prefill) {
        readers += 1;
        busy += u32::from(reader.state.work(now).reading_ms > 0.0);
    }
    for generator in of_role(Role::Decode) {
        let slots = generator.entry.slots;
        all_slots += slots;
        taken += generator.state.work(now).in_flight.min(slots);
    }
    Pressure { reading: share(busy, readers), generating: share(taken, all_slots) }
}

/// Takes engines, each from the availability zone that has most of them left, and there the one with the
/// least work: before it changes its role, an engine completes its running requests and refuses waiting
/// ones.
fn take_from_fullest_zones(
    mut from: Vec<&Arc<Upstream>>,
    count: usize,
    now: Millis,
) -> Vec<Arc<Upstream>> {
    let work_of = |one: &Upstream| {
        let work = one.state.work(now);
        (work.reading_ms as u64, work.in_flight)
    };
    let mut taken = Vec::new();
    while taken.len() < count {
        let in_zone = |zone: &str| from.iter().filter(|one| &*one.entry.zone == zone).count();
        let best = from
            .iter()
            .enumerate()
            .max_by_key(|(_, one)| (in_zone(&one.entry.zone), std::cmp::Reverse(work_of(one))));
        let Some((at, _)) = best else { break };
        taken.push(Arc::clone(from.remove(at)));
    }
    taken
}
