//! The scenarios of a run: how the mix of requests changes, and which faults are injected.

use std::f64::consts::TAU;

use anvilhook_core::units::Millis;

/// The minimum and the maximum share of verdicts in the work while the mix swings.
const MIN_VERDICT_SHARE: f64 = 0.2;
const MAX_VERDICT_SHARE: f64 = 0.8;

/// The period of a swing of the mix.
const SWING_PERIOD: Millis = Millis::from_secs(480);

/// The time for which a flapping mix stays at one share.
const FLAP_DWELL: Millis = Millis::from_secs(120);

/// `Scenario` is a change of the mix over time together with its faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// The mix stays constant.
    Steady,
    /// The mix swings within minutes.
    Swing,
    /// The mix changes once, abruptly and permanently.
    Flip,
    /// The mix jumps between its two extremes every two minutes.
    Flapping,
    /// The mix swings and load reports are 1 to 5 s old.
    LaggedReports,
    /// The mix swings and an engine crashes during a role change, or in the middle of the run if no
    /// role changes.
    CrashMidChange,
    /// The mix swings and an engine is withdrawn permanently.
    Withdrawn,
    /// The mix swings and two engines are drained at the peak of verdicts.
    DrainAtPeak,
    /// The mix swings and cache events are late and partly lost.
    LateCacheEvents,
    /// The mix swings and one account sends far more requests than its limit allows.
    Flood,
}

/// `Fault` is a planned action on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The engine is taken out of service without interrupting a request.
    Drain,
    /// The engine returns to service.
    Return,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 10] = [
        Scenario::Steady,
        Scenario::Swing,
        Scenario::Flip,
        Scenario::Flapping,
        Scenario::LaggedReports,
        Scenario::CrashMidChange,
        Scenario::Withdrawn,
        Scenario::DrainAtPeak,
        Scenario::LateCacheEvents,
        Scenario::Flood,
    ];

    /// Returns the name used in rows.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Steady => "steady",
            Scenario::Swing => "swing",
            Scenario::Flip => "flip",
            Scenario::Flapping => "flapping",
            Scenario::LaggedReports => "lagged-reports",
            Scenario::CrashMidChange => "crash-mid-change",
            Scenario::Withdrawn => "withdrawn",
            Scenario::DrainAtPeak => "drain-at-peak",
            Scenario::LateCacheEvents => "late-cache-events",
            Scenario::Flood => "flood",
        }
    }

    /// Returns the share of verdicts in the work at a time.
    pub fn verdict_share(self, at: Millis, horizon: Millis) -> f64 {
        match self {
            Scenario::Steady => 0.5,
            Scenario::Flip if at.0 < horizon.0 / 2 => MIN_VERDICT_SHARE,
            Scenario::Flip => MAX_VERDICT_SHARE,
            Scenario::Flapping if (at.0 / FLAP_DWELL.0).is_multiple_of(2) => MIN_VERDICT_SHARE,
            Scenario::Flapping => MAX_VERDICT_SHARE,
            _ => {
                let turn = at.0 as f64 / SWING_PERIOD.0 as f64 * TAU;
                (MIN_VERDICT_SHARE + MAX_VERDICT_SHARE) / 2.0
                    - (MAX_VERDICT_SHARE - MIN_VERDICT_SHARE) / 2.0 * turn.cos()
            }
        }
    }

    /// Returns the faults, each with its time and the index of its engine.
    pub fn faults(self, horizon: Millis) -> Vec<(Millis, usize, Fault)> {
        let peak = Millis(SWING_PERIOD.0 / 2);
        let after = |span: u64| peak + Millis::from_secs(span);
        match self {
            Scenario::Withdrawn => vec![(Millis(horizon.0 / 4), 3, Fault::Drain)],
            Scenario::DrainAtPeak => vec![
                (peak, 2, Fault::Drain),
                (after(60), 2, Fault::Return),
                (after(60), 7, Fault::Drain),
                (after(120), 7, Fault::Return),
            ],
            _ => Vec::new(),
        }
    }
}
