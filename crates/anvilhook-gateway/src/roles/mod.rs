//! Keeping the split of a service's engines between reading prompts and generating output.

mod orders;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::splits::{Pressure, WorkMix, next_share};
use anvilhook_core::units::{Clock, Millis};
use futures_util::future::join_all;

use crate::configs::Config;
use crate::events::{Event, emit};
use crate::fleets::Upstream;
use crate::leases::{Lease, LeaseManager};
use crate::loads::RoleChange;
use crate::metrics::NameLabel;
use crate::relay::Gateway;
use crate::tables::Table;
use crate::wires::{OrderAnswer, Wire};

use orders::{Change, OrderOutcome, await_role, give_order};

/// The row of the lease.
const LEASE_ROW: &str = "roles";

/// The pause between two looks at the split.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How long after the start the first look is taken, so that the engines have been listed.
const FIRST_LOOK: Duration = Duration::from_millis(5_000);

/// How long an engine is left alone after an order, whatever came of it.
const SETTLING: Millis = Millis::from_secs(6);

/// How long an engine that is to change its role may take to end what runs. It gets no work until it
/// is listed with the new role: requests sent to it meanwhile are refused, and spend the retry budget.
const LONGEST_ENDING: Millis = Millis::from_secs(8);

/// How long before its order an engine gets no new work: until instances of all availability zones have
/// heard of it, and what most of them sent before has begun.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// For how long such a notice holds. An order that is not taken is over by then.
const NOTICE_TIME: Millis = Millis(2_500);

/// `RoleOptions` says how the engines are to be split.
#[derive(Clone, Debug)]
pub struct RoleOptions {
    /// The share of a service's engines that read prompts, at first and at most.
    pub prefill_share: f64,
    /// How long the split must be uneven before an order is given.
    pub patience: Millis,
    /// How long a lease is good for.
    pub lease: Millis,
}

/// `RoleController` has engines change their roles, under a lease.
pub struct RoleController<W: Wire, T: Table, C: Clock> {
    gateway: Gateway<W, C>,
    clock: C,
    options: RoleOptions,
    lease: LeaseManager<T, C>,
    uneven_since: Option<Millis>,
    settling: HashMap<u32, Millis>,
    /// The share of readers that is kept, by service, where it is not the first one.
    shares: HashMap<Arc<str>, f64>,
    /// How much of each service's engines is taken.
    pressures: HashMap<Arc<str>, Pressure>,
}

impl<W: Wire, T: Table, C: Clock> RoleController<W, T, C> {
    /// Makes a keeper that holds no lease.
    pub fn new(
        gateway: Gateway<W, C>,
        table: T,
        clock: C,
        holder: String,
        options: RoleOptions,
    ) -> Self {
        Self {
            gateway,
            lease: LeaseManager::new(table, clock.clone(), LEASE_ROW, holder, options.lease),
            clock,
            options,
            uneven_since: None,
            settling: Default::default(),
            shares: HashMap::new(),
            pressures: HashMap::new(),
        }
    }

    /// Sets how long the split must be uneven before an order is given.
    pub fn set_patience(&mut self, patience: Millis) {
        self.options.patience = patience;
    }

    /// Keeps the split for as long as the process runs.
    pub async fn run(mut self) {
        tokio::time::sleep(FIRST_LOOK).await;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            // One instance acts, so that the others need not even read the lease.
            let is_first = self.gateway.peers().is_first(self.clock.now());
            if self.gateway.is_ready() && is_first {
                self.reconcile().await;
            }
        }
    }

    /// Looks at the split once, and gives the orders that are due.
    pub async fn reconcile(&mut self) {
        let Some(config) = self.gateway.config() else { return };
        let due = self.due_changes(&config);
        if due.is_empty() {
            self.uneven_since = None;
            return;
        }
        // An engine that restarts is missing for a moment only; a change takes another one away.
        let now = self.clock.now();
        let uneven_since = *self.uneven_since.get_or_insert(now);
        if now < uneven_since + self.options.patience {
            return;
        }
        let Some(lease) = self.lease.hold().await else { return };
        self.gateway.metrics().record_lease(lease.token);
        self.give_notice(&due).await;
        // Engines that leave their order unanswered must not hold up the others' orders.
        let orders = due.iter().map(|change| {
            give_order(&self.gateway, &self.clock, change, self.lease.holder(), lease)
        });
        let outcomes = join_all(orders).await;
        for (change, outcome) in due.into_iter().zip(outcomes) {
            if let Some(outcome) = outcome {
                self.conclude(change, outcome, lease);
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
            let most = left + self.settling.len();
            let changes = self.changes_of(&service.name, listed, &mix, most).into_iter();
            let unsettled =
                changes.filter(|(upstream, _)| !self.settling.contains_key(&upstream.digest));
            let allowed = unsettled.take(left);
            let away = engine.role_change;
            due.extend(allowed.map(|(upstream, role)| Change { upstream, role, away }));
        }
        due
    }

    /// Returns the changes that bring a service's listed engines to the wanted split, `most` at most.
    fn changes_of(
        &mut self,
        service: &Arc<str>,
        listed: &[Arc<Upstream>],
        mix: &WorkMix,
        most: usize,
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
        pressure.record(pressure_of(&staying, self.clock.now()));
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
        let taken = take_from_fullest_zones(from, count.min(most), self.clock.now()).into_iter();
        taken.map(|upstream| (upstream, role)).collect()
    }

    /// Returns the share of a service's engines that are to read, by the work of late.
    fn share_of(
        &mut self,
        service: &Arc<str>,
        mix: &WorkMix,
        pressure: &Pressure,
        engines: usize,
    ) -> f64 {
        let most = self.options.prefill_share;
        let kept = self.shares.get(service).copied().unwrap_or(most);
        let next = next_share(kept, most, mix, pressure, engines);
        if next != kept {
            emit(&Event::SplitPlanned { service, share: next, before: kept });
            self.shares.insert(Arc::clone(service), next);
        }
        next
    }

    /// Has all instances leave engines alone that are about to get an order, and waits until they do.
    ///
    /// An engine that takes an order refuses all that has not begun there. Without a notice, prompts
    /// that are on their way to it would be refused, and each would spend the retry budget.
    async fn give_notice(&self, due: &[Change]) {
        let until = self.clock.now() + NOTICE_TIME;
        for Change { upstream, role, .. } in due {
            upstream.state.record_role_change(RoleChange { role: *role, until, is_own: true });
        }
        self.gateway.peers().announce();
        tokio::time::sleep(DRAIN_TIME).await;
    }

    /// Notes what came of an order.
    fn conclude(&mut self, change: Change, outcome: OrderOutcome, lease: Lease) {
        let Change { upstream, role, away } = change;
        let now = self.clock.now();
        self.settling.insert(upstream.digest, now + SETTLING);
        match outcome {
            OrderOutcome::Answered(OrderAnswer::Taken) => {
                let until = now + away + LONGEST_ENDING;
                upstream.state.record_role_change(RoleChange { role, until, is_own: true });
                self.gateway.peers().announce();
                let asking = await_role(self.gateway.clone(), Arc::clone(&upstream), role, away);
                let longest = (away + LONGEST_ENDING).as_duration();
                tokio::spawn(tokio::time::timeout(longest, asking));
            }
            OrderOutcome::Answered(OrderAnswer::Fenced) => self.lease.yield_to_newer(),
            OrderOutcome::Answered(OrderAnswer::Busy | OrderAnswer::Refused)
            | OrderOutcome::NoAnswer => {}
        }
        let (id, outcome) = (&upstream.entry.id, outcome.as_str());
        let role = format!("{role:?}").to_lowercase();
        emit(&Event::OrderGiven { upstream: id, role: &role, token: lease.token, outcome });
        let label = NameLabel { name: outcome.to_owned() };
        self.gateway.metrics().orders.get_or_create(&label).inc();
    }
}

/// Returns how much of some engines is taken now, by what is believed of all instances' requests.
fn pressure_of(engines: &[&Arc<Upstream>], now: Millis) -> Pressure {
    let of_role = |role| engines.iter().filter(move |one| one.role() == Some(role));
    let share = |taken: u32, all: u32| f64::from(taken) / f64::from(all.max(1));
    let (mut readers, mut busy, mut places, mut taken) = (0, 0, 0, 0);
    for reader in of_role(Role::Prefill) {
        readers += 1;
        busy += u32::from(reader.state.work(now).reading_ms > 0.0);
    }
    for generator in of_role(Role::Decode) {
        let slots = generator.entry.slots;
        places += slots;
        taken += generator.state.work(now).in_flight.min(slots);
    }
    Pressure { reading: share(busy, readers), generating: share(taken, places) }
}

/// Takes engines, each from the availability zone that has most of them left, and there the one with the
/// least to do: what it has begun it ends first, and what waits there is refused.
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
