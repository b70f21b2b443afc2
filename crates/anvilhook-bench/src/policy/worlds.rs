//! One run: the core's decisions against the engine stand-in on a manual clock.
//!
//! Instances, engines and the plain service are plain values; a delay stands for the way between
//! them. The clock moves in ticks, and what is due within a tick happens in the order of its times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::Role;
use anvilhook_core::roles::WorkSeen;
use anvilhook_core::routing::{Phase, Work};
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_standin::engines::{
    CutCause, EngineEvent, EngineModel, EngineOptions, ModelRequest, WorkKind,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployments::Deployment;
use super::instances::{Decision, Instance};
use super::kinds::Kind;
use super::outcomes::{Outcome, Row, Totals};
use super::policies::Policy;
use super::role_control::{ACKNOWLEDGED_AFTER, Change, PLAN_INTERVAL, RoleControl};
use super::scenarios::{Fault, Scenario};
use super::workloads::Workload;

/// The clock's tick.
const TICK: Millis = Millis(10);
/// The time between two readings of an engine's report and cache events by one instance.
const POLL_INTERVAL: Millis = Millis(500);
/// The time between two digests to peers.
const DIGEST_INTERVAL: Millis = Millis(500);
/// The time between two sums of the work that all instances have seen.
const SEEN_INTERVAL: Millis = Millis(1_000);
/// The time that a KV cache takes from one engine to another, for a thousand prompt tokens.
const TRANSFER_MS_PER_1000_TOKENS: u64 = 10;
/// The time that an upstream of the plain service takes for one request.
const PLAIN_SERVICE: Millis = Millis(8);
/// How long a crashed engine stays down.
const DOWN: Millis = Millis::from_secs(30);
/// The most attempts at one request.
const MAX_ATTEMPTS: u8 = 6;
/// The time before a request that no engine takes is tried again.
const TRY_AGAIN: Millis = Millis(50);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Timer {
    Arrive(usize),
    Submit { request: usize, attempt: u8 },
    Again(usize),
    Deadline(usize),
    PlainDone { instance: usize, upstream: usize },
    Poll(usize),
    Digest(usize),
    Seen,
    Plan,
    Fault { engine: usize, index: usize },
    Restart(usize),
}

/// `Flight` is a request that has not ended.
#[derive(Clone, Debug, Default)]
struct Flight {
    instance: usize,
    attempt: u8,
    open_at: Option<usize>,
    phase: Option<Phase>,
    work: Work,
    tried: Vec<usize>,
    prompt_read: bool,
    first_at: Option<Millis>,
    ended: bool,
}

struct World<'a> {
    workload: &'a Workload,
    policy: &'a Policy,
    now: Millis,
    timers: BinaryHeap<Reverse<(Millis, u64, Timer)>>,
    next_timer: u64,
    engines: Vec<EngineModel>,
    up: Vec<bool>,
    drained: Vec<bool>,
    plain_free_at: Vec<Millis>,
    instances: Vec<Instance>,
    roles: RoleControl,
    flights: Vec<Flight>,
    outcomes: Vec<Outcome>,
    totals: Totals,
    seen: WorkSeen,
    crash_pending: bool,
    rng: ChaCha8Rng,
}

/// Runs a policy on a workload.
pub fn run(workload: &Workload, policy: &Policy) -> Row {
    let mut world = World::new(workload, policy);
    world.run();
    world.totals.roles = [Role::Prefill, Role::Decode, Role::Mixed]
        .map(|role| world.roles.roles().iter().filter(|r| **r == role).count());
    Row::new(workload, policy.name, &world.outcomes, world.totals)
}

fn engine_options(workload: &Workload, index: usize, role: Role) -> EngineOptions {
    let mut options = workload.deployment.engine_options();
    options.role = role;
    options.seed = workload.seed ^ index as u64;
    match workload.scenario {
        Scenario::LaggedReports => {
            // From 1 s at the first engine to 5 s at the last.
            let span = 4_000 * index as u64 / (Deployment::ENGINES as u64 - 1);
            options.report_lag = Millis(1_000 + span);
        }
        Scenario::LateCacheEvents => {
            options.cache_event_lag = Millis(5_000);
            options.cache_event_loss = 0.02;
        }
        _ => {}
    }
    options
}

impl<'a> World<'a> {
    fn new(workload: &'a Workload, policy: &'a Policy) -> Self {
        let roles = RoleControl::new(workload.deployment, policy);
        let engine = |(index, role): (usize, &Role)| {
            EngineModel::new(engine_options(workload, index, *role), Millis::ZERO)
        };
        let engines = roles.roles().iter().enumerate().map(engine).collect();
        let instance = |index| Instance::new(index, workload, policy);
        let instances: Vec<Instance> = (0..Deployment::INSTANCES).map(instance).collect();
        for instance in &instances {
            for (state, role) in instance.engines.iter().zip(roles.roles()) {
                state.set_role(*role);
            }
        }
        let mut world = Self {
            workload,
            policy,
            now: Millis::ZERO,
            timers: BinaryHeap::new(),
            next_timer: 0,
            engines,
            up: vec![true; Deployment::ENGINES],
            drained: vec![false; Deployment::ENGINES],
            plain_free_at: vec![Millis::ZERO; Deployment::PLAIN],
            instances,
            roles,
            flights: vec![Flight::default(); workload.requests.len()],
            outcomes: vec![Outcome::Open; workload.requests.len()],
            totals: Totals::default(),
            seen: WorkSeen::default(),
            crash_pending: workload.scenario == Scenario::CrashMidChange,
            rng: ChaCha8Rng::seed_from_u64(workload.seed),
        };
        world.set_first_timers();
        world
    }

    fn set_first_timers(&mut self) {
        for index in 0..Deployment::INSTANCES {
            // Instances don't poll in step.
            let offset = Millis(index as u64 * 61);
            self.at(offset, Timer::Poll(index));
            self.at(offset + DIGEST_INTERVAL, Timer::Digest(index));
        }
        self.at(SEEN_INTERVAL, Timer::Seen);
        self.at(PLAN_INTERVAL, Timer::Plan);
        let faults = self.workload.scenario.faults(self.workload.horizon);
        for (index, (at, engine, _)) in faults.into_iter().enumerate() {
            self.at(at, Timer::Fault { engine, index });
        }
        if !self.workload.requests.is_empty() {
            self.at(self.workload.requests[0].at, Timer::Arrive(0));
        }
    }

    fn at(&mut self, at: Millis, timer: Timer) {
        self.timers.push(Reverse((at, self.next_timer, timer)));
        self.next_timer += 1;
    }

    fn run(&mut self) {
        let mut tick = Millis::ZERO;
        while tick < self.workload.horizon {
            tick += TICK;
            while let Some(Reverse((at, _, timer))) = self.timers.peek().copied() {
                if at > tick {
                    break;
                }
                self.timers.pop();
                self.now = self.now.max(at);
                self.fire(timer);
            }
            self.now = tick;
            for engine in 0..self.engines.len() {
                let events = self.engines[engine].advance(tick);
                events.into_iter().for_each(|event| self.on_event(engine, event));
            }
            self.advance_changes();
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Arrive(request) => self.arrive(request),
            Timer::Submit { request, attempt } => self.submit(request, attempt),
            Timer::Again(request) => self.dispatch(request),
            Timer::Deadline(request) => self.give_up(request),
            Timer::PlainDone { instance, upstream } => {
                self.instances[instance].plain[upstream].end(Work::default());
            }
            Timer::Poll(instance) => self.poll(instance),
            Timer::Digest(instance) => self.send_digest(instance),
            Timer::Seen => self.share_work_seen(),
            Timer::Plan => self.plan(),
            Timer::Fault { engine, index } => self.fault(engine, index),
            Timer::Restart(engine) => {
                self.engines[engine].restart(self.now);
                self.up[engine] = true;
                self.show_serving(engine);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = &self.workload.requests[index];
        if let Some(next) = self.workload.requests.get(index + 1) {
            self.at(next.at, Timer::Arrive(index + 1));
        }
        let instance = self.rng.random_range(0..self.instances.len());
        self.flights[index].instance = instance;
        if request.kind == Kind::Record {
            self.send_plain(index);
            return;
        }
        if self.policy.admission
            && !self.instances[instance].within_limit(request.account, self.now)
        {
            self.end(index, Outcome::Refused);
            return;
        }
        self.at(request.deadline, Timer::Deadline(index));
        self.dispatch(index);
    }

    fn send_plain(&mut self, index: usize) {
        let request = &self.workload.requests[index];
        let instance = self.flights[index].instance;
        let upstream = self.instances[instance].choose_plain(self.policy, request, self.now);
        self.instances[instance].plain[upstream].begin_at(Work::default(), self.now);
        let way = self.way(instance, upstream);
        let start = self.plain_free_at[upstream].max(self.now + way);
        let done = start + PLAIN_SERVICE;
        self.plain_free_at[upstream] = done;
        let at = done + way + self.workload.deployment.caller_delay();
        self.at(done + way, Timer::PlainDone { instance, upstream });
        self.end(index, Outcome::Answered { first_at: at, at });
    }

    fn dispatch(&mut self, index: usize) {
        if self.flights[index].ended {
            return;
        }
        let request = &self.workload.requests[index];
        let flight = &self.flights[index];
        let instance = &mut self.instances[flight.instance];
        let decision = if flight.prompt_read {
            instance.go_on(self.policy, request, &flight.tried, self.now)
        } else {
            instance.start(self.policy, request, &flight.tried, self.now)
        };
        match decision {
            Decision::Send { engine, phase, work } => self.send(index, engine, phase, work),
            Decision::Refuse => self.end(index, Outcome::Refused),
            Decision::Nowhere => {
                // What was tried may be well again.
                self.flights[index].tried.clear();
                self.at(self.now + TRY_AGAIN, Timer::Again(index));
            }
        }
    }

    fn send(&mut self, index: usize, engine: usize, phase: Phase, work: Work) {
        let flight = &mut self.flights[index];
        if flight.attempt == MAX_ATTEMPTS {
            self.end(index, Outcome::Failed);
            return;
        }
        flight.attempt += 1;
        flight.open_at = Some(engine);
        flight.phase = Some(phase);
        flight.work = work;
        let (instance, attempt) = (flight.instance, flight.attempt);
        self.instances[instance].begin(engine, work, self.now);
        let prompt = self.workload.requests[index].work.prompt.0;
        let transfer = match phase {
            Phase::Decode => Millis(prompt * TRANSFER_MS_PER_1000_TOKENS / 1_000),
            Phase::Whole | Phase::Prefill => Millis::ZERO,
        };
        let at = self.now + self.way(instance, engine) + transfer;
        self.at(at, Timer::Submit { request: index, attempt });
    }

    fn submit(&mut self, index: usize, attempt: u8) {
        let flight = &self.flights[index];
        let Some(engine) = flight.open_at.filter(|_| flight.attempt == attempt && !flight.ended)
        else {
            return;
        };
        let request = &self.workload.requests[index];
        let kind = match flight.phase {
            Some(Phase::Prefill) => WorkKind::Prefill,
            Some(Phase::Decode) => WorkKind::Decode,
            _ => WorkKind::Full,
        };
        let work = ModelRequest {
            attempt: attempt_id(index, attempt),
            kind,
            prompt: request.work.prompt,
            blocks: request.blocks.clone(),
            output: request.work.output,
            priority: request.kind.priority(),
        };
        if self.engines[engine].submit(self.now, work).is_err() {
            // The engine refused it as not run: another one may take it.
            self.close(index);
            self.flights[index].tried.push(engine);
            self.dispatch(index);
        }
    }

    fn on_event(&mut self, engine: usize, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken { attempt, at, cached } => {
                if let Some(index) = self.current(attempt) {
                    let at = at + self.way_back(index, engine);
                    self.flights[index].first_at.get_or_insert(at);
                    self.count_cached(index, cached);
                }
            }
            EngineEvent::Prefilled { attempt, cached, .. } => {
                if let Some(index) = self.current(attempt) {
                    self.count_cached(index, cached);
                    self.close(index);
                    self.flights[index].prompt_read = true;
                    self.flights[index].tried.clear();
                    self.dispatch(index);
                }
            }
            EngineEvent::Finished { attempt, at, .. } => {
                if let Some(index) = self.current(attempt) {
                    let at = at + self.way_back(index, engine);
                    let first_at = self.flights[index].first_at.unwrap_or(at);
                    let instance = self.flights[index].instance;
                    self.instances[instance].retries.record_success();
                    self.instances[instance].engines[engine].ejection().record_success(self.now);
                    self.end(index, Outcome::Answered { first_at, at });
                }
            }
            EngineEvent::Cut { attempt, cause, .. } => {
                assert_eq!(cause, CutCause::Crash, "a planned change cut a request");
                if let Some(index) = self.current(attempt) {
                    self.retry(index, engine);
                }
            }
            EngineEvent::OrderDone { .. } => self.finish_change(engine),
            EngineEvent::Token { .. } | EngineEvent::Cancelled { .. } => {}
        }
    }

    /// Sends a request again whose engine crashed. Completions are idempotent.
    fn retry(&mut self, index: usize, engine: usize) {
        self.close(index);
        let flight = &mut self.flights[index];
        flight.tried = vec![engine];
        flight.prompt_read = false;
        flight.first_at = None;
        let instance = &self.instances[flight.instance];
        instance.engines[engine].ejection().record_failure(self.now);
        if instance.retries.try_take() {
            self.dispatch(index);
        } else {
            self.end(index, Outcome::Failed);
        }
    }

    fn count_cached(&mut self, index: usize, cached: Tokens) {
        let request = &self.workload.requests[index];
        let shared = self.workload.deployment.kind(request.kind).shared;
        self.totals.shared_tokens += shared;
        self.totals.cached_tokens += cached.0.min(shared);
    }

    /// Gives up at the deadline, as the caller does.
    fn give_up(&mut self, index: usize) {
        if self.flights[index].ended {
            return;
        }
        let flight = &self.flights[index];
        if let Some(engine) = flight.open_at {
            let attempt = attempt_id(index, flight.attempt);
            self.engines[engine].cancel(self.now, attempt);
        }
        self.end(index, Outcome::Late);
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        self.close(index);
        self.flights[index].ended = true;
        self.outcomes[index] = outcome;
    }

    fn close(&mut self, index: usize) {
        let flight = &mut self.flights[index];
        if let Some(engine) = flight.open_at.take() {
            self.instances[flight.instance].engines[engine].end(flight.work);
        }
    }

    fn current(&self, attempt: AttemptId) -> Option<usize> {
        let (index, number) = ((attempt.0 >> 8) as usize, attempt.0 as u8);
        let flight = &self.flights[index];
        (flight.attempt == number && !flight.ended).then_some(index)
    }

    fn way(&self, instance: usize, upstream: usize) -> Millis {
        let apart = self.instances[instance].zone != upstream % Deployment::ZONES;
        let delay_ms = if apart { self.workload.deployment.zone_delay_ms() } else { 0.0 };
        Millis(delay_ms.ceil() as u64)
    }

    fn way_back(&self, index: usize, engine: usize) -> Millis {
        let way = self.way(self.flights[index].instance, engine);
        way + self.workload.deployment.caller_delay()
    }

    fn poll(&mut self, instance: usize) {
        for engine in 0..self.engines.len() {
            let view = &mut self.instances[instance];
            let Some(report) = self.engines[engine].report(self.now) else {
                view.engines[engine].set_leaving(true);
                continue;
            };
            // A report from before a change of role does not undo it.
            let state = &view.engines[engine];
            let known = state.role();
            state.apply_report(&report, self.now);
            state.set_role(known);
            let after = view.next_after(engine);
            if let Some(page) = self.engines[engine].cache_events(self.now, after) {
                view.apply_cache_events(engine, &page);
            }
        }
        self.at(self.now + POLL_INTERVAL, Timer::Poll(instance));
    }

    fn send_digest(&mut self, instance: usize) {
        let sent = std::mem::take(&mut self.instances[instance].sent);
        for (peer, view) in self.instances.iter().enumerate() {
            if peer != instance {
                for sent in &sent {
                    view.engines[sent.engine].record_peer_work(sent.work, sent.at);
                }
            }
        }
        self.at(self.now + DIGEST_INTERVAL, Timer::Digest(instance));
    }

    /// Sums up the work seen by all instances, as the last digests tell each of them.
    fn share_work_seen(&mut self) {
        let seen = self.instances.iter().fold(WorkSeen::default(), |sum, instance| {
            sum.plus(instance.meter.take(SEEN_INTERVAL))
        });
        if self.policy.lanes {
            self.instances.iter_mut().for_each(|instance| instance.move_lanes(&seen));
        }
        let part = SEEN_INTERVAL.as_secs_f64() / PLAN_INTERVAL.as_secs_f64();
        self.seen = self.seen.plus(seen.times(part));
        self.at(self.now + SEEN_INTERVAL, Timer::Seen);
    }

    fn plan(&mut self) {
        let seen = std::mem::take(&mut self.seen);
        let serving: Vec<bool> =
            (0..self.engines.len()).map(|e| self.up[e] && !self.drained[e]).collect();
        for (engine, role) in self.roles.plan(&seen, &serving, self.now) {
            let change = Change { role, drained_at: self.now, ordered: false };
            self.roles.changes[engine] = Some(change);
            self.show_serving(engine);
        }
        self.at(self.now + PLAN_INTERVAL, Timer::Plan);
    }

    /// Gives the order for each drained engine that has no request left.
    fn advance_changes(&mut self) {
        for engine in 0..self.engines.len() {
            let Some(change) = self.roles.changes[engine] else { continue };
            let acknowledged = change.drained_at + ACKNOWLEDGED_AFTER <= self.now;
            if change.ordered || !acknowledged || !self.engines[engine].open_attempts().is_empty() {
                continue;
            }
            let order = self.roles.order(engine, change.role, self.now);
            self.engines[engine].order(self.now, &order);
            self.roles.changes[engine] = Some(Change { ordered: true, ..change });
            self.totals.changes_at.push(self.now);
            if self.crash_pending && self.now.0 > self.workload.horizon.0 / 8 {
                self.crash(engine);
            }
        }
        if self.crash_pending && self.now.0 > self.workload.horizon.0 / 2 {
            self.crash(5);
        }
    }

    fn finish_change(&mut self, engine: usize) {
        let Some(change) = self.roles.changes[engine].take() else { return };
        for instance in &self.instances {
            instance.engines[engine].set_role(change.role);
        }
        self.show_serving(engine);
    }

    fn crash(&mut self, engine: usize) {
        self.crash_pending = false;
        self.engines[engine].crash(self.now);
        self.up[engine] = false;
        // The interrupted order leaves the engine as it was before; it is given up.
        if self.roles.changes[engine].take().is_some() {
            let role = self.instances[0].engines[engine].role();
            let _ = self.roles.order(engine, role, self.now);
        }
        self.at(self.now + DOWN, Timer::Restart(engine));
    }

    fn fault(&mut self, engine: usize, index: usize) {
        let faults = self.workload.scenario.faults(self.workload.horizon);
        match faults[index].2 {
            Fault::Drain => self.drained[engine] = true,
            Fault::Return => self.drained[engine] = false,
        }
        self.show_serving(engine);
    }

    /// Shows all instances whether an engine takes work.
    fn show_serving(&mut self, engine: usize) {
        let changing = self.roles.changes[engine].is_some();
        let leaving = changing || self.drained[engine] || !self.up[engine];
        for instance in &self.instances {
            instance.engines[engine].set_leaving(leaving);
        }
    }
}

fn attempt_id(index: usize, attempt: u8) -> AttemptId {
    AttemptId((index as u128) << 8 | u128::from(attempt))
}
