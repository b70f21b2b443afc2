//! How fast the engines of each service work, learnt from this instance's own requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::speeds::{OutputSpeed, ReadingCost, ReadingSpeed};
use anvilhook_core::splits::WorkMix;
use anvilhook_core::units::{Clock, Millis};

use crate::relay::Gateway;
use crate::wires::Wire;

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
    own_work: EngineWork,
    /// Requests whose prompts were read and that wait here for a place.
    seeking: Arc<AtomicU32>,
    /// What other instances told last, by their numbers.
    peer_work: HashMap<u64, EngineWork>,
}

/// Counts a request that waits for a place of an engine.
#[derive(Debug)]
pub struct SlotRequest(Arc<AtomicU32>);

impl Drop for SlotRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Meters, for as long as the process runs, the places that this instance's requests hold or wait for.
///
/// A place is counted while it is held: an output that lasts for seconds would otherwise show only at
/// its end, when the burst that it came with is over.
pub async fn meter_slots<W: Wire, C: Clock>(gateway: Gateway<W, C>, clock: C) {
    const METER_EVERY: Duration = Duration::from_millis(100);
    let mut last_at = clock.now();
    loop {
        tokio::time::sleep(METER_EVERY).await;
        let now = clock.now();
        let time_ms = (now - std::mem::replace(&mut last_at, now)).0 as f64;
        let Some(config) = gateway.config() else { continue };
        let view = gateway.fleet().view();
        for service in config.services().filter(|service| service.engine.is_some()) {
            let upstreams = view.of_service(&service.name).iter();
            let generators = upstreams.filter(|one| one.role() == Some(Role::Decode));
            let share = |count: u32, slots: u32| f64::from(count) / f64::from(slots.max(1));
            let mut slots = 1;
            let held: f64 = generators
                .map(|one| {
                    slots = one.entry.slots;
                    share(one.state.own_work().in_flight, one.entry.slots)
                })
                .sum();
            let sought = share(gateway.speeds().waiting_for_slot(&service.name), slots);
            if held + sought > 0.0 {
                let generating_ms = (held + sought) * time_ms;
                let work = EngineWork { generating_ms, ..EngineWork::default() };
                gateway.speeds().record_work(&service.name, work, now);
            }
        }
    }
}

/// The most instances of which the work is remembered. Processes come and go, each with a number of its
/// own.
const MOST_PEERS: usize = 2_000;

/// `EngineWork` is work that engines did, in milliseconds of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// Reading prompts.
    pub reading_ms: f64,
    /// Generating outputs: the time that each held a place, divided by the engine's number of places.
    pub generating_ms: f64,
}

impl EngineWork {
    fn add(&mut self, other: EngineWork) {
        self.reading_ms += other.reading_ms;
        self.generating_ms += other.generating_ms;
    }
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

    /// Returns how long a service's output may take at most, in milliseconds; `None` if this instance has
    /// seen too few.
    pub fn longest_output_ms(&self, service: &Arc<str>, tokens: u32) -> Option<f64> {
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

    /// Notes work that engines did for this instance: reading, and an output by the time that it held a
    /// place of an engine with so many.
    pub fn record_work(&self, service: &Arc<str>, work: EngineWork, now: Millis) {
        self.with(service, |speed| {
            speed.own_work.add(work);
            speed.mix.record(work.reading_ms, work.generating_ms, now);
        });
    }

    /// Counts a request in that waits here for a place of an engine, until the guard is dropped.
    pub fn request_slot(&self, service: &Arc<str>) -> SlotRequest {
        let count = self.with(service, |speed| Arc::clone(&speed.seeking));
        count.fetch_add(1, Ordering::AcqRel);
        SlotRequest(count)
    }

    /// Returns how many requests of a service wait here for a place.
    pub fn waiting_for_slot(&self, service: &Arc<str>) -> u32 {
        self.with(service, |speed| speed.seeking.load(Ordering::Acquire))
    }

    /// Returns the work that engines did for this instance since it started, by service.
    pub fn own_work(&self) -> Vec<(Arc<str>, EngineWork)> {
        let services = self.services.lock().expect("no panic under this lock");
        services.iter().map(|(service, speed)| (Arc::clone(service), speed.own_work)).collect()
    }

    /// Takes in the work that engines did for another instance since it started.
    pub fn merge_work(&self, service: &Arc<str>, peer: u64, work: EngineWork, now: Millis) {
        self.with(service, |speed| {
            // Of one that was not heard before nothing is known of when it came by its work.
            let before = speed.peer_work.insert(peer, work).unwrap_or(work);
            let reading_ms = (work.reading_ms - before.reading_ms).max(0.0);
            let generating_ms = (work.generating_ms - before.generating_ms).max(0.0);
            if reading_ms + generating_ms > 0.0 {
                speed.mix.record(reading_ms, generating_ms, now);
            }
            if speed.peer_work.len() > MOST_PEERS {
                speed.peer_work.clear();
            }
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
            own_work: EngineWork::default(),
            seeking: Arc::default(),
            peer_work: HashMap::new(),
        });
        f(speed)
    }
}
