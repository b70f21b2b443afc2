//! Events about upstreams, and about requests during which engines terminate.

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::orders::Role;
use log::Level;
use serde::Serialize;

use super::{Event, Evidence};
use crate::prompts::SharedPart;

/// `UpstreamEvent` is a line about what this instance knows of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum UpstreamEvent<'a> {
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
        /// The prompt parts of these requests that other requests may share.
        parts: Vec<PartRuns>,
        /// The requests among them, and the parts of their prompts, that are now suspected.
        suspects: Vec<Fingerprint>,
    },
    /// A request or a prompt part was quarantined. The request, or any request with the part, is no longer sent to
    /// any engine.
    RequestQuarantined {
        /// The request or the part.
        fingerprint: Fingerprint,
        /// The engines that terminated while they ran it, by the hashes of their ids and start times, with
        /// the time since then in milliseconds.
        ends: Vec<(u32, u64)>,
        /// `own` if this instance observed the ends itself, or `told` if another instance reported them.
        source: &'static str,
    },
    /// Enough engines ended under a request or a prompt part, but perhaps for one other reason. It is run by one
    /// request at a time.
    RequestOnTrial {
        /// The request or the part.
        fingerprint: Fingerprint,
        /// The engines that terminated while they ran it, by the hashes of their ids and start times, with
        /// the time since then in milliseconds.
        ends: Vec<(u32, u64)>,
    },
    /// A request with a prompt part that is on trial is sent, or one that is itself on trial.
    TrialBegun {
        /// The request.
        request: &'a str,
        /// What is on trial: the request or the part.
        fingerprint: Fingerprint,
    },
    /// The first request with a held prompt part has arrived at this instance, which names the part.
    PartQuarantined {
        /// The request.
        request: &'a str,
        /// The service of the part.
        service: &'a str,
        /// The model, as the caller names it.
        model: &'a str,
        /// The part's id, in hexadecimal.
        part: String,
        /// The fingerprint of service, model and id.
        fingerprint: Fingerprint,
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
}

/// `PartRuns` is a prompt part with the runs that an engine's end has interrupted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PartRuns {
    /// The part's id, in hexadecimal.
    pub part: String,
    /// The fingerprint of its service, its model and its id.
    pub fingerprint: Fingerprint,
    /// The number of runs with the part.
    pub runs: usize,
    /// How many of them were to generate and had sent no event.
    pub starting: usize,
}

impl PartRuns {
    /// Creates an entry without runs.
    pub fn new(part: &SharedPart) -> Self {
        let SharedPart { id, fingerprint, .. } = part;
        Self { part: format!("{id:x}"), fingerprint: *fingerprint, runs: 0, starting: 0 }
    }
}

impl Event for UpstreamEvent<'_> {
    fn level(&self) -> Level {
        match self {
            UpstreamEvent::PauseIgnored { .. }
            | UpstreamEvent::RequestLimitIgnored { .. }
            | UpstreamEvent::EngineEnded { .. }
            | UpstreamEvent::PartQuarantined { .. }
            | UpstreamEvent::RequestOnTrial { .. }
            | UpstreamEvent::RequestQuarantined { .. } => Level::Warn,
            _ => Level::Info,
        }
    }
}
