//! The events that an instance logs, each a type with its fields, in one place.
//!
//! A line is logged for each decision that touches a request or changes what the instance believes.
//! Each event says by its level how long it is kept when the lines come faster than they can be
//! written: what is above `Info`, and what is about beliefs, goes before plain successes.

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

/// The target of lines about what is believed.
pub const BELIEFS: &str = "anvilhook::beliefs";

/// The lines that the process has dropped because nobody took them, as long as it runs.
///
/// Whoever writes lines counts here, so that the metrics tell it also when the log can't be read.
pub static LINES_DROPPED: LazyLock<Counter> = LazyLock::new(Counter::default);

/// `Evidence` is what shows that an engine has ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Its host refuses connections.
    Refused,
    /// Another start of it is there, or another engine at its address.
    Restarted,
    /// Its entry went after its connections had broken.
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
    /// A signal came.
    Signalled {
        /// The signal's name.
        signal: &'a str,
        /// Requests in flight at that moment.
        in_flight: u64,
    },
    /// The settings were read anew.
    SettingsReread {
        /// Whether anything is used otherwise than before.
        has_changed: bool,
        /// What has changed and is used only after the next start.
        at_restart: Vec<&'static str>,
    },
    /// The settings were read anew and can't be used; the earlier ones are in force.
    SettingsRefused {
        /// Why, with the field.
        cause: String,
    },
    /// The instance ends.
    Stopped {
        /// Requests that are cut by the end.
        in_flight: u64,
        /// Datagrams sent to peers since the start.
        digests: u64,
        /// Their bytes, without what the network adds.
        digest_bytes: u64,
        /// The same by whose news they are, and by section.
        digest_sections: BTreeMap<&'static str, BTreeMap<&'static str, u64>>,
    },
    /// A table can't be reached; what was read of it goes on being believed.
    DependencyLost {
        /// The table.
        dependency: &'a str,
        /// What came of the call.
        cause: String,
    },
    /// A table is reached again.
    DependencyRegained {
        /// The table.
        dependency: &'a str,
        /// How long it was away, in milliseconds.
        away_ms: u64,
    },
    /// A table's changes are no longer kept; it is read anew.
    HistoryGone {
        /// The table.
        dependency: &'a str,
        /// The version up to which it had been followed.
        version: u64,
    },
    /// A call to a table has ended.
    TableCalled {
        /// The table.
        dependency: &'a str,
        /// `scan`, `changes` or `write`.
        call: &'static str,
        /// `answered`, `refused`, `history_gone` or `no_answer`.
        outcome: &'static str,
    },
    /// Changed rows of a followed table were taken in.
    RowsTaken {
        /// The table.
        dependency: &'a str,
        /// `call` by a call of this instance, `whole` by reading the table whole, or `told` by another
        /// instance.
        source: &'static str,
        /// The newest change before them.
        after: u64,
        /// The version that they lead to.
        to: u64,
        /// How many there are.
        rows: usize,
    },
    /// A row can't be read; what was believed before stays.
    UnreadableRow {
        /// The table.
        table: &'a str,
        /// The row's key.
        key: &'a str,
        /// The field and what is wrong with it.
        cause: String,
    },
    /// A configuration is in force.
    ConfigAdopted {
        /// Its version.
        version: u64,
        /// The version before, if there was one.
        before: Option<u64>,
    },
    /// The listed upstreams have changed.
    FleetChanged {
        /// How many are listed.
        listed: usize,
        /// Those that are leaving.
        draining: Vec<&'a str>,
        /// Those that were not listed before.
        added: Vec<&'a str>,
        /// Those that are no longer listed.
        removed: Vec<&'a str>,
        /// Those that have started again under their id.
        restarted: Vec<&'a str>,
    },
    /// An engine has shown by its own answer which role it has.
    RoleShown {
        /// The engine.
        upstream: &'a str,
        /// The role.
        role: Role,
        /// The request by which it was learnt, if it was not asked for its report.
        request: Option<&'a str>,
    },
    /// An upstream is left alone: its host refuses connections, or several instances got its errors.
    UpstreamClosed {
        /// The upstream.
        upstream: &'a str,
        /// The request whose connection was refused, empty after errors.
        request: &'a str,
        /// For how long it is left alone, in milliseconds.
        for_ms: u64,
    },
    /// An upstream turned out to be gone, before the list said so.
    UpstreamGone {
        /// The upstream.
        upstream: &'a str,
        /// The request by which it was learnt.
        request: &'a str,
    },
    /// An upstream has told in an answer that it leaves, or for how long it wants nothing.
    UpstreamTold {
        /// The upstream.
        upstream: &'a str,
        /// The request that it answered, empty if it was a call of the instance's own.
        request: &'a str,
        /// The status of the answer.
        status: u16,
        /// Whether it leaves.
        is_leaving: bool,
        /// For how long it wants nothing, in milliseconds.
        pause_ms: Option<u64>,
    },
    /// An upstream's wish for a pause can't be read.
    PauseIgnored {
        /// The upstream.
        upstream: &'a str,
        /// What is wrong with it.
        cause: String,
    },
    /// An engine has ended while it ran requests.
    EngineEnded {
        /// The engine.
        upstream: &'a str,
        /// The short form of its id and start.
        incarnation: u32,
        /// What shows it.
        evidence: Evidence,
        /// How many requests of this instance it ran.
        runs: usize,
        /// Those of them that are suspected by it.
        suspects: Vec<Fingerprint>,
    },
    /// A request is sent to no engine any more.
    RequestQuarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// The engines that ended under it, by the short forms of their ids and starts, with the time since
        /// in milliseconds.
        ends: Vec<(u32, u64)>,
        /// `own` by what this instance has seen, or `told` by another one.
        source: &'static str,
    },
    /// An operator has lifted a quarantine.
    QuarantineLifted {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// Another share of a service's engines is to read prompts.
    SplitPlanned {
        /// The service.
        service: &'a str,
        /// The share.
        share: f64,
        /// The share before.
        before: f64,
    },
    /// The engines were asked what their caches hold.
    CachesRead {
        /// The parts that they hold.
        parts: usize,
    },
    /// A lease was taken or renewed, or was not.
    Lease {
        /// What it is for.
        lease: &'a str,
        /// What came of it.
        outcome: &'a str,
        /// The fencing token, 0 if there is none.
        token: u64,
    },
    /// The usage of a window was reported, or was not.
    UsageReported {
        /// The window.
        window: u64,
        /// How many client accounts it names.
        accounts: usize,
        /// How many requests of all of them.
        requests: u64,
        /// The fencing token.
        token: u64,
        /// What came of it.
        outcome: &'a str,
    },
    /// How many upstreams there are, and how many are used.
    FleetSeen {
        /// The service.
        service: &'a str,
        /// How many there are that don't leave, regular and reclaimable ones.
        regular: u32,
        /// See `regular`.
        reclaimable: u32,
        /// How many engines' worth of work there is, in hundredths.
        used: u32,
        /// How many there were before any were ordered, if that is known.
        usual: Option<u32>,
    },
    /// A number of upstreams was ordered, or was not.
    FleetOrdered {
        /// The service.
        service: &'a str,
        /// The availability zone.
        zone: &'a str,
        /// Whether they may be reclaimed.
        reclaimable: bool,
        /// How many there are.
        has: u32,
        /// How many are ordered.
        desired: u32,
        /// Why.
        reason: &'a str,
        /// How old the list of upstreams is, in milliseconds.
        list_age_ms: Option<u64>,
        /// The fencing token.
        token: u64,
        /// What came of it.
        outcome: &'a str,
    },
    /// The usage of a window is not reported: its time is over.
    UsageMissed {
        /// The window.
        window: u64,
    },
    /// A duty is put off.
    DutyDelayed {
        /// The duty.
        duty: &'a str,
        /// Why.
        cause: String,
    },
    /// An order was given to an engine.
    OrderGiven {
        /// The engine.
        upstream: &'a str,
        /// The role that it is to take.
        role: &'a str,
        /// The fencing token.
        token: u64,
        /// What the engine said.
        outcome: &'a str,
    },
    /// An upstream was chosen and the request is sent there.
    Placed {
        /// The request.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// What it is to do: `plain`, `read` or `generate`.
        stage: &'a str,
        /// The predicted time until it is done or has begun to answer, in milliseconds.
        predicted_ms: u64,
        /// What of that is the engine's own work, in milliseconds; the rest is waiting.
        work_ms: u64,
        /// How long it was held here before, in milliseconds.
        held_ms: u64,
        /// Why it is sent now: `free` or `due`.
        pace: &'a str,
        /// What all instances are believed to have in flight there.
        in_flight: u32,
        /// The engine from which the prompt is fetched, if any.
        source: Option<&'a str>,
        /// The age of the list of upstreams, in milliseconds.
        list_age_ms: Option<u64>,
        /// The age of the newest word of a peer, in milliseconds.
        peers_age_ms: Option<u64>,
    },
    /// An instance that stops has taken a request on, or has refused it because its end could cut it.
    StopWeighed {
        /// The request.
        request: &'a str,
        /// The time until the instance ends, in milliseconds.
        left_ms: u64,
        /// The time until the caller's own limit, in milliseconds.
        limit_ms: u64,
        /// How long it is expected to take, in milliseconds, if anything is known of that.
        expected_ms: Option<u64>,
        /// `bounded` by the caller's limit, `expected` to end in time, `refused`, or `resumed` after a
        /// break.
        taking: &'a str,
    },
    /// An attempt brought no answer to pass on.
    AttemptFailed {
        /// The request.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// What the request has in common with its repeats.
        fingerprint: Fingerprint,
        /// What it was to do.
        stage: &'a str,
        /// Whether the request may have run.
        verdict: &'a str,
        /// Why.
        cause: &'a str,
    },
    /// A stream broke after its first event.
    StreamBroken {
        /// The request.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// What the request has in common with its repeats.
        fingerprint: Fingerprint,
        /// The last event that the caller got.
        last_event: Option<u64>,
        /// Why it broke.
        cause: &'a str,
        /// `resumed`, or why it was not.
        outcome: &'a str,
    },
    /// The caller left before its answer, and what was done for it was dropped.
    CallerLeft {
        /// The request.
        request: &'a str,
        /// The time from its arrival, in milliseconds.
        took_ms: u64,
    },
    /// A stream has come to its end.
    StreamEnded {
        /// The request.
        request: &'a str,
        /// `whole`, `cut`, `left` if the caller went first, or `stopped` if the instance ended.
        outcome: &'a str,
        /// The longest pause between two events, in milliseconds.
        longest_pause_ms: u64,
        /// The time from the request's arrival, in milliseconds.
        took_ms: u64,
    },
    /// A request has been answered, or its stream has begun.
    Concluded {
        /// The request, empty if it bore no id.
        request: &'a str,
        /// What it has in common with its repeats, if it was read whole.
        fingerprint: Option<Fingerprint>,
        /// Its route, empty if none was found.
        route: &'a str,
        /// Its client account, if it showed a key of one.
        account: Option<&'a str>,
        /// The status that the caller got.
        status: u16,
        /// Why, in a word.
        reason: &'a str,
        /// When the caller is to come back, in milliseconds.
        retry_after_ms: Option<u64>,
        /// The upstreams that it was sent to, with what each took.
        upstreams: &'a str,
        /// The time from its arrival, in milliseconds.
        took_ms: u64,
        /// The time that the caller had, in milliseconds.
        had_ms: u64,
        /// The time within which an answer would have been on time, in milliseconds; 0 without a
        /// route.
        objective_ms: u64,
        /// The version of the configuration by which it was decided.
        config: u64,
    },
}

impl Event<'_> {
    /// Returns the level of the line.
    pub fn level(&self) -> Level {
        match self {
            Event::DependencyLost { .. }
            | Event::AttemptFailed { .. }
            | Event::StreamBroken { .. }
            | Event::PauseIgnored { .. }
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
