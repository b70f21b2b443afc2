//! The role planner.

use super::capacities::{PoolShape, RoleCounts};
use super::meters::ObservedWork;
use crate::names::UpstreamName;
use crate::orders::Role;
use crate::resources::RolePolicy;
use crate::units::Millis;

/// The number of mixes that are told apart in what was seen, by the share of reading in the work.
const MIX_BINS: usize = 12;

/// The number of counts per role that are weighed at most. A greater pool is planned in steps.
const STEPS_PER_ROLE: usize = 12;

/// `RoleBounds` are the fewest and most engines of each role, as `RoleSpec` resources declare them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleBounds {
    /// The fewest.
    pub min: RoleCounts,
    /// The most.
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

/// `PlanOptions` says how the planner weighs.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanOptions {
    /// The pool's policy.
    pub policy: RolePolicy,
    /// The bounds on roles.
    pub bounds: RoleBounds,
    /// What the engines can do.
    pub shape: PoolShape,
    /// How long a change takes an engine out of service, its drain included.
    pub change: Millis,
    /// The time for which a plan is made.
    pub horizon: Millis,
    /// The time over which what was seen loses its weight.
    pub memory: Millis,
    /// The least gain of a plan above its cost, as a share of all that the pool could do until the
    /// horizon. It should exceed the error of the pool's model, or the planner acts on noise.
    pub min_gain_share: f64,
}

impl PlanOptions {
    /// Returns the usual options for a pool's policy.
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

/// `EngineRole` is an engine as the planner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRole {
    /// The engine.
    pub name: UpstreamName,
    /// Its role, or the one that it is changing to.
    pub role: Role,
    /// Whether it is being drained for a change or carrying it out.
    pub changing: bool,
    /// Whether it serves, or will after its change. Withdrawn and dead engines don't.
    pub serving: bool,
    /// When its role changed last.
    pub changed_at: Option<Millis>,
}

/// `RoleChange` is one role that should change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub engine: UpstreamName,
    /// The role that it should have.
    pub role: Role,
}

/// What was seen of one mix, with a weight that fades.
#[derive(Clone, Copy, Debug, Default)]
struct Remembered {
    weight: f64,
    seen: ObservedWork,
}

/// `RolePlanner` plans the roles of one pool.
///
/// Counts of roles are valued by the work that they carry: first under the present mix, for as
/// long as it is expected to last, and then under the mixes that were seen before, each by the
/// time that it lasted. A mix is expected to last as long again as it has lasted. So a mix that
/// comes and goes within minutes cannot pay for a change; one that stays can.
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
    /// Makes a planner that has seen nothing.
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

    /// Takes in the work of the pool, summed over all instances, since the last call.
    pub fn observe(&mut self, seen: &ObservedWork, now: Millis) {
        let span_s = self.observed_at.map_or(1.0, |at| (now - at).as_secs_f64());
        self.observed_at = Some(now);
        let fade = (-span_s / self.options.memory.as_secs_f64()).exp();
        self.remembered.iter_mut().for_each(|mix| mix.weight *= fade);

        let mix = self.mix_of(seen);
        // Uneven arrivals move the mix to and fro between neighbours.
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

        // At least one engine may change, or a small pool never could.
        let total = current.total();
        let at_once = ((total as f64 * policy.max_changing_share) as usize).max(1);
        let changing = serving.filter(|engine| engine.changing).count();
        self.steps(engines, &current, &target, at_once.saturating_sub(changing), now)
    }

    /// Returns the counts that are worth the most above the cost of changing to them.
    pub fn target(&self, current: &RoleCounts, now: Millis) -> RoleCounts {
        let present_value = self.value(current, now);
        let mut best = *current;
        let all = current.total() as f64 * self.options.horizon.as_secs_f64();
        let mut most = self.options.min_gain_share * all;
        for counts in candidates(current.total()) {
            if counts == *current || !self.options.bounds.allow(&counts) {
                continue;
            }
            let gain = self.value(&counts, now) - present_value;
            let net = gain - self.cost(current.changes_to(&counts));
            if net > most {
                most = net;
                best = counts;
            }
        }
        best
    }

    /// Returns the work that the counts carry until the horizon, in engine seconds.
    fn value(&self, counts: &RoleCounts, now: Millis) -> f64 {
        let shape = &self.options.shape;
        let horizon_s = self.options.horizon.as_secs_f64();
        let lasts_s = (now - self.since).as_secs_f64().min(horizon_s);
        let present = shape.served_share(counts, &self.present);

        let weights: f64 = self.remembered.iter().map(|mix| mix.weight).sum();
        let known = self.remembered.iter().filter(|mix| mix.weight > 0.0);
        let shares = known.map(|mix| mix.weight * shape.served_share(counts, &mix.seen));
        let usual = shares.sum::<f64>() / weights.max(1e-9);

        // What was seen for a short time says little about the rest of the horizon. That part is
        // left out of the value of all counts alike.
        let known = (weights / horizon_s).min(1.0);
        counts.total() as f64 * (lasts_s * present + (horizon_s - lasts_s) * known * usual)
    }

    /// Returns what changing a number of engines costs, in engine seconds.
    fn cost(&self, changes: usize) -> f64 {
        changes as f64 * self.options.change.as_secs_f64() * self.options.policy.change_weight
    }

    fn steps(
        &self,
        engines: &[EngineRole],
        current: &RoleCounts,
        target: &RoleCounts,
        at_most: usize,
        now: Millis,
    ) -> Vec<RoleChange> {
        let rested = |engine: &&EngineRole| {
            let dwell = self.options.policy.min_dwell_ms;
            engine.serving
                && !engine.changing
                && engine.changed_at.is_none_or(|at| now - at >= dwell)
        };
        let mut counts = *current;
        let mut free: Vec<&EngineRole> = engines.iter().filter(rested).collect();
        free.sort_by_key(|engine| engine.changed_at);
        let mut changes = Vec::new();
        for engine in free {
            if changes.len() == at_most {
                break;
            }
            if counts.of(engine.role) <= target.of(engine.role) {
                continue;
            }
            let Some(role) = most_wanted(&counts, target) else { break };
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

/// Returns the role that is furthest from its target count. Engines that only read are of no use
/// without ones that only generate, so both have to grow together.
fn most_wanted(counts: &RoleCounts, target: &RoleCounts) -> Option<Role> {
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

/// Returns the counts that are weighed for a pool. Engines that only read and ones that only
/// generate need each other.
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
