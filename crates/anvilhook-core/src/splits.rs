//! Decides how a service's engines are split between reading (prefilling) prompts and generating output.
//!
//! Designed for: engines with few slots, where a split that suited other engines leaves all generators
//! full while a third of the readers are idle. The split follows the ratio of both kinds of work that
//! the engines did for all requests of an availability zone. The few heavy-tailed requests that a
//! single instance sees would suggest half as many readers in one second and twice as many in the next.
//!
//! While several software versions serve, a stream goes on only at the version that began it, so each version keeps
//! engines of both kinds.

use crate::orders::Role;
use crate::units::Millis;

/// The time after which recorded work has lost two thirds of its weight. A role change takes three
/// seconds and pays for itself in three more, so a mix that swings back sooner must not move engines,
/// but a mix that lasts for ten seconds must.
const MIX_DECAY_TIME: Millis = Millis::from_secs(5);

/// The minimum work from which the mix is estimated, in milliseconds of an engine, and the minimum time
/// over which it must have been recorded. The first prompts find cold caches, and their outputs have
/// only begun.
const MIN_WORK_MS: f64 = 10_000.0;
const MIN_TIME: Millis = Millis::from_secs(2);

/// The maximum share of engines that change their roles at the same time while there is work, except for
/// those that are not needed in their role ([`surplus_engines`]). Each
/// accepts no work for seconds, and if many change at once, the rest answer late until they are back.
const MAX_CHANGING_SHARE: f64 = 0.1;

/// The engines that keep their role must have capacity for this multiple of the present work of that role. Work may double
/// within seconds, and a change back takes as long as the change.
const KEPT_CAPACITY: f64 = 2.0;

/// The minimum change of the share of readers, and the minimum number of engines that it moves. A
/// smaller change does not pay for the time without these engines; among few engines, one more or
/// less is noise.
const MIN_CHANGE_SHARE: f64 = 0.05;
const MIN_CHANGED_ENGINES: f64 = 4.0;

/// The minimum share of readers.
const MIN_READER_SHARE: f64 = 0.34;

/// The minimum share of a kind of engines that must be in use before engines of the other kind change
/// to it. Engines with free capacity would not answer sooner, and the mix may be different when the
/// change is done.
const MIN_PRESSURE: f64 = 0.7;

/// The weight of the newest sample in the moving average of the pressure.
const SAMPLE_WEIGHT: f64 = 0.25;

/// `Pressure` holds the share of a service's engines that is in use, by kind, averaged over recent
/// samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// The share of readers that have a prompt to read.
    pub reading: f64,
    /// The share of the generators' slots that are in use.
    pub generating: f64,
}

impl Pressure {
    /// Adds a sample to the averages.
    pub fn record(&mut self, sample: Pressure) {
        self.reading += SAMPLE_WEIGHT * (sample.reading - self.reading);
        self.generating += SAMPLE_WEIGHT * (sample.generating - self.generating);
    }
}

/// `WorkMix` holds the recent work of both kinds, with decaying weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMix {
    reading_ms: f64,
    generating_ms: f64,
    since: Option<Millis>,
    at: Millis,
}

impl WorkMix {
    /// Records work that engines did, in milliseconds of an engine. `reading_ms` is the time for reading
    /// prompts. `generating_ms` is the time for which outputs held slots of an engine or waited for
    /// one, divided by its number of slots.
    pub fn record(&mut self, reading_ms: f64, generating_ms: f64, now: Millis) {
        self.since.get_or_insert(now);
        let decay = (-(now - self.at).as_secs_f64() / MIX_DECAY_TIME.as_secs_f64()).exp();
        self.reading_ms = self.reading_ms * decay + reading_ms;
        self.generating_ms = self.generating_ms * decay + generating_ms;
        self.at = now;
    }

    /// Returns the share of engines that should read, if enough work has been recorded.
    pub fn reader_share(&self) -> Option<f64> {
        let work_ms = self.reading_ms + self.generating_ms;
        let time = self.since.map_or(Millis::ZERO, |since| self.at - since);
        let is_sufficient = work_ms >= MIN_WORK_MS && time >= MIN_TIME;
        is_sufficient.then(|| self.reading_ms / work_ms)
    }

    /// Returns how many more of `engines` engines may begin to change their roles while `changing` of
    /// them do so. All of them may as long as there is no work, since a change costs nothing then.
    ///
    /// ```
    /// use anvilhook_core::splits::WorkMix;
    /// use anvilhook_core::units::Millis;
    ///
    /// let mut mix = WorkMix::default();
    /// assert_eq!(mix.changes_left(140, 0), 140);
    /// mix.record(5_000.0, 5_000.0, Millis(1_000));
    /// assert_eq!(mix.changes_left(140, 0), 14);
    /// assert_eq!(mix.changes_left(140, 15), 0);
    /// assert_eq!(mix.changes_left(9, 0), 1);
    /// ```
    pub fn changes_left(&self, engines: usize, changing: usize) -> usize {
        if self.since.is_none() {
            return engines;
        }
        let max_changing = (engines as f64 * MAX_CHANGING_SHARE).max(1.0) as usize;
        max_changing.saturating_sub(changing)
    }
}

/// Returns how many of the `engines` engines of one role may change it at once because the others suffice, if
/// the share `used` of the capacity of this role is in use.
///
/// Designed for: two thirds of the engines lost at one moment, most of them readers. The remaining generators
/// are almost idle, and if only a tenth of the engines changed at a time, all prompts would be read late for
/// ten seconds.
///
/// ```
/// use anvilhook_core::splits::surplus_engines;
///
/// assert_eq!(surplus_engines(40, 0.1), 32);
/// assert_eq!(surplus_engines(40, 0.5), 0);
/// assert_eq!(surplus_engines(40, 0.9), 0);
/// ```
pub fn surplus_engines(engines: usize, used: f64) -> usize {
    (engines as f64 * (1.0 - used * KEPT_CAPACITY)).max(0.0) as usize
}

/// Each software version keeps at least one in so many of its engines in each role, while several versions serve.
const KEPT_DIVISOR: usize = 4;

/// `VersionSplit` is how the engines of one software version are split, while several versions serve.
///
/// ```
/// use anvilhook_core::orders::Role;
/// use anvilhook_core::splits::VersionSplit;
///
/// let one_generator = VersionSplit { readers: 5, generators: 1 };
/// assert_eq!(one_generator.missing(), Some(Role::Decode));
/// let two = VersionSplit { readers: 4, generators: 2 };
/// assert_eq!(two.missing(), None);
/// assert!(two.can_spare(Role::Prefill) && !two.can_spare(Role::Decode));
/// assert_eq!(VersionSplit { readers: 1, generators: 0 }.missing(), Some(Role::Decode));
/// assert_eq!(VersionSplit { readers: 0, generators: 1 }.missing(), None);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionSplit {
    /// The number of engines that read prompts.
    pub readers: usize,
    /// The number of engines that generate output.
    pub generators: usize,
}

impl VersionSplit {
    /// Counts an engine.
    pub fn add(&mut self, role: Role) {
        match role {
            Role::Prefill => self.readers += 1,
            Role::Decode | Role::Mixed => self.generators += 1,
        }
    }

    /// Returns the role in which the version has too few engines, if there is one. Generators come first: without one,
    /// none of the version's streams goes on.
    pub fn missing(&self) -> Option<Role> {
        if self.generators < self.min_generators() {
            Some(Role::Decode)
        } else if self.readers < self.min_readers() {
            Some(Role::Prefill)
        } else {
            None
        }
    }

    /// Returns whether one engine may leave a role.
    pub fn can_spare(&self, role: Role) -> bool {
        match role {
            Role::Prefill => self.readers > self.min_readers(),
            Role::Decode | Role::Mixed => self.generators > self.min_generators(),
        }
    }

    fn engines(&self) -> usize {
        self.readers + self.generators
    }

    /// Returns the minimum number of generators. With three engines or more these are two, so that streams go on after
    /// the crash of one.
    fn min_generators(&self) -> usize {
        let kept = self.engines().div_ceil(KEPT_DIVISOR);
        if self.engines() > 2 { kept.max(2) } else { kept }
    }

    fn min_readers(&self) -> usize {
        if self.engines() > 1 { (self.engines() / KEPT_DIVISOR).max(1) } else { 0 }
    }
}

/// Returns the share of readers to use from now on, by the current share, the mix and the pressure on
/// the engines.
///
/// The result is at most `max_share`: more readers are of no use, since the prompts that they read
/// would find no slot at a generator.
///
/// ```
/// use anvilhook_core::splits::{Pressure, WorkMix, next_share};
/// use anvilhook_core::units::Millis;
///
/// let mut mix = WorkMix::default();
/// let full = Pressure { reading: 0.9, generating: 0.9 };
/// mix.record(5_000.0, 5_000.0, Millis(1_000));
/// assert_eq!(next_share(0.67, 0.67, &mix, &full, 140), 0.67, "too short a time");
/// mix.record(5_000.0, 5_000.0, Millis(1_000));
/// mix.record(5_000.0, 5_000.0, Millis(3_000));
/// assert_eq!(next_share(0.67, 0.67, &mix, &full, 140), 0.5);
/// assert_eq!(next_share(0.67, 0.67, &mix, &full, 9), 0.67, "one engine more or less");
/// let half_idle = Pressure { reading: 0.5, generating: 0.5 };
/// assert_eq!(next_share(0.67, 0.67, &mix, &half_idle, 140), 0.67, "engines have free capacity");
/// ```
pub fn next_share(
    current: f64,
    max_share: f64,
    mix: &WorkMix,
    pressure: &Pressure,
    engines: usize,
) -> f64 {
    let Some(wanted) = mix.reader_share() else { return current };
    let wanted = wanted.clamp(MIN_READER_SHARE.min(max_share), max_share);
    let pressed = if wanted < current { pressure.generating } else { pressure.reading };
    let change = (wanted - current).abs();
    let is_worth_it = change >= MIN_CHANGE_SHARE && change * engines as f64 >= MIN_CHANGED_ENGINES;
    if is_worth_it && pressed >= MIN_PRESSURE { wanted } else { current }
}
