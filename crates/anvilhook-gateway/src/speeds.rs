//! Estimates how fast the engines of each service work, from this instance's own requests, and how much work
//! of each kind all instances ask for.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilhook_core::orders::Role;
use anvilhook_core::plain_costs::PlainTime;
use anvilhook_core::reading_lanes::{LaneMix, PromptSize};
use anvilhook_core::speeds::{OutputSpeed, Reading, ReadingCost, ReadingSpeed};
use anvilhook_core::splits::WorkMix;
use anvilhook_core::units::{Clock, Millis};

use crate::relay::Gateway;
use crate::wires::Wire;

/// The reading cost that is expected of engines before any has been measured.
pub const EXPECTED_READING: ReadingCost =
    ReadingCost { ms_per_thousand: 15.6, ms_per_million_pairs: 0.65, fixed_ms: 1.0 };

/// The expected time of a token of output before any was measured, in milliseconds.
const EXPECTED_TOKEN_MS: f64 = 6.0;

/// The expected time of a whole output before any was measured, in milliseconds.
const EXPECTED_OUTPUT_MS: f64 = 300.0;

/// `Speeds` holds the estimates of each service's engines.
#[derive(Debug)]
pub struct Speeds {
    expected: ReadingCost,
    services: Mutex<HashMap<Arc<str>, ServiceSpeed>>,
}

#[derive(Debug)]
struct ServiceSpeed {
    /// The cost of readings in which the expected latency counts as work. Used while the policy
    /// `learnt_speeds` is off.
    reading: ReadingSpeed,
    /// The cost of readings with the learnt latency.
    split_reading: ReadingSpeed,
    plain: PlainTime,
    /// Whether an upstream of the service has reported how long its work takes.
    has_reports: bool,
    output: OutputSpeed,
    mix: WorkMix,
    lane_mix: LaneMix,
    own_work: EngineWork,
    /// The number of requests whose prompts have been read and that wait here for a slot.
    waiting: Arc<AtomicU32>,
    /// The work that other instances last published, by instance number.
    peer_work: HashMap<u64, EngineWork>,
}

/// `SlotRequest` counts a request that waits for a slot of an engine, until it is dropped.
#[derive(Debug)]
pub struct SlotRequest(Arc<AtomicU32>);

impl Drop for SlotRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Measures, for as long as the process runs, the slots that this instance's requests hold or wait for.
///
/// A slot is counted while it is held. If it were counted at the end of the output, an output of several
/// seconds would be counted only when the burst that it belongs to is over.
pub async fn meter_slots<W: Wire, C: Clock>(gateway: Gateway<W, C>, clock: C) {
    const METER_INTERVAL: Duration = Duration::from_millis(100);
    let mut last_at = clock.now();
    loop {
        tokio::time::sleep(METER_INTERVAL).await;
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
            let waiting = share(gateway.speeds().waiting_for_slot(&service.name), slots);
            if held + waiting > 0.0 {
                let generating_ms = (held + waiting) * time_ms;
                let work = EngineWork { generating_ms, ..EngineWork::default() };
                gateway.speeds().record_work(&service.name, work, now);
            }
        }
    }
}

/// The maximum number of instances whose work is stored. Each process has a new number, so the map would
/// otherwise grow with every restart.
const MAX_PEERS: usize = 2_000;

/// `EngineWork` is work done by engines, in milliseconds of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// The time spent on reading (prefill) of prompts.
    pub reading_ms: f64,
    /// The time spent on generating outputs: the time that each held a slot, divided by the engine's number
    /// of slots.
    pub generating_ms: f64,
}

impl EngineWork {
    fn add(&mut self, other: EngineWork) {
        self.reading_ms += other.reading_ms;
        self.generating_ms += other.generating_ms;
    }
}

impl Speeds {
    /// Creates the estimates with the reading cost that is expected before any was measured.
    pub fn new(expected: ReadingCost) -> Self {
        Self { expected, services: Mutex::default() }
    }

    /// Returns the reading cost of a service's engines.
    pub fn reading(&self, service: &Arc<str>) -> ReadingCost {
        self.with(service, |speed| speed.reading.cost())
    }

    /// Returns the reading cost of a service's engines of mean speed, with the learnt latency.
    pub fn split_reading(&self, service: &Arc<str>) -> ReadingCost {
        self.with(service, |speed| speed.split_reading.cost())
    }

    /// Records a reading. Returns how many times longer than the mean its work took, if that shows.
    pub fn observe_reading(&self, service: &Arc<str>, reading: &Reading) -> Option<f64> {
        self.with(service, |speed| speed.split_reading.observe(reading))
    }

    /// Returns the time of the requests of a plain service.
    pub fn plain(&self, service: &Arc<str>) -> PlainTime {
        self.with(service, |speed| speed.plain.clone())
    }

    /// Records how long a request to a plain upstream took, whose work takes `slowness` times longer than the
    /// mean as far as it is known. Returns how many times longer than the mean the request took.
    pub fn record_plain(
        &self,
        service: &Arc<str>,
        took_ms: f64,
        slowness: f64,
        is_far: bool,
    ) -> f64 {
        self.with(service, |speed| speed.plain.record(took_ms, slowness, is_far))
    }

    /// Records that an upstream of a service has reported how long its work takes.
    pub fn record_report(&self, service: &Arc<str>) {
        self.with(service, |speed| speed.has_reports = true);
    }

    /// Returns whether an upstream of a service has reported how long its work takes. Where none does, the
    /// upstreams count as alike: differences between the few measured times would be noise.
    pub fn has_reports(&self, service: &Arc<str>) -> bool {
        self.with(service, |speed| speed.has_reports)
    }

    /// Returns the predicted time of a service's output, in milliseconds.
    pub fn output_ms(&self, service: &Arc<str>, tokens: u32) -> f64 {
        self.with(service, |speed| speed.output.output_ms(tokens))
    }

    /// Returns how long a service's output may take at most, in milliseconds, or `None` if this instance has
    /// seen too few outputs.
    pub fn longest_output_ms(&self, service: &Arc<str>, tokens: u32) -> Option<f64> {
        self.with(service, |speed| speed.output.longest_ms(tokens))
    }

    /// Returns the mean time of a service's outputs, in milliseconds.
    pub fn mean_output_ms(&self, service: &Arc<str>) -> f64 {
        self.with(service, |speed| speed.output.mean_ms())
    }

    /// Records how long an idle engine took to read a prompt.
    pub fn record_reading(&self, service: &Arc<str>, tokens: u32, cached: u32, took_ms: f64) {
        self.with(service, |speed| speed.reading.record(tokens, cached, took_ms));
    }

    /// Records work that engines did for this instance.
    pub fn record_work(&self, service: &Arc<str>, work: EngineWork, now: Millis) {
        self.with(service, |speed| {
            speed.own_work.add(work);
            speed.mix.record(work.reading_ms, work.generating_ms, now);
        });
    }

    /// Counts a request as waiting here for a slot of an engine until the guard is dropped.
    pub fn request_slot(&self, service: &Arc<str>) -> SlotRequest {
        let count = self.with(service, |speed| Arc::clone(&speed.waiting));
        count.fetch_add(1, Ordering::AcqRel);
        SlotRequest(count)
    }

    /// Returns how many requests of a service wait here for a slot.
    pub fn waiting_for_slot(&self, service: &Arc<str>) -> u32 {
        self.with(service, |speed| speed.waiting.load(Ordering::Acquire))
    }

    /// Returns the work that engines did for this instance since it started, by service.
    pub fn own_work(&self) -> Vec<(Arc<str>, EngineWork)> {
        let services = self.services.lock().expect("no panic under this lock");
        services.iter().map(|(service, speed)| (Arc::clone(service), speed.own_work)).collect()
    }

    /// Merges the work that engines did for another instance since that instance started.
    pub fn merge_work(&self, service: &Arc<str>, peer: u64, work: EngineWork, now: Millis) {
        self.with(service, |speed| {
            // The first sum of an instance adds no work, as it is unknown when that work was done.
            let before = speed.peer_work.insert(peer, work).unwrap_or(work);
            let reading_ms = (work.reading_ms - before.reading_ms).max(0.0);
            let generating_ms = (work.generating_ms - before.generating_ms).max(0.0);
            if reading_ms + generating_ms > 0.0 {
                speed.mix.record(reading_ms, generating_ms, now);
            }
            if speed.peer_work.len() > MAX_PEERS {
                speed.peer_work.clear();
            }
        });
    }

    /// Returns the recent work of both kinds.
    pub fn mix(&self, service: &Arc<str>) -> WorkMix {
        self.with(service, |speed| speed.mix)
    }

    /// Records a prompt that is sent to an engine, by its size, with the engine's work in milliseconds.
    ///
    /// Only this instance's own prompts count: digests state the work of other instances without the size
    /// of the prompts. Clients are spread over the instances, so the mix is about the same at each.
    pub fn record_prompt(&self, service: &Arc<str>, size: PromptSize, work_ms: f64, now: Millis) {
        self.with(service, |speed| speed.lane_mix.record(size, work_ms, now));
    }

    /// Returns the share of the reading engines that is reserved for short prompts, if any. `arriving` is
    /// the size of the prompt that is to be placed.
    pub fn short_share(
        &self,
        service: &Arc<str>,
        arriving: Option<PromptSize>,
        now: Millis,
    ) -> Option<f64> {
        self.with(service, |speed| speed.lane_mix.short_share(arriving, now))
    }

    /// Records how long a whole output took.
    pub fn record_output(&self, service: &Arc<str>, tokens: u32, took_ms: f64) {
        self.with(service, |speed| speed.output.record(tokens, took_ms));
    }

    fn with<T>(&self, service: &Arc<str>, f: impl FnOnce(&mut ServiceSpeed) -> T) -> T {
        let mut services = self.services.lock().expect("no panic under this lock");
        let speed = services.entry(Arc::clone(service)).or_insert_with(|| ServiceSpeed {
            reading: ReadingSpeed::new(self.expected),
            split_reading: ReadingSpeed::new(self.expected),
            plain: PlainTime::default(),
            has_reports: false,
            output: OutputSpeed::new(EXPECTED_TOKEN_MS, EXPECTED_OUTPUT_MS),
            mix: WorkMix::default(),
            lane_mix: LaneMix::default(),
            own_work: EngineWork::default(),
            waiting: Arc::default(),
            peer_work: HashMap::new(),
        });
        f(speed)
    }
}
