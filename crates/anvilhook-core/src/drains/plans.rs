//! Limits how fast drain plans take engines out of service.

use std::collections::BTreeSet;

use crate::names::{UpstreamName, ZoneName};
use crate::resources::{DrainPlanSpec, DrainTarget};
use crate::units::Millis;

/// `EngineView` is the planner's view of one engine of the pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub name: UpstreamName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is marked as draining, for any cause.
    pub marked: bool,
    /// Whether it is marked for this plan.
    pub planned: bool,
    /// Whether its drain is complete.
    pub drained: bool,
}

/// `PlanRefusal` is the reason why a plan takes no further engine out of service now.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum PlanRefusal {
    /// All engines of the plan are marked.
    AllMarked,
    /// The maximum number of engines that the plan allows to drain at once is reached.
    MaxAtOnce,
    /// The pace allows the next engine at this time.
    Pace(Millis),
    /// With one engine less, too few would be serving.
    MinServing,
    /// Another zone's engines are still draining.
    ZoneDraining(ZoneName),
}

/// `DrainPlanner` applies a plan's limits and its pace.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DrainPlanner {
    last_marked_at: Option<Millis>,
}

impl DrainPlanner {
    /// Creates a planner. A holder that takes over passes the time of its take-over, as it does not
    /// know when its predecessor began the last drain.
    pub fn new(last_marked_at: Option<Millis>) -> Self {
        Self { last_marked_at }
    }

    /// Records that an engine was marked for the plan.
    pub fn record_marked(&mut self, now: Millis) {
        self.last_marked_at = Some(now);
    }

    /// Returns the next engine to mark for the plan.
    ///
    /// # Errors
    ///
    /// `PlanRefusal` if no engine may be marked now.
    pub fn next(
        &self,
        plan: &DrainPlanSpec,
        engines: &[EngineView],
        min_serving: u32,
        now: Millis,
    ) -> Result<UpstreamName, PlanRefusal> {
        let next = next_target(plan, engines)?;

        let draining = engines.iter().filter(|engine| engine.planned && !engine.drained).count();
        if draining >= plan.max_at_once as usize {
            return Err(PlanRefusal::MaxAtOnce);
        }
        let next_at = self.last_marked_at.map(|at| at + plan.pace_ms);
        if let Some(next_at) = next_at.filter(|next_at| now < *next_at) {
            return Err(PlanRefusal::Pace(next_at));
        }
        // An engine that drains for another cause is not serving, so marking it too costs nothing.
        let serving = engines.iter().filter(|engine| !engine.marked).count();
        let must_serve = plan.min_serving.max(min_serving) as usize;
        if !next.marked && serving <= must_serve {
            return Err(PlanRefusal::MinServing);
        }
        Ok(next.name.clone())
    }
}

/// Returns the first engine of the plan that is not marked for it.
fn next_target<'a>(
    plan: &DrainPlanSpec,
    engines: &'a [EngineView],
) -> Result<&'a EngineView, PlanRefusal> {
    match &plan.target {
        DrainTarget::Engines(names) => {
            let wanted: BTreeSet<&UpstreamName> = names.iter().collect();
            let targets = engines.iter().filter(|engine| wanted.contains(&engine.name));
            let mut open = targets.clone().filter(|engine| !engine.planned);
            let next = open.next().ok_or(PlanRefusal::AllMarked)?;
            // Named engines may be in several zones; of these, too, only one zone drains at a time.
            let busy = targets.clone().find(|engine| engine.planned && !engine.drained);
            let in_busy_zone = busy.map_or(Some(next), |busy| {
                targets.clone().find(|engine| !engine.planned && engine.zone == busy.zone)
            });
            let zone = busy.map_or(&next.zone, |busy| &busy.zone);
            in_busy_zone.ok_or_else(|| PlanRefusal::ZoneDraining(zone.clone()))
        }
        DrainTarget::Zones(zones) => {
            for zone in zones {
                let in_zone = engines.iter().filter(|engine| engine.zone == *zone);
                if let Some(next) = in_zone.clone().find(|engine| !engine.planned) {
                    return Ok(next);
                }
                if in_zone.clone().any(|engine| !engine.drained) {
                    return Err(PlanRefusal::ZoneDraining(zone.clone()));
                }
            }
            Err(PlanRefusal::AllMarked)
        }
    }
}
