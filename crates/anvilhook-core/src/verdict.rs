//! The verdict on a failed attempt: whether the request may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Verdict` indicates whether a request may have run at its upstream.
///
/// The variants are ordered from the least to the most that may have happened, so the verdict on a
/// request with several attempts is the greatest of their verdicts.
///
/// ```
/// use anvilhook_core::Verdict;
///
/// assert_eq!(Verdict::NotRun.max(Verdict::MayHaveRun), Verdict::MayHaveRun);
/// assert!(!Verdict::MayHaveRun.allows_retry(false));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request can have reached the upstream's application, or the upstream itself
    /// reported that it refused the request before running it.
    NotRun,
    /// It is not known whether the request ran.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// Returns whether the request may be sent again. A non-idempotent request may only be sent
    /// again if it cannot have run.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Verdict::NotRun => true,
            Verdict::MayHaveRun | Verdict::Ran => idempotent,
        }
    }

    /// Returns the text that is used in headers, bodies and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
