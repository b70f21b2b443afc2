//! The labels of metrics. All their values come from fixed sets, from the configuration or from the upstream table.

use prometheus_client::encoding::EncodeLabelSet;

/// `RequestLabels` are the labels of concluded requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// The service, empty if no route was found.
    pub service: String,
    /// Whether the requests may be repeated.
    pub kind: &'static str,
    /// The status sent to the caller.
    pub status: u16,
    /// The reason.
    pub reason: &'static str,
}

/// `AttemptLabels` are the labels of failed attempts.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AttemptLabels {
    /// The stage of the request that the attempt was for.
    pub stage: &'static str,
    /// The verdict whether the request has run.
    pub verdict: &'static str,
    /// The cause of the failure.
    pub cause: &'static str,
    /// The step of the call at which it failed: `connect`, `first-byte` or `body`; empty if the upstream
    /// answered or was not called.
    pub step: &'static str,
}

/// `KindLabel` is a kind of requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabel {
    /// Whether the requests may be repeated.
    pub kind: &'static str,
}

/// `NameLabel` names a service, an upstream, a source of cached state or an outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct NameLabel {
    /// The name.
    pub name: String,
}

/// `TableLabels` are the labels of calls to the platform's tables.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct TableLabels {
    /// The table. All values come from the gateway.
    pub table: String,
    /// `scan`, `changes` or `write`.
    pub call: &'static str,
    /// `answered`, `refused`, `history_gone` or `no_answer`.
    pub outcome: &'static str,
}

/// `RejectionLabels` are the labels of requests that were rejected for lack of capacity.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RejectionLabels {
    /// The service.
    pub service: String,
    /// `predicted`, `waited`, `no_time` or `retry_budget`.
    pub reason: &'static str,
}

/// `StageLabels` are the labels of waiting requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StageLabels {
    /// The service.
    pub service: String,
    /// `read` or `generate`.
    pub stage: &'static str,
}

/// `VersionLabels` are the labels of upstreams by software version.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct VersionLabels {
    /// The service.
    pub service: String,
    /// The version, `unknown` if the upstream reports none.
    pub version: String,
}
