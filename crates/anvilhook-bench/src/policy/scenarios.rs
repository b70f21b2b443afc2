//! What happens during a run.

use std::f64::consts::TAU;

use anvilhook_core::units::Millis;

/// The least and the greatest share of verdicts in the work while the mix swings.
const LOW: f64 = 0.2;
const HIGH: f64 = 0.8;

/// The time that a swing takes there and back.
const SWING_PERIOD: Millis = Millis::from_secs(480);

/// The time that a flapping mix stays on one side.
const FLAP: Millis = Millis::from_secs(120);

/// `Scenario` is a course of the mix with the faults that go with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// The mix stays.
    Steady,
    /// The mix swings within minutes.
    Swing,
    /// The mix changes once, at once and for good.
    Flip,
    /// The mix jumps to and fro every two minutes.
    Flapping,
    /// The mix swings and load reports are 1 to 5 s old.
    LaggedReports,
    /// The mix swings and an engine crashes during a role change, or at half-time if there is none.
    CrashMidChange,
    /// The mix swings and an engine is withdrawn for good.
    Withdrawn,
    /// The mix swings and two engines are drained at the peak of verdicts.
    DrainAtPeak,
    /// The mix swings and cache events are late and partly lost.
    LateCacheEvents,
    /// The mix swings and one account asks for far more than its limit.
    Flood,
}

/// `Fault` is something that is done to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It is taken out of service without cutting a request.
    Drain,
    /// It takes part again.
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
            Scenario::Flip if at.0 < horizon.0 / 2 => LOW,
            Scenario::Flip => HIGH,
            Scenario::Flapping if (at.0 / FLAP.0).is_multiple_of(2) => LOW,
            Scenario::Flapping => HIGH,
            _ => {
                let turn = at.0 as f64 / SWING_PERIOD.0 as f64 * TAU;
                (LOW + HIGH) / 2.0 - (HIGH - LOW) / 2.0 * turn.cos()
            }
        }
    }

    /// Returns the faults, with the engine that each befalls.
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
