//! Failed attempts: whether the request may have run, and what the failure indicates about the upstream.

use anvilhook_core::Verdict;
use anvilhook_core::sendings::Echo;
use anvilhook_http::{CallError, Stage};

use super::calls::{CallFailure, UNREACHABLE};

/// The cause of a failed attempt that the configuration which is active now allows on other terms only, or not at all.
pub(super) const ACCESS_CHANGED: &str = "access_changed";

/// The cause of a failed attempt that was no longer to be sent when its connection had been opened.
const CANCELLED: &str = "cancelled";

/// The cause of a failed attempt that was not sent because the request may run at most once and an earlier attempt may
/// run.
pub(super) const SENT_BEFORE: &str = "sent_before";

/// `Failed` describes an attempt that produced no answer to forward.
#[derive(Clone, Debug)]
pub(super) struct Failed {
    pub verdict: Verdict,
    pub cause: &'static str,
    /// Whether the upstream itself refused the request, which shows that it is alive.
    pub is_refusal: bool,
    /// Whether the request was sent, or may have been.
    pub was_sent: bool,
    /// What the failure indicates about the upstream itself.
    pub signal: FailureSignal,
    /// The step of the call at which it failed, for logs; empty if the upstream answered or was not called.
    pub step: &'static str,
    /// The answer, for logs, if there was one.
    pub answer: Option<FailedAnswer>,
}

/// `FailedAnswer` is the head of an answer that is not forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct FailedAnswer {
    pub status: u16,
    pub echo: Echo,
}

/// `FailureSignal` is what a failed attempt indicates about its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FailureSignal {
    /// The connection broke during the attempt.
    Broken,
    /// The upstream sent nothing in time.
    TimedOut,
    /// None, as this instance's own path is broken.
    PathBroken,
    /// No sign of a fault: the upstream answered or was not reached.
    None,
}

impl Failed {
    pub fn refusal(cause: &'static str) -> Self {
        Self { is_refusal: true, was_sent: true, ..Self::not_sent(cause) }
    }

    /// Creates a failure that occurred before anything was sent.
    pub fn not_sent(cause: &'static str) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause,
            is_refusal: false,
            was_sent: false,
            signal: FailureSignal::None,
            step: "",
            answer: None,
        }
    }

    pub fn may_have_run(cause: &'static str) -> Self {
        Self { verdict: Verdict::MayHaveRun, was_sent: true, ..Self::not_sent(cause) }
    }

    /// Returns whether the attempt was given up before anything was sent, for no reason that concerns the upstream.
    pub fn is_cancelled(&self) -> bool {
        [ACCESS_CHANGED, CANCELLED, SENT_BEFORE].contains(&self.cause)
    }

    /// Returns whether the same upstream may be tried again at once.
    pub fn may_retry_upstream(&self) -> bool {
        self.cause == ACCESS_CHANGED
    }

    /// Creates a failure of an attempt that was not sent because an earlier one may run.
    pub fn sent_before() -> Self {
        Self { verdict: Verdict::MayHaveRun, ..Self::not_sent(SENT_BEFORE) }
    }

    /// Returns whether nothing was sent, and the request may be sent to another upstream.
    pub fn is_unsent(&self) -> bool {
        !self.was_sent && self.verdict == Verdict::NotRun
    }

    /// Creates a failure by a broken connection.
    pub fn broken(cause: &'static str) -> Self {
        Self { signal: FailureSignal::Broken, ..Self::may_have_run(cause) }
    }

    /// Creates a failure of an upstream that sent nothing in time.
    pub fn timed_out(cause: &'static str) -> Self {
        Self { signal: FailureSignal::TimedOut, ..Self::may_have_run(cause) }
    }

    /// Creates a failure of an attempt whose connection transfers nothing any more, as this instance's own path is
    /// broken.
    pub fn path_broken() -> Self {
        let step = Stage::FirstByte.as_str();
        Self { signal: FailureSignal::PathBroken, step, ..Self::may_have_run("path_broken") }
    }
}

impl From<CallFailure> for Failed {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::Call(err) => err.into(),
            CallFailure::PathBroken { .. } => Self::path_broken(),
            CallFailure::Cancelled => Self::not_sent(CANCELLED),
            CallFailure::SentBefore => Self::sent_before(),
            CallFailure::Unreachable => {
                Self { signal: FailureSignal::PathBroken, ..Self::not_sent(UNREACHABLE) }
            }
        }
    }
}

impl From<CallError> for Failed {
    fn from(err: CallError) -> Self {
        let cause = match (err.timed_out, err.verdict()) {
            (true, Verdict::NotRun) => "connect_timeout",
            (true, _) => "no_answer_in_time",
            (false, Verdict::NotRun) => "no_connection",
            (false, _) => "connection_broken",
        };
        let signal = match (err.verdict(), err.timed_out) {
            (Verdict::NotRun, _) => FailureSignal::None,
            (_, true) => FailureSignal::TimedOut,
            (_, false) => FailureSignal::Broken,
        };
        let (verdict, step) = (err.verdict(), err.stage.as_str());
        let was_sent = verdict != Verdict::NotRun;
        Self { verdict, cause, is_refusal: false, was_sent, signal, step, answer: None }
    }
}
