//! The kinds of requests of the mixed load.

use std::fmt;

use anvilhook_core::units::Millis;
use serde::Serialize;

use crate::sites::{ALERT_SERVICE, LEDGER_SERVICE};

/// `Kind` is a kind of request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A complete manual with a log, for which the answer is a short verdict.
    LongDocument,
    /// A short question.
    QuickQuestion,
    /// An alert without an idempotency key.
    Alert,
    /// A record of the sales ledger, with an idempotency key.
    LedgerRecord,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] =
        [Kind::LongDocument, Kind::QuickQuestion, Kind::Alert, Kind::LedgerRecord];

    /// Returns the kind's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::LongDocument => "long-document",
            Kind::QuickQuestion => "quick-question",
            Kind::Alert => "alert",
            Kind::LedgerRecord => "ledger-record",
        }
    }

    /// Returns the plain service that answers, or `None` if model engines do.
    pub fn plain_service(self) -> Option<&'static str> {
        match self {
            Kind::LongDocument | Kind::QuickQuestion => None,
            Kind::Alert => Some(ALERT_SERVICE),
            Kind::LedgerRecord => Some(LEDGER_SERVICE),
        }
    }

    /// Returns the time limit of each request.
    pub fn deadline(self) -> Millis {
        match self {
            Kind::LongDocument => Millis::from_secs(15),
            Kind::QuickQuestion => Millis::from_secs(8),
            Kind::Alert | Kind::LedgerRecord => Millis::from_secs(3),
        }
    }

    /// Returns the mean number of requests that arrive per second.
    pub fn rate_per_s(self) -> f64 {
        match self {
            Kind::LongDocument => 5.0,
            Kind::QuickQuestion => 25.0,
            Kind::Alert => 8.0,
            Kind::LedgerRecord => 8.0,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
