//! How many engines of each kind run in each availability zone.
//!
//! The load that this answers: bursts that are over before a new engine has started, on engines of which a
//! reclaimable one costs a fifth of a regular one. All reclaimable engines of a zone may go at the same
//! moment, with a notice that is shorter than a start, and of a second zone some seconds later. So there
//! are more of the cheap kind than of the fleet that the operator started, for as much as they spare,
//! spread evenly; what a zone loses, the others get at once, and regular engines come in only where there
//! are too few of both.

use std::collections::HashMap;
use std::sync::Arc;

use crate::units::Millis;

/// What passes beside the start of an engine until it is listed.
const LISTING_TIME: Millis = Millis(2_500);

/// How long a zone is left alone that has no reclaimable engines to give.
const EXHAUSTED_PAUSE: Millis = Millis(1_500);

/// The share of the engines that must be there, or about to start, after several zones have lost theirs.
/// Regular ones are ordered for what lacks.
const LEAST_AFTER_LOSSES: f64 = 0.6;

/// How long there must be too many engines until fewer are ordered.
const SHRINK_PATIENCE: Millis = Millis::from_secs(8);

/// How long the replacements of regular engines must be listed until those are given up.
const SWITCH_PATIENCE: Millis = Millis(700);

/// `ScalingSpec` is what is declared of the number of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// The least and the most engines of both kinds together in each availability zone.
    pub min: u32,
    /// See `min`.
    pub max: u32,
    /// How long an engine takes to start.
    pub boot: Millis,
    /// What a reclaimable engine costs against a regular one; `None` if there are none.
    pub reclaimable_price: Option<f64>,
}

impl ScalingSpec {
    fn has_cheap_engines(&self) -> bool {
        self.reclaimable_price.is_some_and(|price| price < 1.0)
    }
}

/// `SizeOptions` says how many engines there are to be, against those that there were at first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizeOptions {
    /// The most engines, as a factor.
    pub most: f64,
    /// The most that they may cost, as a share of what the first ones cost if they were all regular.
    pub most_cost: f64,
    /// The share of the first ones that stays regular, whatever else there is.
    pub regular: f64,
}

impl SizeOptions {
    /// Returns how many engines there are to be, as a factor.
    ///
    /// ```
    /// use anvilhook_core::fleet_size::SizeOptions;
    ///
    /// let options = SizeOptions { most: 2.0, most_cost: 0.4, regular: 0.0 };
    /// assert_eq!(options.factor(Some(0.1)), 2.0);
    /// assert_eq!(options.factor(Some(0.25)), 1.6);
    /// assert_eq!(options.factor(Some(0.9)), 1.0);
    /// assert_eq!(options.factor(None), 1.0);
    /// ```
    pub fn factor(&self, reclaimable_price: Option<f64>) -> f64 {
        let affordable = reclaimable_price.map_or(0.0, |price| self.most_cost / price);
        affordable.min(self.most).max(1.0)
    }
}

/// `EngineKind` is on what terms an engine runs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EngineKind {
    /// It runs until it is given up.
    Regular,
    /// It costs less, and may be reclaimed.
    Reclaimable,
}

/// `ZoneEngines` is the engines of a service that are listed in an availability zone and don't leave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneEngines {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The regular ones.
    pub regular: u32,
    /// The reclaimable ones.
    pub reclaimable: u32,
}

/// `SizeOrder` is a number of engines to be ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SizeOrder {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The kind.
    pub kind: EngineKind,
    /// How many are to run.
    pub desired: u32,
    /// Why.
    pub reason: &'static str,
}

/// `SizeAnswer` is what came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SizeAnswer {
    /// It was taken.
    Taken,
    /// There are none to be had now.
    Unavailable,
    /// Nothing is known.
    Unknown,
}

/// `Ordered` is what was ordered last of a kind in a zone.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    desired: u32,
    had: u32,
    is_taken: bool,
    again_at: Millis,
}

/// `ZoneState` is what is remembered of a zone.
#[derive(Clone, Debug, Default)]
struct ZoneState {
    ordered: HashMap<EngineKind, Ordered>,
    /// Since when there are more of a kind than needed.
    spare_since: HashMap<EngineKind, Millis>,
    /// Whether there were no reclaimable ones to be had when they were ordered last.
    is_exhausted: bool,
}

/// `ZoneShare` is what each zone is to have.
#[derive(Clone, Copy, Debug)]
struct ZoneShare {
    /// Engines of both kinds.
    each: u32,
    /// The same while other zones have none to give.
    spread: u32,
    /// Engines that there were at first.
    first: u32,
    /// Regular ones in any case.
    base: u32,
    /// Regular ones that lack since there are too few reclaimable ones anywhere.
    missing: u32,
}

/// `FleetPlanner` decides on the number of one service's engines.
///
/// ```
/// use anvilhook_core::fleet_size::{
///     EngineKind, FleetPlanner, ScalingSpec, SizeOptions, ZoneEngines,
/// };
/// use anvilhook_core::units::Millis;
///
/// let spec =
///     ScalingSpec { min: 1, max: 9, boot: Millis(4_000), reclaimable_price: Some(0.2) };
/// let mut planner = FleetPlanner::new(SizeOptions { most: 1.5, most_cost: 0.5, regular: 0.0 });
/// let zones = [ZoneEngines { zone: "a".into(), regular: 4, reclaimable: 0 }];
/// assert_eq!(planner.orders(&spec, &zones, Millis(0)), [], "others may still be listed");
/// let orders = planner.orders(&spec, &zones, Millis(3_000));
/// assert_eq!((orders[0].kind, orders[0].desired), (EngineKind::Reclaimable, 5));
/// ```
#[derive(Debug)]
pub struct FleetPlanner {
    options: SizeOptions,
    zones: HashMap<Arc<str>, ZoneState>,
    /// How many engines there were at first.
    usual: Option<u32>,
    /// The most engines that were listed while that is not known, and since when.
    listed: (u32, Millis),
}

impl FleetPlanner {
    /// Makes a planner that has seen nothing.
    pub fn new(options: SizeOptions) -> Self {
        Self { options, zones: HashMap::new(), usual: None, listed: (0, Millis::ZERO) }
    }

    /// Returns how many engines there were before any were ordered, if that is known.
    pub fn usual(&self) -> Option<u32> {
        self.usual
    }

    /// Sets how many engines there were before any were ordered, as an earlier holder has noted.
    pub fn set_usual(&mut self, engines: u32) {
        self.usual = Some(engines);
    }

    /// Notes how many engines are listed. Those that start with the instances are listed one after the
    /// other.
    fn note_listed(&mut self, listed: u32, now: Millis) {
        if listed > self.listed.0 {
            self.listed = (listed, now);
        }
        let (most, since) = self.listed;
        if self.usual.is_none() && most > 0 && now >= since + LISTING_TIME {
            self.usual = Some(most);
        }
    }

    /// Returns the orders that are due, by the engines that are listed.
    pub fn orders(
        &mut self,
        spec: &ScalingSpec,
        zones: &[ZoneEngines],
        now: Millis,
    ) -> Vec<SizeOrder> {
        let listed: u32 = zones.iter().map(|zone| zone.regular + zone.reclaimable).sum();
        self.note_listed(listed, now);
        let Some(usual) = self.usual else { return Vec::new() };
        let zone_count = zones.len() as u32;
        let wanted = self.wanted(spec, usual);
        let giving = zones.iter().filter(|zone| !self.is_exhausted(zone)).count().max(1) as u32;
        let share = ZoneShare {
            each: wanted.div_ceil(zone_count).clamp(spec.min, spec.max),
            spread: wanted.div_ceil(giving).clamp(spec.min, spec.max),
            first: usual.div_ceil(zone_count),
            base: part_of(usual, self.options.regular).div_ceil(zone_count),
            missing: self.missing_each(usual, zones, now),
        };
        let orders = zones.iter().flat_map(|zone| self.zone_orders(spec, zone, share, now));
        orders.collect()
    }

    /// Returns how many engines there are to be, in all.
    fn wanted(&self, spec: &ScalingSpec, usual: u32) -> u32 {
        part_of(usual, self.options.factor(spec.reclaimable_price))
    }

    /// Returns how many regular engines each zone needs since there are, and are about to be, too few
    /// reclaimable ones in all.
    fn missing_each(&self, usual: u32, zones: &[ZoneEngines], now: Millis) -> u32 {
        let expected = zones.iter().map(|zone| {
            let state = self.zones.get(&zone.zone);
            let kind = EngineKind::Reclaimable;
            state.map_or(0, |state| state.expected(kind, zone.reclaimable, now))
        });
        part_of(usual, LEAST_AFTER_LOSSES)
            .saturating_sub(expected.sum())
            .div_ceil(zones.len() as u32)
    }

    /// Returns whether a zone has lost its reclaimable engines, and has no others to give.
    fn is_exhausted(&self, zone: &ZoneEngines) -> bool {
        let state = self.zones.get(&zone.zone);
        zone.reclaimable == 0 && state.is_some_and(|state| state.is_exhausted)
    }

    fn zone_orders(
        &mut self,
        spec: &ScalingSpec,
        zone: &ZoneEngines,
        share: ZoneShare,
        now: Millis,
    ) -> Vec<SizeOrder> {
        let ZoneEngines { regular, reclaimable, .. } = *zone;
        let engines = if self.is_exhausted(zone) { share.each } else { share.spread };
        let state = self.zones.entry(Arc::clone(&zone.zone)).or_default();
        let (reclaimable_target, regular_target) = if spec.has_cheap_engines() {
            // Those of the first fleet make room for others as soon as there are as many, and those that
            // are about to start are not relied on.
            let needed = engines.min(share.first).saturating_sub(reclaimable);
            let least = share.missing.max(share.base).min(spec.max.saturating_sub(reclaimable));
            let cheap = engines.saturating_sub(share.base).min(spec.max.saturating_sub(regular));
            (cheap, regular.clamp(least, needed.max(least)))
        } else {
            (0, engines)
        };
        let kinds = [
            (EngineKind::Reclaimable, reclaimable, reclaimable_target),
            (EngineKind::Regular, regular, regular_target),
        ];
        let due = kinds.into_iter().filter_map(|(kind, has, desired)| {
            let reason = state.due(kind, has, desired, now)?;
            Some(SizeOrder { zone: Arc::clone(&zone.zone), kind, desired, reason })
        });
        due.collect()
    }

    /// Notes what came of an order in a zone with so many engines of its kind.
    pub fn record_answer(
        &mut self,
        spec: &ScalingSpec,
        order: &SizeOrder,
        has: u32,
        answer: SizeAnswer,
        now: Millis,
    ) {
        let state = self.zones.entry(Arc::clone(&order.zone)).or_default();
        let pause = match answer {
            SizeAnswer::Taken => spec.boot + LISTING_TIME,
            SizeAnswer::Unavailable | SizeAnswer::Unknown => EXHAUSTED_PAUSE,
        };
        let is_taken = answer == SizeAnswer::Taken;
        if order.kind == EngineKind::Reclaimable && answer != SizeAnswer::Unknown {
            state.is_exhausted = !is_taken;
        }
        let again_at = now + pause;
        let ordered = Ordered { desired: order.desired, had: has, is_taken, again_at };
        state.ordered.insert(order.kind, ordered);
    }
}

impl ZoneState {
    /// Returns how many of a kind there are, with those that are about to start.
    fn expected(&self, kind: EngineKind, has: u32, now: Millis) -> u32 {
        let starting = self.ordered.get(&kind).filter(|one| one.is_taken && now < one.again_at);
        starting.map_or(has, |ordered| ordered.desired.max(has))
    }

    /// Returns why an order is due, if one is.
    fn due(
        &mut self,
        kind: EngineKind,
        has: u32,
        target: u32,
        now: Millis,
    ) -> Option<&'static str> {
        let ordered = self.ordered.get(&kind).copied();
        let is_waiting = ordered.is_some_and(|ordered| {
            // One that is lost meanwhile is ordered at once.
            now < ordered.again_at && ordered.desired == target && has >= ordered.had.min(target)
        });
        if has < target {
            self.spare_since.remove(&kind);
            return (!is_waiting).then_some("too_few");
        }
        if has == target {
            self.spare_since.remove(&kind);
            return None;
        }
        let since = *self.spare_since.entry(kind).or_insert(now);
        let patience = match kind {
            EngineKind::Regular => SWITCH_PATIENCE,
            EngineKind::Reclaimable => SHRINK_PATIENCE,
        };
        (now >= since + patience && !is_waiting).then_some("too_many")
    }
}

/// Returns a part of some engines, or a multiple, rounded up.
fn part_of(engines: u32, factor: f64) -> u32 {
    (f64::from(engines) * factor).ceil() as u32
}
