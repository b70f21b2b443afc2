//! How fast the engines of each service work, learnt from this instance's own requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use anvilhook_core::speeds::{OutputSpeed, ReadingCost, ReadingSpeed};
use anvilhook_core::splits::WorkMix;
use anvilhook_core::units::Millis;

/// What is expected of engines of which nothing is known.
pub const EXPECTED_READING: ReadingCost =
    ReadingCost { ms_per_thousand: 15.6, ms_per_million_pairs: 0.65, fixed_ms: 1.0 };

/// The time of a token of output that is expected at first, in milliseconds.
const EXPECTED_TOKEN_MS: f64 = 6.0;

/// The time of a whole output that is expected at first, in milliseconds.
const EXPECTED_OUTPUT_MS: f64 = 300.0;

/// `Speeds` is what is learnt of each service's engines.
#[derive(Debug)]
pub struct Speeds {
    expected: ReadingCost,
    services: Mutex<HashMap<Arc<str>, ServiceSpeed>>,
}

#[derive(Debug)]
struct ServiceSpeed {
    reading: ReadingSpeed,
    output: OutputSpeed,
    mix: WorkMix,
}

impl Speeds {
    /// Makes speeds of which only what is expected of reading is known.
    pub fn new(expected: ReadingCost) -> Self {
        Self { expected, services: Mutex::default() }
    }

    /// Returns what a service's engines need to read prompts.
    pub fn reading(&self, service: &Arc<str>) -> ReadingCost {
        self.with(service, |speed| speed.reading.cost())
    }

    /// Returns the predicted time of a service's output, in milliseconds.
    pub fn output_ms(&self, service: &Arc<str>, tokens: u32) -> f64 {
        self.with(service, |speed| speed.output.output_ms(tokens))
    }

    /// Returns how long a service's output may take at most, in milliseconds.
    pub fn longest_output_ms(&self, service: &Arc<str>, tokens: u32) -> f64 {
        self.with(service, |speed| speed.output.longest_ms(tokens))
    }

    /// Returns how long a service's outputs take in the mean, in milliseconds.
    pub fn mean_output_ms(&self, service: &Arc<str>) -> f64 {
        self.with(service, |speed| speed.output.mean_ms())
    }

    /// Learns from a prompt that an idle engine has read.
    pub fn record_reading(&self, service: &Arc<str>, tokens: u32, cached: u32, took_ms: f64) {
        self.with(service, |speed| speed.reading.record(tokens, cached, took_ms));
    }

    /// Notes the work that a request asks for: reading, and an output at an engine with so many
    /// places.
    pub fn record_work(
        &self,
        service: &Arc<str>,
        reading_ms: f64,
        tokens: u32,
        slots: u32,
        now: Millis,
    ) {
        self.with(service, |speed| {
            let generating_ms = speed.output.output_ms(tokens) / f64::from(slots.max(1));
            speed.mix.record(reading_ms, generating_ms, now);
        });
    }

    /// Returns the work of both kinds that was asked for of late.
    pub fn mix(&self, service: &Arc<str>) -> WorkMix {
        self.with(service, |speed| speed.mix)
    }

    /// Learns from a whole output.
    pub fn record_output(&self, service: &Arc<str>, tokens: u32, took_ms: f64) {
        self.with(service, |speed| speed.output.record(tokens, took_ms));
    }

    fn with<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut ServiceSpeed) -> T) -> T {
        let mut services = self.services.lock().expect("no panic under this lock");
        let speed = services.entry(Arc::clone(service)).or_insert_with(|| ServiceSpeed {
            reading: ReadingSpeed::new(self.expected),
            output: OutputSpeed::new(EXPECTED_TOKEN_MS, EXPECTED_OUTPUT_MS),
            mix: WorkMix::default(),
        });
        f(speed)
    }
}
