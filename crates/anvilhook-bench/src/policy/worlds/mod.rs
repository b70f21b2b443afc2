//! Simulates one run: the core's decisions against the engine stand-in on a manual clock.
//!
//! Instances, engines and the plain service are plain values, and a fixed delay replaces the
//! network between them. The clock moves in ticks. Timers that are due within a tick fire in order
//! of time.

mod engine_changes;
mod engine_events;
mod reports;
mod requests;
mod timers;

use anvilhook_core::orders::Role;
use anvilhook_core::roles::ObservedWork;
use anvilhook_core::routing::Work;
use anvilhook_core::units::Millis;
use anvilhook_standin::engines::{EngineModel, EngineOptions};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::deployments::Deployment;
use super::instances::Instance;
use super::outcomes::{Outcome, Row, Totals};
use super::policies::Policy;
use super::role_control::{PLAN_INTERVAL, RoleControl};
use super::scenarios::Scenario;
use super::workloads::Workload;

use reports::{DIGEST_INTERVAL, WORK_SHARE_INTERVAL};
use requests::Flight;
use timers::{Timer, Timers};

/// The step of the manual clock.
const TICK: Millis = Millis(10);

/// The delay between the first polls of successive instances, so that they don't all poll at once.
const POLL_OFFSET: Millis = Millis(61);

/// Runs a policy on a workload.
pub fn run(workload: &Workload, policy: &Policy) -> Row {
    let mut world = World::new(workload, policy);
    world.run();
    world.totals.roles = [Role::Prefill, Role::Decode, Role::Mixed]
        .map(|role| world.roles.roles().iter().filter(|r| **r == role).count());
    Row::new(workload, policy.name, &world.outcomes, world.totals)
}

/// `World` holds the complete state of a run.
struct World<'a> {
    workload: &'a Workload,
    policy: &'a Policy,
    now: Millis,
    timers: Timers,
    engines: Vec<EngineModel>,
    up: Vec<bool>,
    drained: Vec<bool>,
    plain_free_at: Vec<Millis>,
    instances: Vec<Instance>,
    roles: RoleControl,
    flights: Vec<Flight>,
    outcomes: Vec<Outcome>,
    totals: Totals,
    seen: ObservedWork,
    crash_pending: bool,
    rng: ChaCha8Rng,
}

impl<'a> World<'a> {
    fn new(workload: &'a Workload, policy: &'a Policy) -> Self {
        let roles = RoleControl::new(workload.deployment, policy);
        let mut world = Self {
            workload,
            policy,
            now: Millis::ZERO,
            timers: Timers::default(),
            engines: engines_of(workload, roles.roles()),
            up: vec![true; Deployment::ENGINES],
            drained: vec![false; Deployment::ENGINES],
            plain_free_at: vec![Millis::ZERO; Deployment::PLAIN],
            instances: instances_of(workload, policy, roles.roles()),
            roles,
            flights: vec![Flight::default(); workload.requests.len()],
            outcomes: vec![Outcome::Open; workload.requests.len()],
            totals: Totals::default(),
            seen: ObservedWork::default(),
            crash_pending: workload.scenario == Scenario::CrashMidChange,
            rng: ChaCha8Rng::seed_from_u64(workload.seed),
        };
        world.set_first_timers();
        world
    }

    fn set_first_timers(&mut self) {
        for index in 0..Deployment::INSTANCES {
            let offset = Millis(index as u64 * POLL_OFFSET.0);
            self.timers.set(offset, Timer::Poll(index));
            self.timers.set(offset + DIGEST_INTERVAL, Timer::Digest(index));
        }
        self.timers.set(WORK_SHARE_INTERVAL, Timer::ShareWork);
        self.timers.set(PLAN_INTERVAL, Timer::Plan);
        let faults = self.workload.scenario.faults(self.workload.horizon);
        for (index, (at, engine, _)) in faults.into_iter().enumerate() {
            self.timers.set(at, Timer::Fault { engine, index });
        }
        if let Some(first) = self.workload.requests.first() {
            self.timers.set(first.at, Timer::Arrive(0));
        }
    }

    fn run(&mut self) {
        let mut tick = Millis::ZERO;
        while tick < self.workload.horizon {
            tick += TICK;
            while let Some((at, timer)) = self.timers.next_until(tick) {
                self.now = self.now.max(at);
                self.fire(timer);
            }
            self.now = tick;
            for engine in 0..self.engines.len() {
                let events = self.engines[engine].advance(tick);
                events.into_iter().for_each(|event| self.on_event(engine, event));
            }
            self.advance_changes();
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Arrive(request) => self.arrive(request),
            Timer::Submit { request, attempt } => self.submit(request, attempt),
            Timer::Retry(request) => self.dispatch(request),
            Timer::Deadline(request) => self.abandon(request),
            Timer::PlainDone { instance, upstream } => {
                self.instances[instance].plain[upstream].end(Work::default());
            }
            Timer::Poll(instance) => self.poll(instance),
            Timer::Digest(instance) => self.send_digest(instance),
            Timer::ShareWork => self.share_observed_work(),
            Timer::Plan => self.plan(),
            Timer::Fault { engine, index } => self.fault(engine, index),
            Timer::Restart(engine) => self.restart(engine),
        }
    }
}

fn instances_of(workload: &Workload, policy: &Policy, roles: &[Role]) -> Vec<Instance> {
    let instance = |index| Instance::new(index, workload, policy);
    let instances: Vec<Instance> = (0..Deployment::INSTANCES).map(instance).collect();
    for instance in &instances {
        for (state, role) in instance.engines.iter().zip(roles) {
            state.set_role(*role);
        }
    }
    instances
}

fn engines_of(workload: &Workload, roles: &[Role]) -> Vec<EngineModel> {
    let engine = |(index, role): (usize, &Role)| {
        EngineModel::new(engine_options(workload, index, *role), Millis::ZERO)
    };
    roles.iter().enumerate().map(engine).collect()
}

fn engine_options(workload: &Workload, index: usize, role: Role) -> EngineOptions {
    let mut options = workload.deployment.engine_options();
    options.role = role;
    options.seed = workload.seed ^ index as u64;
    match workload.scenario {
        Scenario::LaggedReports => {
            // From 1 s at the first engine to 5 s at the last.
            let span = 4_000 * index as u64 / (Deployment::ENGINES as u64 - 1);
            options.report_lag = Millis(1_000 + span);
        }
        Scenario::LateCacheEvents => {
            options.cache_event_lag = Millis(5_000);
            options.cache_event_loss = 0.02;
        }
        _ => {}
    }
    options
}
