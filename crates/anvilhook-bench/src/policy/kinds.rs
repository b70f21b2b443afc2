//! The kinds of requests, with the priority, time limit and size of each.

use std::ops::Range;

use anvilhook_core::units::{Millis, Tokens};

/// `Kind` is a kind of request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// An alert or a ledger record, to a plain service.
    Record,
    /// A long document that is checked against a shared text, with a short verdict as the answer.
    Verdict,
    /// A short question whose answer the caller reads while it is streamed.
    Question,
}

impl Kind {
    /// All kinds, in the order of their priorities.
    pub const ALL: [Kind; 3] = [Kind::Record, Kind::Verdict, Kind::Question];

    /// Returns the name used in rows.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Record => "record",
            Kind::Verdict => "verdict",
            Kind::Question => "question",
        }
    }

    /// Returns the priority. Smaller values are served first.
    pub fn priority(self) -> u8 {
        match self {
            Kind::Record => 0,
            Kind::Verdict => 1,
            Kind::Question => 2,
        }
    }

    /// Returns the time limit for the complete answer. The limit of a question follows from the
    /// target of 1.2 s to the first token and 40 ms between tokens.
    pub fn time_limit(self, output: Tokens) -> Millis {
        match self {
            Kind::Record => Millis(1_000),
            Kind::Verdict => Millis(15_000),
            Kind::Question => Millis(1_200 + 40 * output.0),
        }
    }
}

/// `KindSpec` gives the sizes of a kind's requests.
#[derive(Clone, Debug)]
pub struct KindSpec {
    /// Tokens at the start of the prompt that all requests on one topic share.
    pub shared: u64,
    /// Tokens of the rest of the prompt.
    pub own: Range<u64>,
    /// Tokens of output.
    pub output: Range<u64>,
    /// The number of topics.
    pub topics: u64,
}

impl KindSpec {
    /// Returns the mean number of prompt tokens that follow the shared start.
    pub fn mean_own(&self) -> f64 {
        (self.own.start + self.own.end - 1) as f64 / 2.0
    }

    /// Returns the mean number of output tokens.
    pub fn mean_output(&self) -> f64 {
        (self.output.start + self.output.end - 1) as f64 / 2.0
    }
}
