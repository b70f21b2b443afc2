//! How a service's engines are split between reading prompts and generating output.
//!
//! The load that this answers: engines with few places, whose generators are all full while a third
//! of the readers stand idle, for as long as the split is what other engines needed. What counts is
//! the ratio of both kinds of work that engines did, for all requests of an availability zone: the few
//! that one of many instances sees, with heavy tails, say half as many readers one second and twice as
//! many the next.

use crate::units::Millis;

/// After how long work counts less by two thirds. A change of role takes three seconds and pays for
/// itself in as many more, so a mix that swings back sooner must not move engines; one that stays for
/// ten must.
const MEMORY: Millis = Millis::from_secs(5);

/// The least work that says anything of the mix, in milliseconds of an engine, and the least time over
/// which it must have come. The first prompts find cold caches, and outputs have just begun.
const LEAST_WORK_MS: f64 = 10_000.0;
const LEAST_TIME: Millis = Millis::from_secs(2);

/// The most engines that change their roles at a time while there is work, as a share: each is away for
/// seconds, and if many are away at once the rest answer late until they are back.
const MOST_CHANGING: f64 = 0.1;

/// By how much the share of readers must be off before it is changed, and by how many engines. What
/// is less does not pay for the engines' time away; among few engines one more or less is noise.
const LEAST_CHANGE: f64 = 0.05;
const LEAST_ENGINES: f64 = 4.0;

/// The least share of readers.
const LEAST_SHARE: f64 = 0.34;

/// How much of a kind of engine must be taken before others are made of its kind. Engines that have room
/// answer as soon without, and the mix may be another one when the change is done.
const PRESSED: f64 = 0.7;

/// What a look at the engines counts against the looks before.
const LOOK_WEIGHT: f64 = 0.25;

/// `Pressure` is how much of a service's engines is taken, as shares of each kind, over the last looks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// The share of the readers that have something to read.
    pub reading: f64,
    /// The share of the generators' places that are taken.
    pub generating: f64,
}

impl Pressure {
    /// Takes in what one look shows.
    pub fn record(&mut self, look: Pressure) {
        self.reading += LOOK_WEIGHT * (look.reading - self.reading);
        self.generating += LOOK_WEIGHT * (look.generating - self.generating);
    }
}

/// `WorkMix` is the work of both kinds that was asked for of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMix {
    reading_ms: f64,
    generating_ms: f64,
    since: Option<Millis>,
    at: Millis,
}

impl WorkMix {
    /// Notes work that engines did: the reading of prompts, and outputs by the time that they held places
    /// of an engine or waited for one, divided by its number of places, both in milliseconds of an engine.
    pub fn record(&mut self, reading_ms: f64, generating_ms: f64, now: Millis) {
        self.since.get_or_insert(now);
        let fading = (-(now - self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.reading_ms = self.reading_ms * fading + reading_ms;
        self.generating_ms = self.generating_ms * fading + generating_ms;
        self.at = now;
    }

    /// Returns the share of engines that should read, if enough was asked for to tell.
    pub fn reader_share(&self) -> Option<f64> {
        let work_ms = self.reading_ms + self.generating_ms;
        let time = self.since.map_or(Millis::ZERO, |since| self.at - since);
        let is_telling = work_ms >= LEAST_WORK_MS && time >= LEAST_TIME;
        is_telling.then(|| self.reading_ms / work_ms)
    }

    /// Returns how many more engines of so many may begin to change their roles, while `changing` do. As
    /// long as there is no work, all may: an even split costs nothing then.
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
        let most = (engines as f64 * MOST_CHANGING).max(1.0) as usize;
        most.saturating_sub(changing)
    }
}

/// Returns the share of readers to keep from now on, by the one that is kept so far, the mix, and how
/// much of the engines is taken.
///
/// `most` bounds it: more readers are of no use, since what they read finds no place at a generator.
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
/// assert_eq!(next_share(0.67, 0.67, &mix, &half_idle, 140), 0.67, "there is room");
/// ```
pub fn next_share(kept: f64, most: f64, mix: &WorkMix, pressure: &Pressure, engines: usize) -> f64 {
    let Some(wanted) = mix.reader_share() else { return kept };
    let wanted = wanted.clamp(LEAST_SHARE.min(most), most);
    let pressed = if wanted < kept { pressure.generating } else { pressure.reading };
    let change = (wanted - kept).abs();
    let is_worth_it = change >= LEAST_CHANGE && change * engines as f64 >= LEAST_ENGINES;
    if is_worth_it && pressed >= PRESSED { wanted } else { kept }
}
