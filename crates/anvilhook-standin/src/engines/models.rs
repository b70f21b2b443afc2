//! `EngineModel`: the engine as a state machine without I/O.

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::{EngineState, OrderReply, StampedOrder};
use anvilhook_core::reports::{CacheEventPage, LoadReport};
use anvilhook_core::units::{Millis, Tokens};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::batches::{Batch, MICROS_PER_MILLI, Micros, millis_after};
use super::caches::{CacheLog, PrefixCache};
use super::events::{CutCause, EngineEvent, ModelRequest, Refused, WorkKind};
use super::options::{EngineOptions, OrderOutcome};
use super::orders::{OrderEnd, OrderRecord};
use super::setups::{RunningOrder, Setup, duration_of, suspends_serving};
use super::snapshots::Snapshots;

/// `EngineModel` is a model engine whose state changes only in calls that pass the current time.
///
/// Every method with a `now` argument first processes the work due until then. The next `advance`
/// returns the resulting events. The time must not go back.
///
/// ```
/// use anvilhook_core::attempts::AttemptId;
/// use anvilhook_core::units::{Millis, Tokens};
/// use anvilhook_standin::engines::{
///     EngineEvent, EngineModel, EngineOptions, ModelRequest, WorkKind,
/// };
///
/// let mut engine = EngineModel::new(EngineOptions::default(), Millis::ZERO);
/// let attempt = AttemptId(1);
/// let req = ModelRequest {
///     attempt,
///     kind: WorkKind::Full,
///     prompt: Tokens(80),
///     blocks: [].into(),
///     output: Tokens(1),
///     priority: 1,
/// };
/// engine.submit(Millis::ZERO, req)?;
///
/// // 80 tokens take 10 ms at 8,000 tokens a second.
/// assert_eq!(engine.next_event_at(), Some(Millis(10)));
/// let events = engine.advance(Millis(10));
/// let first = EngineEvent::FirstToken { attempt, at: Millis(10), cached: Tokens(0) };
/// assert_eq!(events[0], first);
/// # Ok::<(), anvilhook_standin::engines::Refused>(())
/// ```
#[derive(Clone, Debug)]
pub struct EngineModel {
    opts: EngineOptions,
    now: Micros,
    up: bool,
    boot: u64,
    setup: Setup,
    leaving: bool,
    orders: Vec<OrderRecord>,
    batch: Batch,
    cache: PrefixCache,
    cache_log: CacheLog,
    snapshots: Snapshots,
    rng: ChaCha8Rng,
    events: Vec<EngineEvent>,
}

impl EngineModel {
    /// Creates a running engine.
    pub fn new(opts: EngineOptions, now: Millis) -> Self {
        let batch = Batch::default();
        let setup = Setup::new(&opts);
        let first = describe(&opts, opts.first_boot, &setup, false, &batch);
        Self {
            now: now.0 * MICROS_PER_MILLI,
            up: true,
            boot: opts.first_boot,
            setup,
            leaving: false,
            orders: Vec::new(),
            batch,
            cache: PrefixCache::new(opts.cache_blocks),
            cache_log: CacheLog::new(opts.cache_event_lag, opts.cache_event_loss),
            snapshots: Snapshots::new(opts.report_interval, opts.report_lag, now, first),
            rng: ChaCha8Rng::seed_from_u64(opts.seed),
            events: Vec::new(),
            opts,
        }
    }

    /// Accepts or refuses a request.
    ///
    /// # Errors
    ///
    /// The reason why the request was refused. A refused request has not run at all.
    pub fn submit(&mut self, now: Millis, req: ModelRequest) -> Result<(), Refused> {
        self.run_until(now);
        self.check(&req)?;
        self.batch.push(req);
        self.batch.begin_step(self.now, &self.opts, &mut self.cache);
        Ok(())
    }

    /// Processes the work due until `now` and returns all events since the last call.
    pub fn advance(&mut self, now: Millis) -> Vec<EngineEvent> {
        self.run_until(now);
        std::mem::take(&mut self.events)
    }

    /// Returns when the step or order in progress ends, if there is one.
    pub fn next_event_at(&self) -> Option<Millis> {
        let step = self.batch.step_ends_at().map(millis_after);
        let order = self.setup.running.as_ref().map(|running| running.done_at);
        step.into_iter().chain(order).min()
    }

    /// Cancels an attempt and returns whether it was open.
    pub fn cancel(&mut self, now: Millis, attempt: AttemptId) -> bool {
        self.run_until(now);
        let was_open = self.batch.remove(attempt);
        if was_open {
            self.events.push(EngineEvent::Cancelled { attempt, at: now });
        }
        was_open
    }

    /// Receives an order and returns the reply. An accepted order that changes the role or the
    /// model drops every open request, so an engine is drained before such an order.
    pub fn order(&mut self, now: Millis, order: &StampedOrder) -> OrderReply {
        self.run_until(now);
        let open = self.batch.attempts();
        let reply = self.reply_to(order);
        let mut record = OrderRecord {
            at: now,
            boot: self.boot,
            order: order.clone(),
            reply: reply.clone(),
            open,
            cut: Vec::new(),
            end: None,
        };
        if reply == OrderReply::Accepted {
            self.begin_order(now, order, &mut record);
        }
        self.orders.push(record);
        reply
    }

    /// Terminates the process at once: all open and queued requests and the cache are lost.
    pub fn crash(&mut self, now: Millis) {
        self.run_until(now);
        if !self.up {
            return;
        }
        self.up = false;
        self.drop_all(now, CutCause::Crash);
        if let Some(running) = self.setup.running.take() {
            self.orders[running.record].end = Some(OrderEnd::Interrupted { at: now });
            if self.opts.interrupted_order == OrderOutcome::After {
                self.setup.apply(&running.order.order);
            }
        }
    }

    /// Starts the process again after a crash, with a new boot number and an empty cache. The role
    /// and the model are retained; the last accepted stamp and the adapters are lost.
    pub fn restart(&mut self, now: Millis) {
        self.run_until(now);
        if self.up {
            return;
        }
        self.up = true;
        self.boot += 1;
        self.setup.clear_volatile();
        self.cache = PrefixCache::new(self.opts.cache_blocks);
        self.cache_log = CacheLog::new(self.opts.cache_event_lag, self.opts.cache_event_loss);
        let (interval, lag) = (self.opts.report_interval, self.opts.report_lag);
        self.snapshots = Snapshots::new(interval, lag, now, self.describe());
    }

    /// Sets whether the engine reports that it is leaving. It still accepts requests.
    pub fn set_leaving(&mut self, now: Millis, leaving: bool) {
        self.run_until(now);
        self.leaving = leaving;
    }

    /// Returns a load report with the lag of the options, or `None` if the engine is down.
    pub fn report(&mut self, now: Millis) -> Option<LoadReport> {
        self.run_until(now);
        if !self.up {
            return None;
        }
        self.snapshots.answer(now)
    }

    /// Returns the published cache events after number `after`, or `None` if the engine is down.
    pub fn cache_events(&mut self, now: Millis, after: u64) -> Option<CacheEventPage> {
        self.run_until(now);
        self.up
            .then(|| CacheEventPage { boot: self.boot, events: self.cache_log.after(after, now) })
    }

    /// Returns the current state, or `None` if the engine is down.
    pub fn state(&mut self, now: Millis) -> Option<EngineState> {
        self.run_until(now);
        self.up.then(|| EngineState {
            checks_fencing: self.opts.checks_fencing,
            boot: self.boot,
            role: self.setup.role,
            model: self.setup.served_model(),
            adapters: self.setup.adapters.clone(),
            last_stamp: self.setup.last_stamp,
            running_order: self.setup.running.as_ref().map(|running| running.order.clone()),
            open_requests: self.batch.len() as u64,
        })
    }

    /// Returns the log of all orders received since the first start.
    pub fn orders(&self) -> &[OrderRecord] {
        &self.orders
    }

    /// Returns the open attempts, sorted.
    pub fn open_attempts(&self) -> Vec<AttemptId> {
        self.batch.attempts()
    }

    /// Returns the options.
    pub fn options(&self) -> &EngineOptions {
        &self.opts
    }

    fn check(&self, req: &ModelRequest) -> Result<(), Refused> {
        if !self.up {
            return Err(Refused::Down);
        }
        self.setup.check(req.kind)?;
        if self.batch.contains(req.attempt) {
            return Err(Refused::Duplicate);
        }
        if self.batch.waiting() >= self.opts.max_queue {
            return Err(Refused::QueueFull);
        }
        Ok(())
    }

    /// Processes the steps and orders that end until `now`, in the order of their times.
    fn run_until(&mut self, now: Millis) {
        let until = now.0 * MICROS_PER_MILLI;
        loop {
            let step_ends_at = self.batch.step_ends_at().unwrap_or(Micros::MAX);
            let order_done_at = self
                .setup
                .running
                .as_ref()
                .map_or(Micros::MAX, |running| running.done_at.0 * MICROS_PER_MILLI);
            let next = step_ends_at.min(order_done_at);
            if next > until {
                break;
            }
            self.record_until(next);
            self.now = next;
            if order_done_at == next {
                self.finish_order();
            } else {
                self.finish_step();
            }
        }
        self.record_until(until);
        self.now = self.now.max(until);
    }

    fn finish_step(&mut self) {
        let (cache, log, rng) = (&mut self.cache, &mut self.cache_log, &mut self.rng);
        let now = millis_after(self.now);
        self.batch.end_step(self.opts.token_events, &mut self.events, |req| {
            if req.kind != WorkKind::Decode {
                cache.store(&req.blocks, |change, block| log.push(now, change, block, rng));
            }
        });
        self.batch.begin_step(self.now, &self.opts, &mut self.cache);
    }

    fn reply_to(&self, order: &StampedOrder) -> OrderReply {
        if !self.up {
            return OrderReply::Refused { reason: Refused::Down.to_string() };
        }
        self.setup.reply_to(order, self.opts.checks_fencing)
    }

    fn begin_order(&mut self, now: Millis, order: &StampedOrder, record: &mut OrderRecord) {
        self.setup.last_stamp = self.setup.last_stamp.max(order.stamp);
        let stamp = order.stamp;
        if self.setup.is_satisfied(&order.order) {
            record.end = Some(OrderEnd::Done { at: now });
            self.events.push(EngineEvent::OrderDone { stamp, at: now });
            return;
        }
        if suspends_serving(&order.order) {
            record.cut = self.drop_all(now, CutCause::Order);
        }
        let done_at = now + duration_of(&order.order, &self.opts);
        let (order, record) = (order.clone(), self.orders.len());
        self.setup.running = Some(RunningOrder { order, done_at, record });
    }

    fn finish_order(&mut self) {
        let Some(running) = self.setup.running.take() else { return };
        let at = running.done_at;
        self.setup.apply(&running.order.order);
        self.orders[running.record].end = Some(OrderEnd::Done { at });
        self.events.push(EngineEvent::OrderDone { stamp: running.order.stamp, at });
    }

    fn drop_all(&mut self, at: Millis, cause: CutCause) -> Vec<AttemptId> {
        let cut = self.batch.attempts();
        let events = cut.iter().map(|attempt| EngineEvent::Cut { attempt: *attempt, at, cause });
        self.events.extend(events);
        self.batch = Batch::default();
        cut
    }

    fn record_until(&mut self, until: Micros) {
        let until = Millis(until / MICROS_PER_MILLI);
        if !self.up || self.snapshots.next_at() > until {
            return;
        }
        let report = self.describe();
        self.snapshots.record_until(until, || report.clone());
    }

    fn describe(&self) -> LoadReport {
        describe(&self.opts, self.boot, &self.setup, self.leaving, &self.batch)
    }
}

fn describe(
    opts: &EngineOptions,
    boot: u64,
    setup: &Setup,
    leaving: bool,
    batch: &Batch,
) -> LoadReport {
    let load = batch.load();
    LoadReport {
        boot,
        seq: 0,
        age: Millis::ZERO,
        role: setup.role,
        model: setup.served_model(),
        leaving,
        queued_requests: load.queued_requests,
        queued_prefill: Tokens(load.queued_prefill),
        running_requests: load.running_requests,
        running_decode: Tokens(load.running_decode),
        prefill_tokens_per_s: opts.prefill_tokens_per_s,
        decode_step_ms: opts.decode_step_ms,
        decode_step_per_request_ms: opts.decode_step_per_request_ms,
        max_batch: opts.max_batch,
    }
}
