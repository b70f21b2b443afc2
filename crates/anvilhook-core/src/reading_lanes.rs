//! Reserves part of the engines that read (prefill) prompts for short prompts, and spreads the choices of
//! instances that have the same stale information.
//!
//! Designed for: dozens of instances that learn of each other's prompts 50 to 150 ms late, and a mix of
//! prompts of 10 ms and of 300 to 1,000 ms that changes by a factor of three within seconds. An engine
//! that was idle when its load was reported has a long prompt by now, and short prompts of other
//! instances wait behind it until they are late. Lanes follow from the listed engines and the instance's own
//! prompts, not from load reports, so they protect short prompts even if no report arrives.

use crate::pacing::is_short;
use crate::units::Millis;

/// The time after which recorded work has lost two thirds of its weight, for the newest estimate of the
/// mix and for the estimate that is used as long as the newest one has too few prompts. A mix may change
/// every 2.8 s.
const FAST_DECAY_TIME: Millis = Millis(1_000);
const SLOW_DECAY_TIME: Millis = Millis(10_000);

/// The number of recent prompts of a kind at which the newest estimate counts alone. An instance among
/// 90 reads one long prompt in two seconds, and its newest estimate is mostly noise.
const MIN_SAMPLE_PROMPTS: f64 = 16.0;

/// The number of prompts of both kinds after which their mix is known, and the share of short work that is
/// assumed before.
const MIN_MIX_PROMPTS: f64 = 32.0;
const EXPECTED_SHORT_PART: f64 = 0.15;

/// The number of recent prompts of a kind, with decaying weight, below which the kind is absent: a single
/// prompt counts for 23 s.
const MIN_PRESENT_PROMPTS: f64 = 0.1;

/// The share of engines that short prompts get in addition to their part of the work, as a multiple of
/// that part where it is small. Instances do not see each other's short prompts in time to spread them
/// evenly, so a lane without headroom has queues.
const SHORT_HEADROOM: f64 = 1.5;

/// The minimum change of the share of engines, in absolute terms and relative to the share. Smaller
/// changes would move engines to and fro between the lanes, with the shared parts that they cache.
const MIN_CHANGE: f64 = 0.03;
const MIN_RELATIVE_CHANGE: f64 = 0.1;

/// The minimum number of engines of a zone that are divided into lanes.
const MIN_ENGINES: usize = 4;

/// The part of an engine below which the lane of short prompts is not extended by that engine. The rest
/// of the fractions is rounded in favor of short prompts, which have the tight objective.
const ROUNDED_DOWN: f64 = 0.2;

/// The cost of a short prompt in the lane of long ones, as a share of the tightest objective. It leaves
/// time to be answered within the objective when the other lane is overloaded.
const SHORT_CROSSING: f64 = 0.4;

/// The cost of a short prompt at an engine that long prompts use after a wait, as a share of the tightest
/// objective.
const SHORT_AT_BORDER: f64 = 0.05;

/// The cost of a long prompt in the lane of short ones, as a multiple of its work there, and its bound as
/// a multiple of the tightest objective. While one long prompt is read, dozens of short ones arrive.
const LONG_CROSSING: f64 = 2.0;
const MAX_LONG_CROSSING: f64 = 4.0;

/// The reduction of that cost at the border for each millisecond that a long prompt has waited. After it
/// has waited for as long as its work takes, the cost is zero.
const WAIT_FACTOR: f64 = 2.0;

/// The maximum spread of costs by which instances make different choices, in milliseconds, and the same
/// as a multiple of the prompt's work. It is about the age of reports within a zone. A greater spread
/// would outweigh the cost of a second copy of a cached part.
const MAX_SPREAD_MS: f64 = 30.0;
const SPREAD_FACTOR: f64 = 2.0;

/// `PromptSize` distinguishes short prompts from long ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromptSize {
    /// The work is at most the share of the tightest objective up to which a prompt is sent at once.
    Short,
    /// It is more.
    Long,
}

impl PromptSize {
    /// Returns the size of a prompt. `work_ms` is the time to read all of it at the mean speed of the
    /// service's engines. Cached parts are not deducted, or a prompt would change its lane with the
    /// contents of the caches.
    pub fn of(work_ms: f64, tightest: Millis) -> Self {
        if is_short(work_ms, tightest) { PromptSize::Short } else { PromptSize::Long }
    }
}

/// `Recent` is recent work and the number of recent prompts, with decaying weight.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    work_ms: f64,
    prompts: f64,
    at: Millis,
}

impl Recent {
    fn at(&self, now: Millis, decay_time: Millis) -> Recent {
        let decay = (-(now - self.at).as_secs_f64() / decay_time.as_secs_f64()).exp();
        Recent { work_ms: self.work_ms * decay, prompts: self.prompts * decay, at: now }
    }

    fn record(&mut self, work_ms: f64, now: Millis, decay_time: Millis) {
        let before = self.at(now, decay_time);
        *self =
            Recent { work_ms: before.work_ms + work_ms, prompts: before.prompts + 1.0, at: now };
    }
}

/// `KindOfWork` is the recent work of short or of long prompts.
#[derive(Clone, Copy, Debug, Default)]
struct KindOfWork {
    fast: Recent,
    slow: Recent,
}

impl KindOfWork {
    fn record(&mut self, work_ms: f64, now: Millis) {
        self.fast.record(work_ms, now, FAST_DECAY_TIME);
        self.slow.record(work_ms, now, SLOW_DECAY_TIME);
    }

    /// Returns the number of recent prompts, with decaying weight.
    fn prompts(&self, now: Millis) -> f64 {
        self.slow.at(now, SLOW_DECAY_TIME).prompts
    }

    /// Returns the work of a second by the slow estimate, in milliseconds.
    fn slow_rate(&self, now: Millis) -> f64 {
        self.slow.at(now, SLOW_DECAY_TIME).work_ms / SLOW_DECAY_TIME.as_secs_f64()
    }

    /// Returns the work of a second, in milliseconds.
    fn rate(&self, now: Millis) -> f64 {
        let fast = self.fast.at(now, FAST_DECAY_TIME);
        let slow = self.slow.at(now, SLOW_DECAY_TIME);
        let slow_rate = self.slow_rate(now);
        // The number of prompts that the fast estimate is expected to contain: its precision is known
        // even if it contains none, because the kind has ended.
        let expected = slow.prompts * FAST_DECAY_TIME.as_secs_f64() / SLOW_DECAY_TIME.as_secs_f64();
        let weight = (expected.max(fast.prompts) / MIN_SAMPLE_PROMPTS).min(1.0);
        fast.work_ms / FAST_DECAY_TIME.as_secs_f64() * weight + slow_rate * (1.0 - weight)
    }
}

/// `LaneMix` holds the recent reading work of short and of long prompts and the share of engines that
/// follows from it.
///
/// ```
/// use anvilhook_core::reading_lanes::{LaneMix, PromptSize};
/// use anvilhook_core::units::Millis;
///
/// let mut mix = LaneMix::default();
/// (0..100).for_each(|at| mix.record(PromptSize::Short, 10.0, Millis(1_000 + at * 10)));
/// assert_eq!(mix.short_share(None, Millis(2_000)), None, "only one kind");
/// (0..100).for_each(|at| mix.record(PromptSize::Long, 90.0, Millis(2_000 + at * 10)));
/// let share = mix.short_share(None, Millis(3_000)).expect("both kinds");
/// assert!(share > 0.03 && share < 0.3, "{share}");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LaneMix {
    short: KindOfWork,
    long: KindOfWork,
    share: Option<f64>,
}

impl LaneMix {
    /// Records a prompt that is sent to an engine, with the time that the engine needs to read it, in
    /// milliseconds.
    pub fn record(&mut self, size: PromptSize, work_ms: f64, now: Millis) {
        match size {
            PromptSize::Short => self.short.record(work_ms, now),
            PromptSize::Long => self.long.record(work_ms, now),
        }
    }

    /// Updates and returns the share of engines that is reserved for short prompts, or `None` if there is only one
    /// kind of work. `arriving` is the size of the prompt that is to be placed, if any.
    pub fn short_share(&mut self, arriving: Option<PromptSize>, now: Millis) -> Option<f64> {
        let (short, long) = (self.short.prompts(now), self.long.prompts(now));
        let is_present =
            |prompts: f64, size| prompts >= MIN_PRESENT_PROMPTS || arriving == Some(size);
        if !is_present(short, PromptSize::Short) || !is_present(long, PromptSize::Long) {
            self.share = None;
            return None;
        }
        // The lane of short prompts grows fast and shrinks slowly: an engine that is returned to it is still
        // busy with long prompts when the mix flips back.
        let short_rate = self.short.rate(now).max(self.short.slow_rate(now));
        let long_rate = self.long.rate(now);
        let weight = ((short + long) / MIN_MIX_PROMPTS).min(1.0);
        // One of the rates is positive, as at least one kind has been recorded.
        let observed = short_rate / (short_rate + long_rate).max(f64::MIN_POSITIVE);
        let part = observed * weight + EXPECTED_SHORT_PART * (1.0 - weight);
        // The headroom is greatest, in relation to the work, where short prompts are few.
        let wanted = part + SHORT_HEADROOM * part * (1.0 - part).powi(2);
        let is_near = |share: f64| {
            (wanted - share).abs() < MIN_CHANGE.max(MIN_RELATIVE_CHANGE * share.min(1.0 - share))
        };
        self.share = Some(self.share.filter(|share| is_near(*share)).unwrap_or(wanted));
        self.share
    }
}

/// `Lane` is the part of a zone's reading engines to which an engine belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lane {
    /// The engines that are reserved for short prompts.
    Short,
    /// The engines that are reserved for short prompts until long ones have waited for some time.
    Border,
    /// The engines for long prompts.
    Long,
}

impl Lane {
    /// Returns the text used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Lane::Short => "short",
            Lane::Border => "border",
            Lane::Long => "long",
        }
    }

    /// Returns whether prompts of a size prefer the lane.
    pub fn suits(self, size: PromptSize) -> bool {
        (self == Lane::Long) == (size == PromptSize::Long)
    }

    /// Returns the cost of reading a prompt in this lane in addition to its time, in milliseconds.
    ///
    /// `work_ms` is the time that the engine needs for it, `waited` the time since it arrived, and
    /// `tightest` the tightest objective of the service. The cost is bounded, so that prompts use the
    /// other lane if their own is overloaded. The prompts that make an engine's lane overloaded mostly
    /// wait at the instances, so a long prompt's wait counts as well as the backlog. It never counts at
    /// the engines reserved for short prompts, as most long prompts have waited in a long overload.
    ///
    /// ```
    /// use anvilhook_core::reading_lanes::{Lane, PromptSize};
    /// use anvilhook_core::units::Millis;
    ///
    /// let cost = |lane: Lane, size, work_ms, waited| {
    ///     lane.cost_ms(size, work_ms, Millis(waited), Millis(250))
    /// };
    /// assert_eq!(cost(Lane::Long, PromptSize::Short, 10.0, 0), 100.0);
    /// assert_eq!(cost(Lane::Short, PromptSize::Long, 400.0, 500), 800.0);
    /// assert_eq!(cost(Lane::Short, PromptSize::Long, 20.0, 0), 40.0, "most of it is cached");
    /// assert_eq!(cost(Lane::Border, PromptSize::Long, 400.0, 100), 600.0);
    /// assert_eq!(cost(Lane::Border, PromptSize::Long, 400.0, 400), 0.0);
    /// ```
    pub fn cost_ms(self, size: PromptSize, work_ms: f64, waited: Millis, tightest: Millis) -> f64 {
        let tightest_ms = tightest.0 as f64;
        let crossing_ms = (work_ms * LONG_CROSSING).min(tightest_ms * MAX_LONG_CROSSING);
        match (self, size) {
            (Lane::Short, PromptSize::Short) | (Lane::Long, PromptSize::Long) => 0.0,
            (Lane::Border, PromptSize::Short) => tightest_ms * SHORT_AT_BORDER,
            (Lane::Long, PromptSize::Short) => tightest_ms * SHORT_CROSSING,
            (Lane::Short, PromptSize::Long) => crossing_ms,
            (Lane::Border, PromptSize::Long) => {
                (crossing_ms - waited.0 as f64 * WAIT_FACTOR).max(0.0)
            }
        }
    }
}

/// `Lanes` assigns the reading engines of each zone to lanes. `Z` identifies a zone.
///
/// Engines are ranked by a hash, so that instances with the same list assign the same engines, and a
/// change of the share or of the list moves as few as possible.
///
/// ```
/// use anvilhook_core::reading_lanes::{Lane, Lanes};
///
/// let engines = [("a", 7), ("a", 3), ("a", 5), ("a", 9), ("b", 1), ("b", 2)];
/// let lanes = Lanes::new(engines, 0.5);
/// assert_eq!(lanes.lane("a", 3), Some(Lane::Short));
/// assert_eq!(lanes.lane("a", 5), Some(Lane::Border));
/// assert_eq!(lanes.lane("a", 7), Some(Lane::Long));
/// assert_eq!(lanes.lane("b", 1), None, "too few engines");
/// assert_eq!(lanes.short_engines(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct Lanes<Z> {
    zones: Vec<ZoneLanes<Z>>,
}

/// `ZoneLanes` holds the hashes of the first engine of the border and of the long lane of a zone.
#[derive(Clone, Debug)]
struct ZoneLanes<Z> {
    zone: Z,
    border_from: u64,
    long_from: u64,
    short_engines: usize,
}

impl<Z: Copy + Ord> Lanes<Z> {
    /// Divides engines, which are given with their zones and hashes, by the share for short prompts.
    pub fn new(engines: impl IntoIterator<Item = (Z, u64)>, short_share: f64) -> Self {
        let mut engines: Vec<(Z, u64)> = engines.into_iter().collect();
        engines.sort_unstable();
        let zones = engines.chunk_by(|a, b| a.0 == b.0);
        let zones = zones.filter(|engines| engines.len() >= MIN_ENGINES).map(|engines| {
            let wanted = (short_share * engines.len() as f64 - ROUNDED_DOWN).ceil();
            let short_engines = (wanted.max(1.0) as usize).min(engines.len() - 1);
            ZoneLanes {
                zone: engines[0].0,
                border_from: engines[short_engines.div_ceil(2)].1,
                long_from: engines[short_engines].1,
                short_engines,
            }
        });
        Self { zones: zones.collect() }
    }

    /// Returns the lane of an engine, or `None` if its zone has none.
    pub fn lane(&self, zone: Z, hash: u64) -> Option<Lane> {
        let lanes = self.zones.iter().find(|lanes| lanes.zone == zone)?;
        Some(match () {
            () if hash >= lanes.long_from => Lane::Long,
            () if hash >= lanes.border_from => Lane::Border,
            () => Lane::Short,
        })
    }

    /// Returns the number of engines that are reserved for short prompts, those of the border included.
    pub fn short_engines(&self) -> usize {
        self.zones.iter().map(|lanes| lanes.short_engines).sum()
    }
}

/// Returns the cost by which instances that see the same idle engines choose different ones, in
/// milliseconds. `seed` identifies the instance and the prompt, `engine` the engine, and `work_ms` is
/// the time that the engine needs for the prompt.
///
/// The spread is bounded by what reports that are on their way may hide: the age of the reports, and
/// another prompt of the same size.
///
/// ```
/// use anvilhook_core::reading_lanes::spread_ms;
///
/// assert!(spread_ms(1, 7, 400.0) < 30.0);
/// assert!(spread_ms(1, 7, 5.0) < 10.0);
/// assert_ne!(spread_ms(1, 7, 400.0), spread_ms(2, 7, 400.0));
/// ```
pub fn spread_ms(seed: u64, engine: u64, work_ms: f64) -> f64 {
    max_spread_ms(work_ms) * fraction(seed, engine)
}

/// Returns the upper bound of [`spread_ms`], in milliseconds. It is the cost at an engine that must not be
/// chosen because of the spread.
pub fn max_spread_ms(work_ms: f64) -> f64 {
    (work_ms * SPREAD_FACTOR).min(MAX_SPREAD_MS)
}

/// Returns the factor of what stale reports of another zone may hide, for an instance and that zone: 1
/// to 1.5.
///
/// Instances turn to another zone at different gains, so that the number of them that do so grows and
/// falls with the gain. With one threshold all would turn to it at once, and back again.
pub fn far_factor(instance: u64, zone: u64) -> f64 {
    1.0 + 0.5 * fraction(instance, zone)
}

/// Returns a number from 0 to 1 (exclusive) by a hash of two numbers, with the mixing function of
/// SplitMix64.
fn fraction(a: u64, b: u64) -> f64 {
    let mut mixed = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^= mixed >> 31;
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
