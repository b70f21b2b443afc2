//! Learns how fast engines work from the requests that they completed.
//!
//! No deployment reports how fast its engines read (prefill) prompts, and two deployments that look
//! alike may differ by a factor of three in the cost of attention. Predictions based on another
//! deployment's figures place long prompts in particular on the wrong engines, because they
//! overestimate the wait for them several times over.
//!
//! The time of a reading is *work*, which occupies the engine, and *latency*, which does not and is the
//! same for prompts of all sizes. [`ReadingSpeed::observe`] separates both, and [`UpstreamSpeed`] learns how
//! the work of one upstream compares with the mean of its service.
//!
//! Designed for: engines whose speeds differ by a factor of 2.7 and which for some hundreds of milliseconds
//! take 2.5 times as long; a latency of 90 ms; and readings that queue behind work of other instances.

mod outputs;
mod quantiles;
mod readings;
mod upstreams;

pub use outputs::OutputSpeed;
pub(crate) use quantiles::LowQuantile;
pub use readings::{Reading, ReadingCost, ReadingSpeed};
pub use upstreams::{Learning, UpstreamSpeed};

/// The bounds of how many times longer than the mean the work of an upstream takes.
const MIN_SLOWNESS: f64 = 0.25;
const MAX_SLOWNESS: f64 = 6.0;

fn bounded_slowness(slowness: f64) -> f64 {
    if slowness.is_nan() { 1.0 } else { slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS) }
}
