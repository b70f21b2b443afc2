//! The events that an instance logs, with their fields.
//!
//! A line is logged for each decision that affects a request or changes the instance's cached state. An
//! event's level and target determine whether it is retained when lines are produced faster than they can be
//! written: requests that simply succeed are dropped first, before events above `Info` and events about
//! cached state.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::orders::Role;
use log::Level;
use log::kv::{Error, Key, Source, Value, VisitSource};
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;

/// The target of lines about requests.
pub const REQUESTS: &str = "anvilhook::requests";

/// The target of lines about cached state.
pub const BELIEFS: &str = "anvilhook::beliefs";

/// The number of lines that the process has dropped since its start because they could not be written fast
/// enough.
///
/// The log writer counts here, so that the metrics show the loss even if the log can't be read.
pub static LINES_DROPPED: LazyLock<Counter> = LazyLock::new(Counter::default);

/// `Evidence` is what shows that an engine has terminated.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Its host refuses connections.
    Refused,
    /// The engine has restarted, or another engine has its address.
    Restarted,
    /// Its entry was removed after its connections had broken.
    Removed,
}

impl Evidence {
    /// Returns the text used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Evidence::Refused => "refused",
            Evidence::Restarted => "restarted",
            Evidence::Removed => "removed",
        }
    }
}

/// `Event` is one line of the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The instance has started.
    Started {
        /// Its availability zone.
        zone: &'a str,
        /// The program's version.
        version: &'a str,
    },
    /// The process received a signal.
    Signalled {
        /// The signal's name.
        signal: &'a str,
        /// The number of requests in flight at that time.
        in_flight: u64,
    },
    /// The settings were reread.
    SettingsReread {
        /// Whether any change was applied.
        has_changed: bool,
        /// The changes that are applied only at the next start.
        at_restart: Vec<&'static str>,
    },
    /// The settings were reread and are invalid; the earlier ones remain in use.
    SettingsRefused {
        /// The invalid field and what is wrong with it.
        cause: String,
    },
    /// The instance exits.
    Stopped {
        /// The number of requests that are interrupted by the exit.
        in_flight: u64,
        /// The number of datagrams sent to peers since the start.
        digests: u64,
        /// The size of these datagrams in bytes, without network overhead.
        digest_bytes: u64,
        /// The bytes of datagrams by scope and by section.
        digest_sections: BTreeMap<&'static str, BTreeMap<&'static str, u64>>,
    },
    /// A table can't be reached; the rows that were read before stay in use.
    DependencyLost {
        /// The table.
        dependency: &'a str,
        /// The error of the call.
        cause: String,
    },
    /// A table is reached again.
    DependencyRegained {
        /// The table.
        dependency: &'a str,
        /// How long it was unreachable, in milliseconds.
        away_ms: u64,
    },
    /// A table no longer retains the changes needed to follow it; it is reread.
    HistoryGone {
        /// The table.
        dependency: &'a str,
        /// The version up to which it was followed.
        version: u64,
    },
    /// The store was restored from a copy; a table was read whole in its new epoch.
    TableRestored {
        /// The table.
        dependency: &'a str,
        /// The new epoch.
        epoch: u64,
        /// The epoch in which the table was followed before.
        epoch_before: u64,
        /// The version of the restored table.
        version: u64,
        /// The version up to which the table was followed before.
        known: u64,
    },
    /// A call to a table has completed.
    TableCalled {
        /// The table.
        dependency: &'a str,
        /// `scan`, `changes` or `write`.
        call: &'static str,
        /// `answered`, `refused`, `history_gone` or `no_answer`.
        outcome: &'static str,
        /// The epoch of the store, if it returned rows or a revision.
        epoch: Option<u64>,
    },
    /// Changed rows of a followed table were applied.
    RowsTaken {
        /// The table.
        dependency: &'a str,
        /// The source of the rows: `call` if this instance called the table for changes, `whole` if it read
        /// the whole table, or `told` if another instance sent them.
        source: &'static str,
        /// The version before these changes.
        after: u64,
        /// The version after these changes.
        to: u64,
        /// The epoch of the store from which the rows come.
        epoch: u64,
        /// The epoch of the store from which the previous rows came.
        epoch_before: u64,
        /// The number of rows.
        rows: usize,
    },
    /// A row can't be decoded; its earlier value stays in use.
    UnreadableRow {
        /// The table.
        table: &'a str,
        /// The row's key.
        key: &'a str,
        /// The field and what is wrong with it.
        cause: String,
    },
    /// A configuration has become active.
    ConfigAdopted {
        /// Its version.
        version: u64,
        /// The previously active version, if there was one.
        before: Option<u64>,
    },
    /// The listed upstreams have changed.
    FleetChanged {
        /// The number of listed upstreams.
        listed: usize,
        /// The upstreams that are leaving.
        draining: Vec<&'a str>,
        /// The upstreams that were not listed before.
        added: Vec<&'a str>,
        /// The upstreams that are no longer listed.
        removed: Vec<&'a str>,
        /// The upstreams that have restarted under their id.
        restarted: Vec<&'a str>,
    },
    /// An engine's own answer has shown which role it has.
    RoleShown {
        /// The engine.
        upstream: &'a str,
        /// The role.
        role: Role,
        /// The request whose answer showed it; absent if it came from the engine's report.
        request: Option<&'a str>,
    },
    /// An upstream is not used for a while: its host refuses connections, or several instances received
    /// errors from it.
    UpstreamClosed {
        /// The upstream.
        upstream: &'a str,
        /// The request whose connection was refused, empty after errors.
        request: &'a str,
        /// For how long it is not used, in milliseconds.
        for_ms: u64,
        /// How many closed times have followed each other, this one included.
        count: u32,
        /// The length of the closed time before this one, in milliseconds, if they follow each other.
        previous_ms: Option<u64>,
    },
    /// The path by which this instance reaches an upstream has changed.
    PathChanged {
        /// The upstream.
        upstream: &'a str,
        /// `direct`, `indirect` (through another instance), `indirect_only` (own open connections transfer nothing
        /// either) or `unreachable`.
        path: &'a str,
        /// The path before.
        before: &'a str,
        /// The time since the upstream last answered over this instance's own path, in milliseconds.
        contact_age_ms: Option<u64>,
        /// The number of upstreams that this instance does not reach over its own path.
        broken_paths: usize,
    },
    /// A call was sent to an upstream, or its path was checked, through another instance.
    CallForwarded {
        /// The request, empty for a check or a call that the gateway itself made.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// The address of the other instance.
        forwarder: &'a str,
        /// `reached`, `no_forwarder`, `not_taken`, `no_path` (the other instance does not reach this upstream either), `refused`,
        /// `no_response`, `broken` or `timed_out`; with `_unsound` if the other instance is cut from most upstreams.
        outcome: &'a str,
        /// The time to the head of the answer, in milliseconds.
        took_ms: u64,
    },
    /// A call of another instance was sent to its upstream.
    CallServed {
        /// The request, empty for a check or a call that the other gateway itself made.
        request: &'a str,
        /// The hash of the upstream's id and start time.
        upstream: u32,
        /// The outcome, as in `call_forwarded`.
        outcome: &'a str,
    },
    /// An upstream was found to have terminated before the upstream table showed it.
    UpstreamGone {
        /// The upstream.
        upstream: &'a str,
        /// The request whose answer showed it.
        request: &'a str,
    },
    /// An upstream has reported in an answer that it leaves, or has asked for a pause.
    UpstreamTold {
        /// The upstream.
        upstream: &'a str,
        /// The request that it answered, empty for a call that the gateway itself made.
        request: &'a str,
        /// The status of the answer.
        status: u16,
        /// Whether it leaves.
        is_leaving: bool,
        /// The length of the requested pause, in milliseconds.
        pause_ms: Option<u64>,
    },
    /// An upstream's request for a pause can't be decoded.
    PauseIgnored {
        /// The upstream.
        upstream: &'a str,
        /// What is wrong with it.
        cause: String,
    },
    /// An upstream has named a new request limit in an answer, or no longer names one.
    RequestLimit {
        /// The upstream.
        upstream: &'a str,
        /// The request that it answered, empty for a call that the gateway itself made.
        request: &'a str,
        /// The requests a second that it accepts from all instances together; absent if the limit has ended.
        per_s: Option<f64>,
        /// The previous limit, if there was one.
        before: Option<f64>,
    },
    /// A request limit that an upstream names can't be decoded.
    RequestLimitIgnored {
        /// The upstream.
        upstream: &'a str,
        /// What is wrong with it.
        cause: String,
    },
    /// An engine has terminated while it ran requests.
    EngineEnded {
        /// The engine.
        upstream: &'a str,
        /// The hash of its id and start time.
        incarnation: u32,
        /// The evidence for it.
        evidence: Evidence,
        /// The number of requests of this instance that it ran.
        runs: usize,
        /// The requests among them that are now suspected.
        suspects: Vec<Fingerprint>,
    },
    /// A request was quarantined and is no longer sent to any engine.
    RequestQuarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// The engines that terminated while they ran it, by the hashes of their ids and start times, with
        /// the time since then in milliseconds.
        ends: Vec<(u32, u64)>,
        /// `own` if this instance observed the ends itself, or `told` if another instance reported them.
        source: &'static str,
    },
    /// An operator has lifted a quarantine.
    QuarantineLifted {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// The share of a service's engines that are to read prompts (prefill) has changed.
    SplitPlanned {
        /// The service.
        service: &'a str,
        /// The new share.
        share: f64,
        /// The previous share.
        before: f64,
    },
    /// The engines were queried for the content of their caches.
    CachesRead {
        /// The number of parts in the caches.
        parts: usize,
    },
    /// An attempt to acquire or renew a lease has completed.
    Lease {
        /// The purpose of the lease.
        lease: &'a str,
        /// The outcome.
        outcome: &'a str,
        /// The fencing token, 0 if there is none.
        token: u64,
    },
    /// A call to report the usage of a window has completed.
    UsageReported {
        /// The window.
        window: u64,
        /// The number of client accounts in the report.
        accounts: usize,
        /// The total number of their requests.
        requests: u64,
        /// The fencing token.
        token: u64,
        /// The outcome.
        outcome: &'a str,
    },
    /// The number of a service's upstreams and their use.
    FleetSeen {
        /// The service.
        service: &'a str,
        /// The number of regular upstreams that are not leaving.
        regular: u32,
        /// The number of reclaimable upstreams that are not leaving.
        reclaimable: u32,
        /// The work, in hundredths of one engine's capacity.
        used: u32,
        /// The number of upstreams before any were ordered, if it is known.
        usual: Option<u32>,
    },
    /// A call to order a number of upstreams has completed.
    FleetOrdered {
        /// The service.
        service: &'a str,
        /// The availability zone.
        zone: &'a str,
        /// Whether the upstreams are reclaimable.
        reclaimable: bool,
        /// The current number.
        has: u32,
        /// The ordered number.
        desired: u32,
        /// The reason.
        reason: &'a str,
        /// The age of the upstream table, in milliseconds.
        list_age_ms: Option<u64>,
        /// The fencing token.
        token: u64,
        /// The outcome.
        outcome: &'a str,
    },
    /// The usage of a window is not reported, because the time to report it has passed.
    UsageMissed {
        /// The window.
        window: u64,
    },
    /// A duty is postponed.
    DutyDelayed {
        /// The duty.
        duty: &'a str,
        /// The cause.
        cause: String,
    },
    /// An order was given to an engine.
    OrderGiven {
        /// The engine.
        upstream: &'a str,
        /// The role that it is ordered to switch to.
        role: &'a str,
        /// The fencing token.
        token: u64,
        /// The engine's answer.
        outcome: &'a str,
    },
    /// An upstream was chosen, and the request is sent to it.
    Placed {
        /// The request.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// The stage: `plain`, `read` or `generate`.
        stage: &'a str,
        /// The predicted time until the upstream is done or begins to answer, in milliseconds.
        predicted_ms: u64,
        /// The part of that time that is the engine's own work, in milliseconds; the rest is waiting.
        work_ms: u64,
        /// How long the request was queued here before, in milliseconds.
        held_ms: u64,
        /// Why the request is sent now: `free` or `due`.
        pace: &'a str,
        /// The estimated number of requests that all instances have in flight there.
        in_flight: u32,
        /// The upstream's request limit in requests a second, if it has named one.
        limit_per_s: Option<f64>,
        /// The requests that this instance has sent to a limited upstream in the last four seconds.
        limit_sent: Option<usize>,
        /// The engine from which the prompt is fetched, if any.
        source: Option<&'a str>,
        /// The age of the upstream table, in milliseconds.
        list_age_ms: Option<u64>,
        /// The age of the newest update from a peer, in milliseconds.
        peers_age_ms: Option<u64>,
        /// How many times longer than the mean of its service the upstream's work takes.
        slowness: f64,
        /// The reading lane of the engine that reads: `short`, `border` or `long`, if its zone has lanes.
        lane: Option<&'a str>,
        /// How many waiting requests came first when the request was queued here; absent if it was not.
        position: Option<u32>,
    },
    /// A stopping instance has accepted a request, or refused it because the instance's end could interrupt
    /// the request.
    StopWeighed {
        /// The request.
        request: &'a str,
        /// The time until the instance ends, in milliseconds.
        left_ms: u64,
        /// The time until the caller's own limit, in milliseconds.
        limit_ms: u64,
        /// The expected duration of the request, in milliseconds, if there is an estimate.
        expected_ms: Option<u64>,
        /// `bounded` if the caller's own limit is early enough, `expected` if the request is expected to end
        /// in time, `refused`, or `resumed` if it continues a broken stream.
        taking: &'a str,
    },
    /// An attempt produced no answer to forward.
    AttemptFailed {
        /// The request.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// The request's fingerprint, which its repeats share.
        fingerprint: Fingerprint,
        /// The stage that the attempt was for.
        stage: &'a str,
        /// Whether the request may have run.
        verdict: &'a str,
        /// The cause.
        cause: &'a str,
        /// The step of the call at which it failed: `connect`, `first-byte` or `body`; empty if the upstream
        /// answered or was not called.
        step: &'a str,
        /// The time since the upstream last answered this instance over its own path, in milliseconds, whatever
        /// it answered.
        contact_age_ms: Option<u64>,
    },
    /// A stream broke after its first event.
    StreamBroken {
        /// The request.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// The request's fingerprint, which its repeats share.
        fingerprint: Fingerprint,
        /// The last event that the caller received.
        last_event: Option<u64>,
        /// The cause of the break.
        cause: &'a str,
        /// `resumed`, or why the stream was not resumed.
        outcome: &'a str,
    },
    /// The caller left before its answer, and the work on its request was dropped.
    CallerLeft {
        /// The request.
        request: &'a str,
        /// The time from its arrival, in milliseconds.
        took_ms: u64,
    },
    /// A stream has ended.
    StreamEnded {
        /// The request.
        request: &'a str,
        /// `whole`, `cut` if it was truncated, `left` if the caller left before its end, or `stopped` if the
        /// instance ended.
        outcome: &'a str,
        /// The longest pause between two events, in milliseconds.
        longest_pause_ms: u64,
        /// The time from the request's arrival, in milliseconds.
        took_ms: u64,
    },
    /// A request has been answered, or its stream has begun.
    Concluded {
        /// The request, empty if it had no id.
        request: &'a str,
        /// The request's fingerprint, if the request was received completely.
        fingerprint: Option<Fingerprint>,
        /// Its route, empty if none was found.
        route: &'a str,
        /// Its client account, if the caller presented the key of one.
        account: Option<&'a str>,
        /// The status sent to the caller.
        status: u16,
        /// The reason.
        reason: &'a str,
        /// The time after which the caller should retry, in milliseconds.
        retry_after_ms: Option<u64>,
        /// The upstreams to which it was sent, with the time that each took.
        upstreams: &'a str,
        /// The time from its arrival, in milliseconds.
        took_ms: u64,
        /// The time from the arrival until the caller's deadline, in milliseconds.
        had_ms: u64,
        /// The time within which an answer counts as on time, in milliseconds; 0 without a route.
        objective_ms: u64,
        /// The version of the active configuration.
        config: u64,
        /// Why it was rejected for lack of capacity: `predicted`, `waited`, `no_time` or `retry_budget`; absent
        /// if it was not.
        rejected_by: Option<&'static str>,
        /// The time to the first event as last predicted before it was rejected, in milliseconds.
        predicted_wait_ms: Option<u64>,
        /// What its account requested above its fair share of the service, as a factor of the share; absent
        /// within the share.
        #[serde(skip_serializing_if = "Option::is_none")]
        excess: Option<f64>,
    },
}

impl Event<'_> {
    /// Returns the level of the line.
    pub fn level(&self) -> Level {
        match self {
            Event::DependencyLost { .. }
            | Event::TableRestored { .. }
            | Event::AttemptFailed { .. }
            | Event::StreamBroken { .. }
            | Event::PauseIgnored { .. }
            | Event::RequestLimitIgnored { .. }
            | Event::EngineEnded { .. }
            | Event::RequestQuarantined { .. } => Level::Warn,
            Event::UnreadableRow { .. } | Event::SettingsRefused { .. } => Level::Error,
            Event::StreamEnded { outcome, .. } if matches!(*outcome, "cut" | "stopped") => {
                Level::Warn
            }
            Event::Concluded { status, .. } if *status >= 400 => Level::Warn,
            _ => Level::Info,
        }
    }

    /// Returns whether the line is about a request.
    pub fn is_of_request(&self) -> bool {
        matches!(
            self,
            Event::Placed { .. }
                | Event::StopWeighed { .. }
                | Event::AttemptFailed { .. }
                | Event::StreamBroken { .. }
                | Event::StreamEnded { .. }
                | Event::CallerLeft { .. }
                | Event::CallForwarded { .. }
                | Event::CallServed { .. }
                | Event::Concluded { .. }
        )
    }
}

/// The key under which a line carries its event.
const EVENT_KEY: &str = "json";

/// Logs an event. The line carries it as one JSON object.
pub fn emit(event: &Event<'_>) {
    let target = if event.is_of_request() { REQUESTS } else { BELIEFS };
    let level = event.level();
    if !log::log_enabled!(target: target, level) {
        return;
    }
    let Ok(json) = serde_json::to_string(event) else { return };
    let pairs = [(EVENT_KEY, json.as_str())];
    let record = log::Record::builder()
        .args(format_args!(""))
        .level(level)
        .target(target)
        .key_values(&pairs)
        .build();
    log::logger().log(&record);
}

/// Returns the JSON object of a line that `emit` logged, `None` for any other line.
pub fn json_of(record: &log::Record<'_>) -> Option<String> {
    struct Find(Option<String>);

    impl<'kvs> VisitSource<'kvs> for Find {
        fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
            if key.as_str() == EVENT_KEY {
                self.0 = value.to_borrowed_str().map(str::to_owned);
            }
            Ok(())
        }
    }

    let mut find = Find(None);
    let source: &dyn Source = record.key_values();
    source.visit(&mut find).ok()?;
    find.0
}
