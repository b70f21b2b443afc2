//! Plans how many engines of each kind run in each availability zone.
//!
//! Designed for: bursts that are shorter than the start of an engine, and reclaimable engines that cost a
//! fifth of a regular one. All reclaimable engines of a zone may be reclaimed at once, with a notice that
//! is shorter than the start of an engine, and those of a second zone some seconds later. The planner
//! therefore spends what the cheap engines save on running more of them than the operator started, spread
//! evenly over the zones. Engines that one zone loses are ordered in the others at once. Regular engines
//! are ordered only where there are too few engines of both kinds.

use std::collections::HashMap;
use std::sync::Arc;

use crate::units::Millis;

/// The time that passes, in addition to an engine's start, until it is listed.
const LISTING_TIME: Millis = Millis(2_500);

/// How long a zone that has no reclaimable engines available is skipped.
const EXHAUSTED_PAUSE: Millis = Millis(1_500);

/// The share of the initial engines that must run or be starting after several zones have lost theirs.
/// Regular engines are ordered to make up the difference.
const MIN_SHARE_AFTER_LOSSES: f64 = 0.6;

/// How long there must be too many reclaimable engines before fewer are ordered.
const SHRINK_DELAY: Millis = Millis::from_secs(8);

/// How long the replacements of regular engines must be listed before the regular ones are released.
const SWITCH_DELAY: Millis = Millis(700);

/// `ScalingSpec` is the declared scaling of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// The minimum number of engines of both kinds together in each availability zone.
    pub min: u32,
    /// The maximum number of engines of both kinds together in each availability zone.
    pub max: u32,
    /// How long an engine takes to start.
    pub boot: Millis,
    /// The cost of a reclaimable engine relative to a regular one; `None` if there are no reclaimable engines.
    pub reclaimable_price: Option<f64>,
}

impl ScalingSpec {
    fn has_cheap_engines(&self) -> bool {
        self.reclaimable_price.is_some_and(|price| price < 1.0)
    }
}

/// `SizeOptions` sets the planned number of engines relative to the initial number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizeOptions {
    /// The maximum number of engines, as a factor of the initial number.
    pub max_factor: f64,
    /// The maximum cost, as a share of the cost of the initial engines if all of them were regular.
    pub max_cost: f64,
    /// The share of the initial engines that always stays regular.
    pub regular: f64,
}

impl SizeOptions {
    /// Returns the planned number of engines, as a factor of the initial number.
    ///
    /// ```
    /// use anvilhook_core::fleet_size::SizeOptions;
    ///
    /// let options = SizeOptions { max_factor: 2.0, max_cost: 0.4, regular: 0.0 };
    /// assert_eq!(options.factor(Some(0.1)), 2.0);
    /// assert_eq!(options.factor(Some(0.25)), 1.6);
    /// assert_eq!(options.factor(Some(0.9)), 1.0);
    /// assert_eq!(options.factor(None), 1.0);
    /// ```
    pub fn factor(&self, reclaimable_price: Option<f64>) -> f64 {
        let affordable = reclaimable_price.map_or(0.0, |price| self.max_cost / price);
        affordable.min(self.max_factor).max(1.0)
    }
}

/// `EngineKind` distinguishes engines by whether they may be reclaimed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EngineKind {
    /// It runs until it is released.
    Regular,
    /// It costs less and may be reclaimed.
    Reclaimable,
}

/// `ZoneEngines` counts the engines of a service in an availability zone that are listed and not leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneEngines {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The number of regular engines.
    pub regular: u32,
    /// The number of reclaimable engines.
    pub reclaimable: u32,
}

/// `SizeOrder` orders a number of engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SizeOrder {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The kind of the engines.
    pub kind: EngineKind,
    /// The number of engines that are to run.
    pub desired: u32,
    /// The reason, as it is logged.
    pub reason: &'static str,
}

/// `SizeAnswer` is the outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SizeAnswer {
    /// The order was accepted.
    Taken,
    /// No engines of this kind are available now.
    Unavailable,
    /// The outcome is not known.
    Unknown,
}

/// `Ordered` is the last order for engines of a kind in a zone.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    desired: u32,
    had: u32,
    is_taken: bool,
    retry_at: Millis,
}

/// `ZoneState` is the planner's state of a zone.
#[derive(Clone, Debug, Default)]
struct ZoneState {
    ordered: HashMap<EngineKind, Ordered>,
    /// Since when there have been more engines of a kind than needed.
    spare_since: HashMap<EngineKind, Millis>,
    /// Whether no reclaimable engines were available when they were last ordered.
    is_exhausted: bool,
}

/// `ZoneShare` is each zone's share of the engines.
#[derive(Clone, Copy, Debug)]
struct ZoneShare {
    /// Engines of both kinds.
    each: u32,
    /// Engines of both kinds while some zones have no reclaimable engines available.
    spread: u32,
    /// Engines in the initial fleet.
    first: u32,
    /// Regular engines that run in any case.
    base: u32,
    /// Regular engines needed because there are too few reclaimable ones over all zones.
    missing: u32,
}

/// `FleetPlanner` decides how many engines of one service run.
///
/// ```
/// use anvilhook_core::fleet_size::{
///     EngineKind, FleetPlanner, ScalingSpec, SizeOptions, ZoneEngines,
/// };
/// use anvilhook_core::units::Millis;
///
/// let spec =
///     ScalingSpec { min: 1, max: 9, boot: Millis(4_000), reclaimable_price: Some(0.2) };
/// let mut planner = FleetPlanner::new(SizeOptions { max_factor: 1.5, max_cost: 0.5, regular: 0.0 });
/// let zones = [ZoneEngines { zone: "a".into(), regular: 4, reclaimable: 0 }];
/// assert_eq!(planner.orders(&spec, &zones, Millis(0)), [], "more engines may still be listed");
/// let orders = planner.orders(&spec, &zones, Millis(3_000));
/// assert_eq!((orders[0].kind, orders[0].desired), (EngineKind::Reclaimable, 5));
/// ```
#[derive(Debug)]
pub struct FleetPlanner {
    options: SizeOptions,
    zones: HashMap<Arc<str>, ZoneState>,
    /// The initial number of engines, before any were ordered.
    usual: Option<u32>,
    /// The highest number of engines listed while `usual` is not known, and since when.
    listed: (u32, Millis),
}

impl FleetPlanner {
    /// Creates a planner that has observed no engines.
    pub fn new(options: SizeOptions) -> Self {
        Self { options, zones: HashMap::new(), usual: None, listed: (0, Millis::ZERO) }
    }

    /// Returns how many engines there were before any were ordered, if that is known.
    pub fn usual(&self) -> Option<u32> {
        self.usual
    }

    /// Sets how many engines there were before any were ordered, as recorded by an earlier lease holder.
    pub fn set_usual(&mut self, engines: u32) {
        self.usual = Some(engines);
    }

    /// Records how many engines are listed. Engines that start together with the instances are listed one
    /// after the other, so the initial number is only known once it has not grown for `LISTING_TIME`.
    fn record_listed(&mut self, listed: u32, now: Millis) {
        if listed > self.listed.0 {
            self.listed = (listed, now);
        }
        let (highest, since) = self.listed;
        if self.usual.is_none() && highest > 0 && now >= since + LISTING_TIME {
            self.usual = Some(highest);
        }
    }

    /// Returns the orders to give now for the listed engines.
    pub fn orders(
        &mut self,
        spec: &ScalingSpec,
        zones: &[ZoneEngines],
        now: Millis,
    ) -> Vec<SizeOrder> {
        let listed: u32 = zones.iter().map(|zone| zone.regular + zone.reclaimable).sum();
        self.record_listed(listed, now);
        let Some(usual) = self.usual else { return Vec::new() };
        // While no engine is listed, no zone is known in which one could be ordered.
        let zone_count = zones.len().max(1) as u32;
        let wanted = self.wanted(spec, usual);
        let available = zones.iter().filter(|zone| !self.is_exhausted(zone)).count().max(1) as u32;
        let share = ZoneShare {
            each: wanted.div_ceil(zone_count).clamp(spec.min, spec.max),
            spread: wanted.div_ceil(available).clamp(spec.min, spec.max),
            first: usual.div_ceil(zone_count),
            base: part_of(usual, self.options.regular).div_ceil(zone_count),
            missing: self.missing_each(usual, zones, now),
        };
        let orders = zones.iter().flat_map(|zone| self.zone_orders(spec, zone, share, now));
        orders.collect()
    }

    /// Returns the planned number of engines in total.
    fn wanted(&self, spec: &ScalingSpec, usual: u32) -> u32 {
        part_of(usual, self.options.factor(spec.reclaimable_price))
    }

    /// Returns how many regular engines each zone needs because too few reclaimable ones run or are starting
    /// over all zones.
    fn missing_each(&self, usual: u32, zones: &[ZoneEngines], now: Millis) -> u32 {
        let expected = zones.iter().map(|zone| {
            let state = self.zones.get(&zone.zone);
            let kind = EngineKind::Reclaimable;
            state.map_or(0, |state| state.expected(kind, zone.reclaimable, now))
        });
        part_of(usual, MIN_SHARE_AFTER_LOSSES)
            .saturating_sub(expected.sum())
            .div_ceil(zones.len().max(1) as u32)
    }

    /// Returns whether a zone has lost its reclaimable engines and has no others available.
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
            // Regular engines of the initial fleet are released once the same number of reclaimable ones
            // is listed. Engines that are about to start are not counted.
            let needed = engines.min(share.first).saturating_sub(reclaimable);
            let min_regular =
                share.missing.max(share.base).min(spec.max.saturating_sub(reclaimable));
            let cheap = engines.saturating_sub(share.base).min(spec.max.saturating_sub(regular));
            (cheap, regular.clamp(min_regular, needed.max(min_regular)))
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

    /// Records the outcome of an order in a zone that has `has` engines of the ordered kind.
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
        let retry_at = now + pause;
        let ordered = Ordered { desired: order.desired, had: has, is_taken, retry_at };
        state.ordered.insert(order.kind, ordered);
    }
}

impl ZoneState {
    /// Returns how many engines of a kind run or are starting.
    fn expected(&self, kind: EngineKind, has: u32, now: Millis) -> u32 {
        let starting = self.ordered.get(&kind).filter(|one| one.is_taken && now < one.retry_at);
        starting.map_or(has, |ordered| ordered.desired.max(has))
    }

    /// Returns the reason for an order if one must be given now.
    fn due(
        &mut self,
        kind: EngineKind,
        has: u32,
        target: u32,
        now: Millis,
    ) -> Option<&'static str> {
        let ordered = self.ordered.get(&kind).copied();
        let is_waiting = ordered.is_some_and(|ordered| {
            // If an engine is lost meanwhile, its replacement is ordered at once.
            now < ordered.retry_at && ordered.desired == target && has >= ordered.had.min(target)
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
        let delay = match kind {
            EngineKind::Regular => SWITCH_DELAY,
            EngineKind::Reclaimable => SHRINK_DELAY,
        };
        (now >= since + delay && !is_waiting).then_some("too_many")
    }
}

/// Returns a fraction or a multiple of a number of engines, rounded up.
fn part_of(engines: u32, factor: f64) -> u32 {
    (f64::from(engines) * factor).ceil() as u32
}
