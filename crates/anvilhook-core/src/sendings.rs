//! Decides whether a request may be sent to an upstream once more.
//!
//! A request that may run at most once is sent again only if it is proved for each earlier sending that it has not
//! run and never will. The load that this answers: requests whose upstreams refuse them, break, or can't be reached,
//! while routes change between two attempts.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// The statuses with which an upstream refuses a request.
const REFUSALS: [u16; 5] = [400, 408, 421, 429, 503];

/// The status with which an upstream answers a request that was meant for another one.
const MISDIRECTED: u16 = 421;

/// `NotRunProof` is what proves that a sending of a request has not run and never will.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunProof {
    /// No connection has taken any of the request.
    Unsent,
    /// The upstream has answered this request that it refuses it.
    Refused,
    /// The instance that was to forward the request has answered that it has not sent it.
    NotForwarded,
}

/// `Echo` is whose request id an answer repeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Echo {
    /// That of the request to which it is the answer.
    Own,
    /// That of another request.
    Other,
    /// None.
    Missing,
}

impl Echo {
    /// Returns whose id an answer to the request `id` repeats.
    ///
    /// ```
    /// use anvilhook_core::sendings::Echo;
    ///
    /// assert_eq!(Echo::of(Some(b"r1"), "r1"), Echo::Own);
    /// assert_eq!(Echo::of(None, "r1"), Echo::Missing);
    /// ```
    pub fn of(echoed: Option<&[u8]>, id: &str) -> Self {
        match echoed {
            Some(echoed) if echoed == id.as_bytes() => Self::Own,
            Some(_) => Self::Other,
            None => Self::Missing,
        }
    }

    /// Returns the text used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Missing => "none",
        }
    }
}

/// `AnswerHead` is what the head of an answer shows of whether its request has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// Whose request id it repeats.
    pub echo: Echo,
    /// Whether it states that the request has not run.
    pub says_not_run: bool,
    /// Whether its connection has carried no other request.
    pub is_on_new_connection: bool,
}

/// `Refusal` is whether an answer refuses its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It does not.
    None,
    /// It does, so the request has not run.
    Proved(NotRunProof),
    /// It looks like a refusal, but may be another request's, or contradicts itself.
    Unproved,
}

impl AnswerHead {
    /// Returns whether the answer refuses its request.
    ///
    /// On a connection that has carried another request, a late second answer to that one may arrive in place of the
    /// expected answer. Only the echoed id distinguishes them.
    ///
    /// ```
    /// use anvilhook_core::sendings::{AnswerHead, Echo, NotRunProof, Refusal};
    ///
    /// let head = AnswerHead {
    ///     status: 503,
    ///     echo: Echo::Own,
    ///     says_not_run: true,
    ///     is_on_new_connection: false,
    /// };
    /// assert_eq!(head.refusal(), Refusal::Proved(NotRunProof::Refused));
    /// assert_eq!(AnswerHead { status: 200, ..head }.refusal(), Refusal::Unproved);
    /// ```
    pub fn refusal(&self) -> Refusal {
        if !self.says_not_run && self.status != MISDIRECTED {
            return Refusal::None;
        }
        let is_own = match self.echo {
            Echo::Own => true,
            Echo::Other => false,
            Echo::Missing => self.is_on_new_connection,
        };
        match is_own && REFUSALS.contains(&self.status) {
            true => Refusal::Proved(NotRunProof::Refused),
            false => Refusal::Unproved,
        }
    }
}

/// `SentBefore` is the reason not to send a request: it may run at most once, and an earlier sending may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentBefore;

impl fmt::Display for SentBefore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the request may run at most once, and an earlier sending may run")
    }
}

impl std::error::Error for SentBefore {}

/// `Sending` is one sending of a request, which counts as one that may run until the opposite is proved.
#[derive(Debug)]
#[must_use]
pub struct Sending(());

/// `Sendings` records the sendings of one request, over all paths.
///
/// ```
/// use anvilhook_core::sendings::{NotRunProof, SentBefore, Sendings};
///
/// let sendings = Sendings::default();
/// sendings.restrict();
/// let refused = sendings.begin().expect("the first sending");
/// sendings.prove(refused, NotRunProof::Refused);
///
/// let _hangs = sendings.begin().expect("the request has not run");
/// assert_eq!(sendings.begin().unwrap_err(), SentBefore);
/// ```
#[derive(Debug, Default)]
pub struct Sendings {
    runs_once: AtomicBool,
    /// The number of sendings that may run or have run.
    unproved: AtomicU32,
}

impl Sendings {
    /// Restricts the request to run at most once, from now on and for good.
    ///
    /// A later configuration may allow repeats, but the caller has sent the request under this one.
    pub fn restrict(&self) {
        self.runs_once.store(true, Ordering::Release);
    }

    /// Returns whether the request may run at most once.
    pub fn runs_once(&self) -> bool {
        self.runs_once.load(Ordering::Acquire)
    }

    /// Returns whether any sending may run or has run.
    pub fn may_have_run(&self) -> bool {
        self.unproved.load(Ordering::Acquire) > 0
    }

    /// Returns whether the request may be sent.
    pub fn may_begin(&self) -> bool {
        !self.runs_once() || !self.may_have_run()
    }

    /// Begins a sending.
    ///
    /// # Errors
    ///
    /// If the request may run at most once, and an earlier sending may run.
    pub fn begin(&self) -> Result<Sending, SentBefore> {
        let next = |count| (count == 0 || !self.runs_once()).then_some(count + 1);
        let begun = self.unproved.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        begun.map(|_| Sending(())).map_err(|_| SentBefore)
    }

    /// Records that a sending has not run and never will.
    pub fn prove(&self, _sending: Sending, _proof: NotRunProof) {
        self.unproved.fetch_sub(1, Ordering::AcqRel);
    }
}
