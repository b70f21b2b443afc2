//! Plans the role changes of a run and tracks each one from the drain to the order.

use anvilhook_core::orders::{Order, Role, Stamp, StampedOrder, Term};
use anvilhook_core::resources::RolePolicy;
use anvilhook_core::roles::{
    EngineRole, ObservedWork, PlanOptions, PoolShape, RoleCounts, RolePlanner,
};
use anvilhook_core::units::Millis;

use super::deployments::Deployment;
use super::policies::{Planning, Policy, Split};

/// The time after which all instances have acknowledged a drain.
pub const ACKNOWLEDGED_AFTER: Millis = Millis(400);

/// The interval between two role plans.
pub const PLAN_INTERVAL: Millis = Millis::from_secs(5);

/// `Change` is a role change in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The new role.
    pub role: Role,
    /// The time at which the drain was marked.
    pub drained_at: Millis,
    /// Whether the order has been given.
    pub ordered: bool,
}

/// `RoleControl` holds the desired roles of the engines and plans their changes.
pub struct RoleControl {
    planning: Planning,
    planner: RolePlanner,
    shape: PoolShape,
    roles: Vec<Role>,
    changed_at: Vec<Option<Millis>>,
    /// The change in progress of each engine.
    pub changes: Vec<Option<Change>>,
    seen: ObservedWork,
    seq: u64,
}

/// Returns the role of each engine under a fixed split.
pub fn roles_of(split: Split) -> Vec<Role> {
    let role = |index: usize| match index {
        index if index < split.prefill => Role::Prefill,
        index if index < split.prefill + split.decode => Role::Decode,
        _ => Role::Mixed,
    };
    (0..Deployment::ENGINES).map(role).collect()
}

impl RoleControl {
    /// Creates the role control with the policy's initial roles.
    pub fn new(deployment: Deployment, policy: &Policy) -> Self {
        let first = match policy.planning {
            Planning::Fixed(split) => split,
            _ => Split::default(),
        };
        let options = PlanOptions::new(RolePolicy {
            automatic: true,
            change_weight: deployment.change_weight(),
            max_changing_share: 0.25,
            min_dwell_ms: Millis::from_secs(60),
        });
        Self {
            planning: policy.planning,
            shape: options.shape,
            planner: RolePlanner::new(options),
            roles: roles_of(first),
            changed_at: vec![None; Deployment::ENGINES],
            changes: vec![None; Deployment::ENGINES],
            seen: ObservedWork::default(),
            seq: 0,
        }
    }

    /// Returns the desired roles.
    pub fn roles(&self) -> &[Role] {
        &self.roles
    }

    /// Returns the engines that should start a role change, with their new roles, given the work
    /// observed since the last plan.
    pub fn plan(
        &mut self,
        seen: &ObservedWork,
        serving: &[bool],
        now: Millis,
    ) -> Vec<(usize, Role)> {
        match self.planning {
            Planning::Fixed(_) => Vec::new(),
            Planning::Greedy => self.plan_greedily(seen, serving),
            Planning::Weighed => {
                self.planner.observe(seen, now);
                let engines = self.engines(serving);
                let changes = self.planner.plan(&engines, now);
                let index_of = |name| engines.iter().position(|engine| engine.name == name);
                let pairs = changes.into_iter().map(|c| index_of(c.engine).map(|p| (p, c.role)));
                pairs.flatten().collect()
            }
        }
    }

    /// Returns the next order. All orders of a run carry the same term, since it has one authority.
    pub fn order(&mut self, engine: usize, role: Role, now: Millis) -> StampedOrder {
        self.seq += 1;
        self.roles[engine] = role;
        self.changed_at[engine] = Some(now);
        let stamp = Stamp { term: Term(1), seq: self.seq };
        StampedOrder { stamp, order: Order::SetRole { role } }
    }

    fn engines(&self, serving: &[bool]) -> Vec<EngineRole> {
        let engine = |index: usize| EngineRole {
            name: format!("engine-{index}").parse().expect("a valid name"),
            role: self.changes[index].map_or(self.roles[index], |change| change.role),
            changing: self.changes[index].is_some(),
            serving: serving[index],
            changed_at: self.changed_at[index],
        };
        (0..Deployment::ENGINES).map(engine).collect()
    }

    /// Returns the changes that match the share of prefill engines to the share of prefill in the
    /// work at once, with all other engines in the decode role. The mix is smoothed over about ten
    /// seconds, as the plan would otherwise follow every irregular arrival.
    fn plan_greedily(&mut self, seen: &ObservedWork, serving: &[bool]) -> Vec<(usize, Role)> {
        self.seen = if self.seen == ObservedWork::default() {
            *seen
        } else {
            self.seen.times(0.5).plus(seen.times(0.5))
        };
        let engines = self.engines(serving);
        let mut counts = RoleCounts::default();
        engines.iter().filter(|e| e.serving).for_each(|engine| counts.add(engine.role));
        let total = counts.total();
        let all = self.seen.patient.plus(self.seen.tight);
        let reading = all.prefill / self.shape.speeds.prefill_tokens_per_ms;
        let share = reading / (reading + self.shape.decode_ms(&all)).max(1e-9);
        let prefill = ((share * total as f64).round() as usize).clamp(1, total - 1);
        let best = RoleCounts { prefill, decode: total - prefill, mixed: 0 };
        let mut changes = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            let roles = [Role::Prefill, Role::Decode, Role::Mixed];
            let wanted = roles.into_iter().find(|role| counts.of(*role) < best.of(*role));
            let spare = counts.of(engine.role) > best.of(engine.role);
            if let Some(role) = wanted
                && engine.serving
                && !engine.changing
                && spare
            {
                match engine.role {
                    Role::Prefill => counts.prefill -= 1,
                    Role::Decode => counts.decode -= 1,
                    Role::Mixed => counts.mixed -= 1,
                }
                counts.add(role);
                changes.push((index, role));
            }
        }
        changes
    }
}
