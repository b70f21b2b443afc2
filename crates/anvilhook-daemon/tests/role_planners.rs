//! Tests that roles follow a lasting mix of work within the declared bounds, and that a new lease holder
//! starts from the current roles of the engines. The planners and the stand-in's state machines run on a
//! manual clock.

use std::collections::BTreeSet;

use anvilhook_core::names::{PoolName, UpstreamName};
use anvilhook_core::orders::{Order, Role, Stamp, StampedOrder, Term};
use anvilhook_core::resources::RolePolicy;
use anvilhook_core::roles::{Flow, ObservedWork, RoleBounds, RoleCounts};
use anvilhook_core::routing::Speeds;
use anvilhook_core::units::Millis;
use anvilhook_daemon::instances::{PoolDeclaration, RolePlanners, SeenEngine};
use anvilhook_daemon::settings::RoleSettings;
use anvilhook_standin::engines::{EngineModel, EngineOptions};

const ENGINES: usize = 8;
const STEP: Millis = Millis::from_secs(1);
const DWELL: Millis = Millis::from_secs(10);
/// How long an engine drains before its order is sent.
const DRAIN: Millis = Millis::from_secs(3);

/// Long prompts with long outputs and tight deadlines: more work than eight mixed engines can serve.
fn tight() -> ObservedWork {
    let tight = Flow { requests: 12.0, prefill: 24_000.0, prompt: 24_000.0, output: 3_600.0 };
    ObservedWork { tight, patient: Flow::default() }
}

fn quick() -> ObservedWork {
    let patient = Flow { requests: 10.0, prefill: 3_000.0, prompt: 3_000.0, output: 200.0 };
    ObservedWork { patient, tight: Flow::default() }
}

fn declared(change_weight: f64, bounds: RoleBounds) -> PoolDeclaration {
    let policy = RolePolicy {
        automatic: true,
        change_weight,
        max_changing_share: 0.25,
        min_dwell_ms: DWELL,
    };
    PoolDeclaration { policy, bounds }
}

fn new_planners() -> RolePlanners {
    RolePlanners::new(RoleSettings {
        plan_every_ms: STEP,
        change_ms: Millis::from_secs(4),
        horizon_ms: Millis::from_secs(60),
        memory_ms: Millis::from_secs(60),
    })
}

/// `Simulation` is a pool of stand-in engines and the role planners of its lease holder.
struct Simulation {
    pool: PoolName,
    planners: RolePlanners,
    engines: Vec<(UpstreamName, EngineModel)>,
    /// The time at which each engine began to drain for a role change.
    draining: Vec<Option<Millis>>,
    now: Millis,
    seq: u64,
    /// The largest number of engines that were out of service at once.
    max_changing: usize,
}

impl Simulation {
    fn new() -> Self {
        let engine = |index| {
            let name: UpstreamName = format!("engine-{index}").parse().expect("a name");
            (name, EngineModel::new(EngineOptions::default(), Millis::ZERO))
        };
        Self {
            pool: "runners".parse().expect("a name"),
            planners: new_planners(),
            engines: (0..ENGINES).map(engine).collect(),
            draining: vec![None; ENGINES],
            now: Millis::ZERO,
            seq: 0,
            max_changing: 0,
        }
    }

    /// Runs for a span: plans roles, drains engines and sends orders in each step.
    fn run(&mut self, declared: &PoolDeclaration, seen: &ObservedWork, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            let engines = self.seen();
            self.planners.plan(&self.pool, declared, &engines, seen, self.now);
            let changing = (0..ENGINES).filter(|index| self.work(*index)).count();
            self.max_changing = self.max_changing.max(changing);
        }
    }

    /// Does the work of the controller for one engine. Returns whether the engine is out of service.
    fn work(&mut self, index: usize) -> bool {
        let (name, engine) = &mut self.engines[index];
        let state = engine.state(self.now).expect("an engine that is up");
        let Some(role) = self.planners.wanted(&self.pool, name).filter(|role| *role != state.role)
        else {
            self.draining[index] = None;
            return false;
        };
        let since = *self.draining[index].get_or_insert(self.now);
        if state.running_order.is_none() && self.now - since >= DRAIN {
            self.seq += 1;
            let stamp = Stamp { term: Term(1), seq: self.seq };
            engine.order(self.now, &StampedOrder { stamp, order: Order::SetRole { role } });
        }
        true
    }

    fn seen(&mut self) -> Vec<SeenEngine> {
        let (now, draining) = (self.now, &self.draining);
        let engines = self.engines.iter_mut().zip(draining);
        let seen = engines.map(|((name, engine), draining)| SeenEngine {
            name: name.clone(),
            role: engine.state(now).map(|state| state.role),
            takes_work: draining.is_none(),
            speeds: Speeds {
                prefill_tokens_per_ms: 8.0,
                decode_step_ms: 25.0,
                decode_step_per_request_ms: 0.2,
                max_batch: 32.0,
            },
        });
        seen.collect()
    }

    fn roles(&mut self) -> RoleCounts {
        let mut counts = RoleCounts::default();
        self.seen().iter().filter_map(|engine| engine.role).for_each(|role| counts.add(role));
        counts
    }

    fn orders(&self) -> usize {
        self.engines.iter().map(|(_, engine)| engine.orders().len()).sum()
    }
}

#[test]
fn verify_roles_follow_a_lasting_mix_within_the_declared_bounds() {
    let mut at_most_two = RoleBounds::default();
    at_most_two.max.set(Role::Prefill, 2);
    // The weight of a change, the bounds, and whether roles are expected to change.
    let table = [
        (0.1, RoleBounds::default(), true),
        (0.1, at_most_two, true),
        (1_000.0, RoleBounds::default(), false),
    ];
    for (weight, bounds, changes) in table {
        let mut simulation = Simulation::new();
        let declared = declared(weight, bounds);

        simulation.run(&declared, &quick(), Millis::from_secs(20));
        let before = simulation.roles();
        simulation.run(&declared, &tight(), Millis::from_secs(120));

        let after = simulation.roles();
        assert_eq!(before, RoleCounts { mixed: ENGINES, ..RoleCounts::default() });
        assert_eq!(after.prefill > 0 && after.decode > 0, changes, "{weight}: {after:?}");
        assert!(after.prefill <= bounds.max.prefill, "{after:?}");
        assert!(simulation.max_changing <= ENGINES / 4, "{} at once", simulation.max_changing);
    }
}

/// Guards against roles that oscillate when instances take over the pool from each other: roles have
/// followed the mix, the holder loses the pool, and the next holder has not observed the work. It orders
/// the declared roles, or plans before it knows the work.
#[test]
fn verify_a_new_holder_starts_from_the_engines_roles_and_waits() {
    let mut simulation = Simulation::new();
    let declared = declared(0.1, RoleBounds::default());
    simulation.run(&declared, &quick(), Millis::from_secs(20));
    simulation.run(&declared, &tight(), Millis::from_secs(120));
    let (roles, orders) = (simulation.roles(), simulation.orders());

    for _ in 0..4 {
        simulation.planners.retain_pools(&BTreeSet::new());
        simulation.run(&declared, &quick(), DWELL - STEP);
        simulation.planners.retain_pools(&BTreeSet::new());
        simulation.run(&declared, &tight(), DWELL - STEP);
    }

    assert!(orders > 0 && roles.mixed < ENGINES);
    assert_eq!((simulation.roles(), simulation.orders()), (roles, orders));
}

/// Guards against an engine that changes its role twice within the minimum dwell time: a holder changes
/// the role and loses the pool, and the next holder wants another role. It assumes that the dwell time
/// is over because it does not know the last change.
#[test]
fn verify_a_new_holder_waits_out_the_dwell_time() {
    let dwell = Millis::from_secs(50);
    let mut simulation = Simulation::new();
    let mut declared = declared(0.1, RoleBounds::default());
    declared.policy.min_dwell_ms = dwell;
    // The engines have run for a long time when the pool is taken over.
    simulation.now = Millis::from_secs(1_000);

    simulation.run(&declared, &tight(), dwell);
    let early = simulation.orders();
    simulation.run(&declared, &tight(), dwell);

    assert_eq!(early, 0);
    assert!(simulation.orders() > 0);
}
