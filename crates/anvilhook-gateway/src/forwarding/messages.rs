//! The headers by which instances pass calls to each other.

use anvilhook_core::paths::Contact;
use anvilhook_core::stream_origins::Software;
use anvilhook_core::units::Millis;
use anvilhook_http::clients::Connection;
use http::header::{HeaderMap, HeaderName, HeaderValue};

/// The hash of the upstream's id and start.
const UPSTREAM: HeaderName = HeaderName::from_static("peer-upstream");

/// What the forwarder is to do: `call` or `check`.
const PURPOSE: HeaderName = HeaderName::from_static("peer-purpose");

/// The timeout for the head of the upstream's answer, in milliseconds.
const TIMEOUT_MS: HeaderName = HeaderName::from_static("peer-timeout-ms");

/// Which connection to the upstream may be used: `pooled` or `new`.
const CONNECTION: HeaderName = HeaderName::from_static("peer-connection");

/// The outcome of a forwarded call, in the forwarder's answer.
const OUTCOME: HeaderName = HeaderName::from_static("peer-outcome");

/// The software that the upstream must have, if the call is restricted to one.
const SOFTWARE: HeaderName = HeaderName::from_static("peer-software");

/// The headers of a forwarded call, which upstreams do not receive.
pub(crate) const CALL_HEADERS: [HeaderName; 5] =
    [UPSTREAM, PURPOSE, TIMEOUT_MS, CONNECTION, SOFTWARE];

/// `Purpose` is what a forwarder is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// Send the call to the upstream and return its answer.
    Call,
    /// Open a connection to the upstream and report whether that succeeds.
    Check,
}

impl Purpose {
    fn as_str(self) -> &'static str {
        match self {
            Purpose::Call => "call",
            Purpose::Check => "check",
        }
    }
}

/// `ForwardedCall` is how a forwarder is to call an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ForwardedCall {
    /// The hash of the upstream's id and start.
    pub upstream: u32,
    pub purpose: Purpose,
    /// The timeout for the head of the upstream's answer.
    pub timeout: Millis,
    pub connection: Connection,
    /// The software that the upstream must have, if the call is restricted to one.
    pub software: Option<Software>,
}

impl ForwardedCall {
    /// Adds the call's headers to those of a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        headers.insert(UPSTREAM, HeaderValue::from(self.upstream));
        headers.insert(PURPOSE, HeaderValue::from_static(self.purpose.as_str()));
        headers.insert(TIMEOUT_MS, HeaderValue::from(self.timeout.0));
        headers.insert(CONNECTION, HeaderValue::from_static(self.connection.as_str()));
        if let Some(Software(software)) = self.software {
            headers.insert(SOFTWARE, HeaderValue::from(software));
        }
    }

    /// Returns the call that a request's headers describe, `None` if they are missing or invalid.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &HeaderName| headers.get(name)?.to_str().ok();
        Some(Self {
            upstream: text(&UPSTREAM)?.parse().ok()?,
            purpose: match text(&PURPOSE)? {
                "call" => Purpose::Call,
                "check" => Purpose::Check,
                _ => return None,
            },
            timeout: Millis(text(&TIMEOUT_MS)?.parse().ok()?),
            connection: match text(&CONNECTION)? {
                "pooled" => Connection::Pooled,
                "new" => Connection::New,
                _ => return None,
            },
            software: match headers.get(SOFTWARE) {
                Some(value) => Some(Software(value.to_str().ok()?.parse().ok()?)),
                None => None,
            },
        })
    }
}

/// `ForwardOutcome` is how a forwarded call ended, in the forwarder's words.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ForwardOutcome {
    /// The upstream has answered, or has accepted a connection if only that was asked. The answer is the
    /// upstream's.
    Reached,
    /// The other instance does not answer, or does not forward calls. Nothing was sent to the upstream.
    NoForwarder,
    /// The forwarder did not send the call: it stops, or serves too many calls.
    NotTaken,
    /// The forwarder does not list the upstream, or knows that it accepts no work.
    NotOpen,
    /// The forwarder does not reach this upstream over its own path either. Others may.
    NoPath,
    /// No connection to the upstream could be opened. `is_sound` is whether the forwarder reaches upstreams in
    /// general, so that the failure counts as evidence about this one.
    NotReached { contact: Contact, is_sound: bool },
    /// The connection broke after the call was sent.
    Broken,
    /// The upstream sent nothing in time.
    TimedOut,
}

impl ForwardOutcome {
    const ALL: [Self; 10] = [
        Self::Reached,
        Self::NotTaken,
        Self::NotOpen,
        Self::NoPath,
        Self::NotReached { contact: Contact::Refused, is_sound: true },
        Self::NotReached { contact: Contact::Refused, is_sound: false },
        Self::NotReached { contact: Contact::NoResponse, is_sound: true },
        Self::NotReached { contact: Contact::NoResponse, is_sound: false },
        Self::Broken,
        Self::TimedOut,
    ];

    /// Returns the text used in the header, in logs and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reached => "reached",
            Self::NoForwarder => "no_forwarder",
            Self::NotTaken => "not_taken",
            Self::NotOpen => "not_open",
            Self::NoPath => "no_path",
            Self::NotReached { contact: Contact::Refused, is_sound: true } => "refused",
            Self::NotReached { contact: Contact::Refused, is_sound: false } => "refused_unsound",
            Self::NotReached { is_sound: true, .. } => "no_response",
            Self::NotReached { is_sound: false, .. } => "no_response_unsound",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }

    /// Adds the outcome to the headers of an answer.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, HeaderValue::from_static(self.as_str()));
    }
}

/// Removes the outcome from the headers of a forwarder's answer and returns it. Returns `None` if there is none:
/// the answer was not made by a forwarder.
pub(crate) fn outcome_of(headers: &mut HeaderMap) -> Option<ForwardOutcome> {
    let text = headers.remove(OUTCOME)?;
    ForwardOutcome::ALL.into_iter().find(|one| one.as_str().as_bytes() == text.as_bytes())
}
