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
/// seconds, and to change a quarter of them at once costs more than any split earns.
const MOST_CHANGING: f64 = 0.1;

/// By how much the share of readers must be off before it is changed, and by how many engines. What
/// is less does not pay for the engines' time away; among nine engines one more or less is noise.
const LEAST_CHANGE: f64 = 0.05;
const LEAST_ENGINES: f64 = 4.0;

/// The least share of readers.
const LEAST_SHARE: f64 = 0.34;

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

/// Returns the share of readers to keep from now on, by the one that is kept so far and the mix.
///
/// `most` bounds it: readers beyond that were never of use, since what they read finds no place.
///
/// ```
/// use anvilhook_core::splits::{WorkMix, next_share};
/// use anvilhook_core::units::Millis;
///
/// let mut mix = WorkMix::default();
/// mix.record(5_000.0, 5_000.0, Millis(1_000));
/// assert_eq!(next_share(0.67, 0.67, &mix, 140), 0.67, "too short a time");
/// mix.record(5_000.0, 5_000.0, Millis(1_000));
/// mix.record(5_000.0, 5_000.0, Millis(3_000));
/// assert_eq!(next_share(0.67, 0.67, &mix, 140), 0.5);
/// assert_eq!(next_share(0.67, 0.67, &mix, 9), 0.67, "one engine more or less");
/// ```
pub fn next_share(kept: f64, most: f64, mix: &WorkMix, engines: usize) -> f64 {
    let Some(wanted) = mix.reader_share() else { return kept };
    let wanted = wanted.clamp(LEAST_SHARE.min(most), most);
    let change = (wanted - kept).abs();
    let is_worth_it = change >= LEAST_CHANGE && change * engines as f64 >= LEAST_ENGINES;
    if is_worth_it { wanted } else { kept }
}
