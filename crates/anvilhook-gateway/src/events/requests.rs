//! Events about single requests.

use anvilhook_core::fingerprints::Fingerprint;
use log::Level;
use serde::Serialize;

use super::{Event, REQUESTS};
use crate::configs::Repeats;

/// `RequestEvent` is a line about one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum RequestEvent<'a> {
    /// A call was sent to an upstream, or its path was checked, through another instance.
    CallForwarded {
        /// The request, empty for a check or a call that the gateway itself made.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// The address of the other instance.
        forwarder: &'a str,
        /// `reached`, `no_forwarder`, `not_taken`, `not_open`, `no_path` (the other instance does not reach this upstream either), `refused`,
        /// `no_response`, `broken` or `timed_out`; with `_unsound` if the other instance is cut from most upstreams.
        outcome: &'a str,
        /// The time to the head of the answer, in milliseconds.
        took_ms: u64,
    },
    /// A call of another instance is sent to its upstream.
    CallTaken {
        /// The request, empty for a call that the other gateway itself made.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// The connection that is used: `pooled` or `new`.
        connection: &'a str,
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
    /// An upstream was chosen, and the request is sent to it.
    Placed {
        /// The request.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// The version of the upstream's software, if it reports one.
        version: Option<&'a str>,
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
        /// How many times the request has been sent to upstreams, with this time.
        attempt: u32,
        /// Why it is sent again: how the attempt before ended; absent at the first attempt.
        again_after: Option<&'a str>,
        /// Whether the request may be repeated, by the route that was read for this attempt.
        kind: Repeats,
        /// The version of the active configuration.
        config: u64,
        /// The connection that is used: `pooled` or `new`.
        connection: &'a str,
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
        /// The status of the answer, if there was one.
        status: Option<u16>,
        /// Whose id the answer echoed: `own`, `other` or `none`; absent if there was no answer.
        echo: Option<&'a str>,
    },
    /// A caller continues a stream that another request began.
    StreamContinued {
        /// The request.
        request: &'a str,
        /// The request that began the stream, if the caller names it.
        stream: Option<&'a str>,
        /// The last event that the caller has received.
        last_event: Option<u64>,
        /// Whether it is known which software began the stream: `kept` here, `answered` by another instance,
        /// `unknown`, or `unanswered` if an instance that may know it has not answered.
        origin: &'a str,
        /// The version of that software, if upstreams with it are listed.
        version: Option<&'a str>,
        /// The time that the lookup took, in milliseconds.
        took_ms: u64,
    },
    /// A stream broke after its first event.
    StreamBroken {
        /// The request.
        request: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// The version of the upstream's software, if it reports one.
        version: Option<&'a str>,
        /// The version of the software that continues the stream, if it is resumed.
        resumed_at: Option<&'a str>,
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
        /// The version that was active when the request was received, if it was received completely.
        received_config: Option<u64>,
        /// Whether its caller presented a readable API key.
        has_key: bool,
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

impl Event for RequestEvent<'_> {
    const TARGET: &'static str = REQUESTS;

    fn level(&self) -> Level {
        match self {
            RequestEvent::AttemptFailed { .. } | RequestEvent::StreamBroken { .. } => Level::Warn,
            // It must stay in the log under load: only this line shows why such a request was sent again.
            RequestEvent::Placed { again_after: Some(_), kind, .. } if !kind.is_repeatable() => {
                Level::Warn
            }
            RequestEvent::StreamEnded { outcome, .. } if matches!(*outcome, "cut" | "stopped") => {
                Level::Warn
            }
            RequestEvent::Concluded { status, .. } if *status >= 400 => Level::Warn,
            _ => Level::Info,
        }
    }
}
