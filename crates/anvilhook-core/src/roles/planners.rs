//! The role planner decides which engines of a pool should change their roles.

use super::capacities::{PoolShape, RoleCounts};
use super::meters::ObservedWork;
use crate::names::UpstreamName;
use crate::orders::Role;
use crate::resources::RolePolicy;
use crate::units::Millis;

/// The number of mixes of work that the planner distinguishes, by the share of reading in the work.
const MIX_BINS: usize = 12;

/// The maximum number of counts per role that are evaluated. A larger pool is planned in greater steps.
const STEPS_PER_ROLE: usize = 12;

/// `RoleBounds` holds the minimum and maximum number of engines in each role, as declared by
/// `RoleSpec` resources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleBounds {
    /// The minimum.
    pub min: RoleCounts,
    /// The maximum.
    pub max: RoleCounts,
}

impl Default for RoleBounds {
    fn default() -> Self {
        let max = RoleCounts { prefill: usize::MAX, decode: usize::MAX, mixed: usize::MAX };
        Self { min: RoleCounts::default(), max }
    }
}

impl RoleBounds {
    fn allow(&self, counts: &RoleCounts) -> bool {
        [Role::Prefill, Role::Decode, Role::Mixed]
            .into_iter()
            .all(|role| (self.min.of(role)..=self.max.of(role)).contains(&counts.of(role)))
    }
}

/// `PlanOptions` holds the parameters of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanOptions {
    /// The pool's policy.
    pub policy: RolePolicy,
    /// The bounds on roles.
    pub bounds: RoleBounds,
    /// The capabilities of the engines.
    pub shape: PoolShape,
    /// How long a change takes an engine out of service, including its drain.
    pub change: Millis,
    /// The time for which the planner plans ahead.
    pub horizon: Millis,
    /// The time constant with which observed work loses its weight.
    pub memory: Millis,
    /// The minimum gain of a plan above its cost, as a share of all the work that the pool could do
    /// until the horizon. It should exceed the error of the pool's model, or the planner acts on noise.
    pub min_gain_share: f64,
}

impl PlanOptions {
    /// Returns the default options for a pool's policy.
    pub fn new(policy: RolePolicy) -> Self {
        Self {
            policy,
            bounds: RoleBounds::default(),
            shape: PoolShape::default(),
            change: Millis::from_secs(14),
            horizon: Millis::from_secs(1_200),
            memory: Millis::from_secs(1_800),
            min_gain_share: 0.05,
        }
    }
}

/// `EngineRole` is the state of an engine that the planner uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRole {
    /// The engine.
    pub name: UpstreamName,
    /// Its role, or the role that it is changing to.
    pub role: Role,
    /// Whether it is being drained for a change or carrying it out.
    pub changing: bool,
    /// Whether it serves, or will serve after its change. Withdrawn and dead engines do not.
    pub serving: bool,
    /// When its role last changed.
    pub changed_at: Option<Millis>,
}

/// `RoleChange` is a role change that an engine should make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub engine: UpstreamName,
    /// The role that it should have.
    pub role: Role,
}

/// `Remembered` is the average work observed under one mix, with a weight that decays.
#[derive(Clone, Copy, Debug, Default)]
struct Remembered {
    weight: f64,
    seen: ObservedWork,
}

/// `RolePlanner` plans the roles of one pool.
///
/// Role counts are valued by the work that the pool completes with them: first under the present mix,
/// for as long as it is expected to last, and then under the earlier mixes, each weighted by how long
/// it lasted. A mix is expected to last as long again as it has lasted already. A mix that lasts only
/// minutes can therefore not pay for a change, but a lasting one can.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    options: PlanOptions,
    remembered: [Remembered; MIX_BINS],
    present: ObservedWork,
    present_mix: usize,
    since: Millis,
    observed_at: Option<Millis>,
}

impl RolePlanner {
    /// Creates a planner without any observed work.
    pub fn new(options: PlanOptions) -> Self {
        Self {
            options,
            remembered: [Remembered::default(); MIX_BINS],
            present: ObservedWork::default(),
            present_mix: 0,
            since: Millis::ZERO,
            observed_at: None,
        }
    }

    /// Records the work of the pool since the last call, summed over all instances.
    pub fn observe(&mut self, seen: &ObservedWork, now: Millis) {
        let span_s = self.observed_at.map_or(1.0, |at| (now - at).as_secs_f64());
        self.observed_at = Some(now);
        let decay = (-span_s / self.options.memory.as_secs_f64()).exp();
        self.remembered.iter_mut().for_each(|mix| mix.weight *= decay);

        let mix = self.mix_of(seen);
        // Uneven arrivals move the mix back and forth between neighbouring bins.
        if mix.abs_diff(self.present_mix) > 1 {
            self.present_mix = mix;
            self.since = now;
        }
        let remembered = &mut self.remembered[mix];
        let part = span_s / (remembered.weight + span_s);
        remembered.seen = remembered.seen.times(1.0 - part).plus(seen.times(part));
        remembered.weight += span_s;
        self.present = if self.present == ObservedWork::default() {
            *seen
        } else {
            self.present.times(0.5).plus(seen.times(0.5))
        };
    }

    /// Returns the roles that should change now.
    pub fn plan(&self, engines: &[EngineRole], now: Millis) -> Vec<RoleChange> {
        let policy = &self.options.policy;
        if !policy.automatic || self.observed_at.is_none() {
            return Vec::new();
        }
        let serving = engines.iter().filter(|engine| engine.serving);
        let mut current = RoleCounts::default();
        serving.clone().for_each(|engine| current.add(engine.role));
        let target = self.target(&current, now);

        // At least one engine may change, since a small pool could otherwise never change.
        let total = current.total();
        let at_once = ((total as f64 * policy.max_changing_share) as usize).max(1);
        let changing = serving.filter(|engine| engine.changing).count();
        self.next_changes(engines, &current, &target, at_once.saturating_sub(changing), now)
    }

    /// Returns the counts with the greatest value net of the cost of changing to them.
    pub fn target(&self, current: &RoleCounts, now: Millis) -> RoleCounts {
        let present_value = self.value(current, now);
        let mut best = *current;
        let capacity = current.total() as f64 * self.options.horizon.as_secs_f64();
        let mut max_net = self.options.min_gain_share * capacity;
        for counts in candidates(current.total()) {
            if counts == *current || !self.options.bounds.allow(&counts) {
                continue;
            }
            let gain = self.value(&counts, now) - present_value;
            let net = gain - self.cost(current.changes_to(&counts));
            if net > max_net {
                max_net = net;
                best = counts;
            }
        }
        best
    }

    /// Returns the work that the pool completes in time with these counts until the horizon, in engine
    /// seconds.
    fn value(&self, counts: &RoleCounts, now: Millis) -> f64 {
        let shape = &self.options.shape;
        let horizon_s = self.options.horizon.as_secs_f64();
        let lasts_s = (now - self.since).as_secs_f64().min(horizon_s);
        let present = shape.served_share(counts, &self.present);

        let weights: f64 = self.remembered.iter().map(|mix| mix.weight).sum();
        let known = self.remembered.iter().filter(|mix| mix.weight > 0.0);
        let shares = known.map(|mix| mix.weight * shape.served_share(counts, &mix.seen));
        let usual = shares.sum::<f64>() / weights.max(1e-9);

        // Observations over a short time are weak evidence for the rest of the horizon. The part that
        // they don't cover is left out of the value of all counts alike.
        let known = (weights / horizon_s).min(1.0);
        counts.total() as f64 * (lasts_s * present + (horizon_s - lasts_s) * known * usual)
    }

    /// Returns the cost of changing the roles of a number of engines, in engine seconds.
    fn cost(&self, changes: usize) -> f64 {
        changes as f64 * self.options.change.as_secs_f64() * self.options.policy.change_weight
    }

    fn next_changes(
        &self,
        engines: &[EngineRole],
        current: &RoleCounts,
        target: &RoleCounts,
        at_most: usize,
        now: Millis,
    ) -> Vec<RoleChange> {
        let can_change = |engine: &&EngineRole| {
            let dwell = self.options.policy.min_dwell_ms;
            engine.serving
                && !engine.changing
                && engine.changed_at.is_none_or(|at| now - at >= dwell)
        };
        let mut counts = *current;
        let mut free: Vec<&EngineRole> = engines.iter().filter(can_change).collect();
        free.sort_by_key(|engine| engine.changed_at);
        let mut changes = Vec::new();
        for engine in free {
            if changes.len() == at_most {
                break;
            }
            if counts.of(engine.role) <= target.of(engine.role) {
                continue;
            }
            let Some(role) = furthest_below_target(&counts, target) else { break };
            counts = moved(&counts, engine.role, role);
            changes.push(RoleChange { engine: engine.name.clone(), role });
        }
        changes
    }

    fn mix_of(&self, seen: &ObservedWork) -> usize {
        let speeds = &self.options.shape.speeds;
        let all = seen.patient.plus(seen.tight);
        let reading = all.prefill / speeds.prefill_tokens_per_ms;
        let generating = all.output / speeds.decode_tokens_per_ms();
        let share = reading / (reading + generating).max(1e-9);
        ((share * MIX_BINS as f64) as usize).min(MIX_BINS - 1)
    }
}

/// Returns the role that has reached the smallest share of its target count. Engines that only read
/// are of no use without engines that only generate, so both have to grow together.
fn furthest_below_target(counts: &RoleCounts, target: &RoleCounts) -> Option<Role> {
    let reached = |role: &Role| counts.of(*role) as f64 / target.of(*role) as f64;
    let roles = [Role::Prefill, Role::Decode, Role::Mixed].into_iter();
    let short = roles.filter(|role| counts.of(*role) < target.of(*role));
    short.min_by(|a, b| reached(a).total_cmp(&reached(b)))
}

fn moved(counts: &RoleCounts, from: Role, to: Role) -> RoleCounts {
    let mut counts = *counts;
    match from {
        Role::Prefill => counts.prefill -= 1,
        Role::Decode => counts.decode -= 1,
        Role::Mixed => counts.mixed -= 1,
    }
    counts.add(to);
    counts
}

/// Returns the counts that are evaluated for a pool. Engines that only read and engines that only
/// generate need each other, so either both or neither are present.
fn candidates(total: usize) -> impl Iterator<Item = RoleCounts> {
    let step = total.div_ceil(STEPS_PER_ROLE).max(1);
    let prefills = (0..=total).step_by(step);
    prefills.flat_map(move |prefill| {
        let decodes = (0..=total - prefill).step_by(step);
        decodes.filter(move |decode| (prefill > 0) == (*decode > 0)).map(move |decode| RoleCounts {
            prefill,
            decode,
            mixed: total - prefill - decode,
        })
    })
}
