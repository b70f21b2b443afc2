//! Planning the roles of the pools that this instance holds.
//!
//! Only the holder of a pool plans. It knows the engines' roles by their load reports, and the work
//! by what callers asked of itself, times the number of instances. A plan is no order: it becomes
//! a part of what the keeper wants of an engine, which drains the engine before it changes it.

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

/// How often a pool's condition is written where only the figures in it have changed.
const REPORT_INTERVAL: Millis = Millis::from_secs(30);

/// `SeenEngine` is an engine of a pool as this instance knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct SeenEngine {
    /// Its name.
    pub name: UpstreamName,
    /// The role that its last report says, or nothing if none has come.
    pub role: Option<Role>,
    /// Whether it takes work.
    pub takes_work: bool,
    /// Its speeds.
    pub speeds: Speeds,
}

/// `PoolDeclaration` is what operators declare of a pool's roles.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolDeclaration {
    /// The policy.
    pub policy: RolePolicy,
    /// The fewest and most engines of each role.
    pub bounds: RoleBounds,
}

/// `PoolRoles` is the plan of one pool.
#[derive(Debug)]
struct PoolRoles {
    options: PlanOptions,
    planner: RolePlanner,
    since: Millis,
    planned_at: Millis,
    wanted: BTreeMap<UpstreamName, Role>,
    wanted_since: BTreeMap<UpstreamName, Millis>,
    told: Option<(Millis, RoleCounts, RoleCounts)>,
}

/// `RolePlanners` plan the roles of all pools that this instance holds.
#[derive(Debug, Default)]
pub struct RolePlanners {
    settings: RoleSettings,
    pools: BTreeMap<PoolName, PoolRoles>,
}

impl RolePlanners {
    /// Makes planners without a plan.
    pub fn new(settings: RoleSettings) -> Self {
        Self { settings, pools: BTreeMap::new() }
    }

    /// Forgets the plans of pools that this instance does not hold. Whoever holds a pool next begins
    /// with the roles that the engines have, and changes none before its least dwell time.
    pub fn keep_only(&mut self, held: &BTreeSet<PoolName>) {
        self.pools.retain(|pool, _| held.contains(pool));
    }

    /// Returns whether a pool's next plan is due. The first reading only starts its time.
    pub fn is_due(&self, pool: &PoolName, now: Millis) -> bool {
        let last = self.pools.get(pool).map(|roles| roles.planned_at);
        last.is_none_or(|at| now - at >= self.settings.plan_every_ms)
    }

    /// Returns the time since a pool's last plan, or nothing before the first.
    pub fn span(&self, pool: &PoolName, now: Millis) -> Option<Millis> {
        self.pools.get(pool).map(|roles| now - roles.planned_at)
    }

    /// Plans a pool's roles by the work seen since the last plan, and says in words what is wanted
    /// and why, if that is worth telling again. Nothing is planned at the first call, which only begins.
    pub fn plan(
        &mut self,
        pool: &PoolName,
        declared: &PoolDeclaration,
        engines: &[SeenEngine],
        seen: &ObservedWork,
        now: Millis,
    ) -> Option<String> {
        let options = self.options(declared, engines);
        let begins = self.pools.get(pool).is_none_or(|roles| roles.options != options);
        if begins {
            let earlier = self.pools.remove(pool);
            self.pools.insert(pool.clone(), PoolRoles::new(options, earlier, now));
        }
        let roles = self.pools.get_mut(pool)?;
        roles.planned_at = now;
        if begins {
            return Some("roles stay until the work has been seen for a while".to_owned());
        }
        roles.plan(engines, seen, now)
    }

    /// Returns the role that is wanted of an engine, if one was planned.
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
        // A new declaration makes a new plan, but what was ordered stays so.
        let (since, wanted, wanted_since) = match earlier {
            Some(earlier) => (earlier.since, earlier.wanted, earlier.wanted_since),
            None => (now, BTreeMap::new(), BTreeMap::new()),
        };
        let planner = RolePlanner::new(options.clone());
        Self { options, planner, since, planned_at: now, wanted, wanted_since, told: None }
    }

    fn plan(&mut self, engines: &[SeenEngine], seen: &ObservedWork, now: Millis) -> Option<String> {
        self.planner.observe(seen, now);
        let declared: BTreeSet<&UpstreamName> = engines.iter().map(|engine| &engine.name).collect();
        self.wanted.retain(|name, _| declared.contains(name));
        let engines: Vec<EngineRole> =
            engines.iter().filter_map(|engine| self.engine(engine)).collect();
        for change in self.planner.plan(&engines, now) {
            log::info!("{} should become {:?}", change.engine, change.role);
            self.wanted_since.insert(change.engine.clone(), now);
            self.wanted.insert(change.engine, change.role);
        }
        self.reason(&engines, seen, now)
    }

    fn engine(&self, seen: &SeenEngine) -> Option<EngineRole> {
        // Without a report it is not known what the engine is, so nothing is planned for it.
        let actual = seen.role?;
        let wanted = self.wanted.get(&seen.name).copied();
        let changing = wanted.is_some_and(|wanted| wanted != actual);
        // A holder does not know what its predecessor changed: for it, all engines are as new.
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
        let is_told = self.told.is_some_and(|(at, was, aim)| {
            (was, aim) == (counts, target) && now - at < REPORT_INTERVAL
        });
        if is_told {
            return None;
        }
        self.told = Some((now, counts, target));
        let all = seen.patient.plus(seen.tight);
        let utilization = self.options.shape.utilization(&counts, seen);
        let aim = if target == counts {
            "no change is worth its cost".to_owned()
        } else {
            format!("wanted are {}", in_words(&target))
        };
        Some(format!(
            "{}, {changing} of them changing; {aim}; {:.0} prompt and {:.0} output tokens a second \
             were seen, which take {:.0}% of the engines",
            in_words(&counts),
            all.prompt,
            all.output,
            utilization * 100.0
        ))
    }
}

fn in_words(counts: &RoleCounts) -> String {
    let RoleCounts { prefill, decode, mixed } = counts;
    format!("{prefill} prefill, {decode} decode and {mixed} mixed")
}
