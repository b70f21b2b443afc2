//! Plans the roles of the engines in the pools that this instance holds.
//!
//! Only the holder of a pool plans its roles. It takes the engines' roles from their load reports,
//! and estimates the work as its own callers' work times the number of instances. A plan is not an
//! order: it becomes part of the desired state, and the controller drains an engine before it
//! changes its role.

use std::collections::{BTreeMap, BTreeSet};

use anvilhook_core::names::{PoolName, UpstreamName};
use anvilhook_core::orders::Role;
use anvilhook_core::resources::RolePolicy;
use anvilhook_core::roles::{
    EngineRole, ObservedWork, PlanOptions, PoolShape, RoleBounds, RoleCounts, RolePlanner,
};
use anvilhook_core::routing::Speeds;
use anvilhook_core::units::Millis;

use crate::settings::RoleSettings;

/// How often a pool's condition is written while its role counts and target are unchanged.
const REPORT_INTERVAL: Millis = Millis::from_secs(30);

/// `SeenEngine` is an engine of a pool in this instance's local view.
#[derive(Clone, Debug, PartialEq)]
pub struct SeenEngine {
    /// The engine's name.
    pub name: UpstreamName,
    /// The role in its last load report, or `None` if no report has been received.
    pub role: Option<Role>,
    /// Whether it accepts work.
    pub takes_work: bool,
    /// Its prefill and decode speeds.
    pub speeds: Speeds,
}

/// `PoolDeclaration` is the operators' declaration of a pool's roles.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolDeclaration {
    /// The role policy.
    pub policy: RolePolicy,
    /// The minimum and maximum number of engines in each role.
    pub bounds: RoleBounds,
}

/// `PoolRoles` is the role plan of one pool.
#[derive(Debug)]
struct PoolRoles {
    options: PlanOptions,
    planner: RolePlanner,
    since: Millis,
    planned_at: Millis,
    wanted: BTreeMap<UpstreamName, Role>,
    wanted_since: BTreeMap<UpstreamName, Millis>,
    reported: Option<(Millis, RoleCounts, RoleCounts)>,
}

/// `RolePlanners` plans the roles of all pools that this instance holds.
#[derive(Debug, Default)]
pub struct RolePlanners {
    settings: RoleSettings,
    pools: BTreeMap<PoolName, PoolRoles>,
}

impl RolePlanners {
    /// Creates planners without any plan.
    pub fn new(settings: RoleSettings) -> Self {
        Self { settings, pools: BTreeMap::new() }
    }

    /// Drops the plans of pools that this instance does not hold. The next holder of a pool starts
    /// from the engines' actual roles, and changes none before the minimum dwell time has passed.
    pub fn retain_pools(&mut self, held: &BTreeSet<PoolName>) {
        self.pools.retain(|pool, _| held.contains(pool));
    }

    /// Returns whether a pool's next plan is due. A pool without a plan is always due.
    pub fn is_due(&self, pool: &PoolName, now: Millis) -> bool {
        let last = self.pools.get(pool).map(|roles| roles.planned_at);
        last.is_none_or(|at| now - at >= self.settings.plan_every_ms)
    }

    /// Returns the time since a pool's last plan, or `None` before the first.
    pub fn span(&self, pool: &PoolName, now: Millis) -> Option<Millis> {
        self.pools.get(pool).map(|roles| now - roles.planned_at)
    }

    /// Plans a pool's roles from the work observed since the last plan. Returns a message that
    /// describes the plan and its reason, or `None` if nothing has changed since the last message
    /// and that is recent. The first call for a pool only starts its measurement and plans nothing.
    pub fn plan(
        &mut self,
        pool: &PoolName,
        declared: &PoolDeclaration,
        engines: &[SeenEngine],
        seen: &ObservedWork,
        now: Millis,
    ) -> Option<String> {
        let options = self.options(declared, engines);
        let is_start = self.pools.get(pool).is_none_or(|roles| roles.options != options);
        if is_start {
            let earlier = self.pools.remove(pool);
            self.pools.insert(pool.clone(), PoolRoles::new(options, earlier, now));
        }
        let roles = self.pools.get_mut(pool)?;
        roles.planned_at = now;
        if is_start {
            return Some("roles stay unchanged until the work has been measured".to_owned());
        }
        roles.plan(engines, seen, now)
    }

    /// Returns the planned role of an engine, if there is one.
    pub fn wanted(&self, pool: &PoolName, engine: &UpstreamName) -> Option<Role> {
        self.pools.get(pool)?.wanted.get(engine).copied()
    }

    fn options(&self, declared: &PoolDeclaration, engines: &[SeenEngine]) -> PlanOptions {
        let usual = PlanOptions::new(declared.policy.clone());
        let reported = engines.iter().find(|engine| engine.role.is_some());
        let speeds = reported.map_or(usual.shape.speeds, |engine| engine.speeds);
        PlanOptions {
            bounds: declared.bounds,
            shape: PoolShape { speeds, ..usual.shape },
            change: self.settings.change_ms,
            horizon: self.settings.horizon_ms,
            memory: self.settings.memory_ms,
            ..usual
        }
    }
}

impl PoolRoles {
    fn new(options: PlanOptions, earlier: Option<Self>, now: Millis) -> Self {
        // A new declaration starts a new planner, but the roles wanted so far stay wanted.
        let (since, wanted, wanted_since) = match earlier {
            Some(earlier) => (earlier.since, earlier.wanted, earlier.wanted_since),
            None => (now, BTreeMap::new(), BTreeMap::new()),
        };
        let planner = RolePlanner::new(options.clone());
        Self { options, planner, since, planned_at: now, wanted, wanted_since, reported: None }
    }

    fn plan(&mut self, engines: &[SeenEngine], seen: &ObservedWork, now: Millis) -> Option<String> {
        self.planner.observe(seen, now);
        let declared: BTreeSet<&UpstreamName> = engines.iter().map(|engine| &engine.name).collect();
        self.wanted.retain(|name, _| declared.contains(name));
        let engines: Vec<EngineRole> =
            engines.iter().filter_map(|engine| self.engine(engine)).collect();
        for change in self.planner.plan(&engines, now) {
            log::info!("planned for engine {}: role {:?}", change.engine, change.role);
            self.wanted_since.insert(change.engine.clone(), now);
            self.wanted.insert(change.engine, change.role);
        }
        self.reason(&engines, seen, now)
    }

    fn engine(&self, seen: &SeenEngine) -> Option<EngineRole> {
        // Without a report the engine's role is unknown, so the engine is not planned for.
        let actual = seen.role?;
        let wanted = self.wanted.get(&seen.name).copied();
        let changing = wanted.is_some_and(|wanted| wanted != actual);
        // A holder does not know what its predecessor changed, so it treats all engines as changed
        // when it became the holder.
        let changed_at = self.wanted_since.get(&seen.name).copied().unwrap_or(self.since);
        Some(EngineRole {
            name: seen.name.clone(),
            role: wanted.unwrap_or(actual),
            changing,
            serving: changing || seen.takes_work,
            changed_at: Some(changed_at),
        })
    }

    fn reason(
        &mut self,
        engines: &[EngineRole],
        seen: &ObservedWork,
        now: Millis,
    ) -> Option<String> {
        let mut counts = RoleCounts::default();
        engines.iter().filter(|engine| engine.serving).for_each(|engine| counts.add(engine.role));
        let changing = engines.iter().filter(|engine| engine.changing).count();
        let target = self.planner.target(&counts, now);
        let is_reported = self.reported.is_some_and(|(at, was, aim)| {
            (was, aim) == (counts, target) && now - at < REPORT_INTERVAL
        });
        if is_reported {
            return None;
        }
        self.reported = Some((now, counts, target));
        let all = seen.patient.plus(seen.tight);
        let utilization = self.options.shape.utilization(&counts, seen);
        let aim = if target == counts {
            "no change is worth its cost".to_owned()
        } else {
            format!("target: {}", describe_counts(&target))
        };
        Some(format!(
            "{}, {changing} of them changing; {aim}; the observed {:.0} prompt and {:.0} output \
             tokens per second use {:.0}% of the engines",
            describe_counts(&counts),
            all.prompt,
            all.output,
            utilization * 100.0
        ))
    }
}

fn describe_counts(counts: &RoleCounts) -> String {
    let RoleCounts { prefill, decode, mixed } = counts;
    format!("{prefill} prefill, {decode} decode and {mixed} mixed")
}
