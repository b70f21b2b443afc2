//! The failures of requests, as they are reported to callers.

use std::fmt;

use anvilhook_core::Verdict;
use anvilhook_core::units::Millis;
use anvilhook_engine::Error;
use anvilhook_http::{CallError, Stage};
use http::StatusCode;

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:ident;)*) => {
        /// `Code` is the reason why a request failed. The texts are part of the callers' interface.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes, in the order of their declaration.
            pub const ALL: &[Code] = &[$(Code::$name),*];

            /// Returns the text used in bodies, logs and metrics.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Code::$name => $text,)*
                }
            }

            /// Returns the HTTP status of the answer.
            pub fn status(self) -> StatusCode {
                match self {
                    $(Code::$name => StatusCode::$status,)*
                }
            }
        }
    };
}

codes! {
    /// A header or the body is malformed.
    BadRequest = "bad-request", BAD_REQUEST;
    /// The credential is missing or unknown.
    UnknownCredential = "unknown-credential", UNAUTHORIZED;
    /// No service has the requested name or serves the requested model.
    UnknownService = "unknown-service", NOT_FOUND;
    /// The path does not exist, or the service declares no such call.
    UnknownCall = "unknown-call", NOT_FOUND;
    /// The headers are larger than the instance accepts.
    HeadersTooLarge = "headers-too-large", REQUEST_HEADER_FIELDS_TOO_LARGE;
    /// The body is larger than the service accepts.
    BodyTooLarge = "body-too-large", PAYLOAD_TOO_LARGE;
    /// The instance has reached its limit of open requests.
    TooManyOpen = "too-many-open-requests", SERVICE_UNAVAILABLE;
    /// The account has reached its limit.
    AccountLimit = "account-limit", TOO_MANY_REQUESTS;
    /// The deadline can't be met, so the request was not started.
    DeadlineUnreachable = "deadline-unreachable", SERVICE_UNAVAILABLE;
    /// The instance is stopping.
    Draining = "draining", SERVICE_UNAVAILABLE;
    /// No upstream of the service accepts work.
    NoUpstream = "no-upstream", SERVICE_UNAVAILABLE;
    /// The upstreams that the request was sent to refused it.
    UpstreamRefused = "upstream-refused", SERVICE_UNAVAILABLE;
    /// No connection to an upstream could be made.
    UpstreamUnreachable = "upstream-unreachable", BAD_GATEWAY;
    /// An upstream failed after it had received the request.
    UpstreamFailed = "upstream-failed", BAD_GATEWAY;
    /// An upstream took longer than the service's declared limits.
    UpstreamTimeout = "upstream-timeout", GATEWAY_TIMEOUT;
    /// The deadline passed.
    DeadlineExceeded = "deadline-exceeded", GATEWAY_TIMEOUT;
    /// The answer is larger than the service allows.
    AnswerTooLarge = "answer-too-large", BAD_GATEWAY;
    /// The idempotency key was already used for a different request.
    KeyReused = "key-reused", UNPROCESSABLE_ENTITY;
    /// An earlier request with the idempotency key is still running, or its outcome is unknown.
    KeyInFlight = "key-in-flight", CONFLICT;
    /// The request with the idempotency key ran, but its answer is not stored.
    AnswerNotKept = "answer-not-kept", CONFLICT;
    /// The idempotency key can't be claimed at the moment.
    ClaimsUnavailable = "claims-unavailable", SERVICE_UNAVAILABLE;
}

/// `Failure` is the final outcome of a request that was not answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The reason.
    pub code: Code,
    /// Whether the request may have run, over all of its attempts.
    pub verdict: Verdict,
    /// Human-readable details.
    pub message: String,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// Returns the failure of a request that was not started.
    pub fn not_run(code: Code, message: impl fmt::Display) -> Self {
        Self { code, verdict: Verdict::NotRun, message: message.to_string(), retry_after: None }
    }

    /// Sets how long the caller should wait before it retries.
    pub fn retry_after(mut self, after: Millis) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the failure of a request whose last attempt failed with `err`.
    pub fn of_attempt(err: &Error, verdict: Verdict) -> Self {
        let code = match err {
            Error::Refused { .. } => Code::UpstreamRefused,
            Error::Call(CallError { stage: Stage::Build | Stage::Connect, .. }) => {
                Code::UpstreamUnreachable
            }
            Error::Call(CallError { timed_out: true, .. }) => Code::UpstreamTimeout,
            Error::TooLarge { .. } => Code::AnswerTooLarge,
            Error::Call(_) | Error::InvalidAnswer { .. } => Code::UpstreamFailed,
        };
        Self { code, verdict, message: err.to_string(), retry_after: None }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code.as_str(), self.verdict, self.message)
    }
}

impl std::error::Error for Failure {}
