//! Counts the requests of a run in a table with one row for each kind of request.

use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::kinds::Kind;
use crate::callers::{Answer, micros};

/// The largest value that a histogram records, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// The significant digits of a histogram.
const DIGITS: u8 = 3;

/// `Row` counts the requests of one kind.
#[derive(Clone, Debug)]
pub struct Row {
    /// The kind.
    pub kind: Kind,
    /// Requests that were sent.
    pub sent: u64,
    /// Requests answered completely and in time.
    pub answered: u64,
    /// Requests answered completely after the deadline.
    pub late: u64,
    /// Requests that were refused as not run, or for which no connection could be established.
    pub refused_not_run: u64,
    /// Requests that failed and were not reported as not run.
    pub may_have_run: u64,
    /// Requests that ran more than once although they must not be repeated.
    pub doubled: u64,
    /// Requests without an answer or a reported failure, or answered without having run.
    pub lost: u64,
    /// Requests whose answer was incomplete or belonged to another request.
    pub crossed: u64,
    /// Requests that were reported as not run although they ran.
    pub false_not_run: u64,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

/// `Percentiles` holds three percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// `RowReport` is a row as it is printed.
#[derive(Clone, Debug, Serialize)]
pub struct RowReport {
    kind: Kind,
    sent: u64,
    answered: u64,
    late: u64,
    refused_not_run: u64,
    may_have_run: u64,
    doubled: u64,
    lost: u64,
    crossed: u64,
    false_not_run: u64,
    first_token_ms: Percentiles,
    between_tokens_ms: Percentiles,
}

/// Creates an empty histogram of microseconds.
///
/// # Panics
///
/// Never, since the library accepts the constant bounds.
pub fn micros_histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_MICROS, DIGITS) {
        Ok(histogram) => histogram,
        Err(err) => panic!("the library rejected the constant bounds: {err}"),
    }
}

impl Row {
    /// Creates an empty row.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            sent: 0,
            answered: 0,
            late: 0,
            refused_not_run: 0,
            may_have_run: 0,
            doubled: 0,
            lost: 0,
            crossed: 0,
            false_not_run: 0,
            first: micros_histogram(),
            between: micros_histogram(),
        }
    }

    /// Counts a complete answer.
    pub fn record_answer(&mut self, answer: &Answer, in_time: bool) {
        if in_time {
            self.answered += 1;
        } else {
            self.late += 1;
        }
        self.first.saturating_record(micros(answer.first));
        for gap in &answer.gaps {
            self.between.saturating_record(micros(*gap));
        }
    }

    /// Returns the number of violated guarantees, summed over all requests.
    pub fn violations(&self) -> u64 {
        self.doubled + self.lost + self.crossed + self.false_not_run
    }

    /// Returns the row as it is printed.
    pub fn report(&self) -> RowReport {
        RowReport {
            kind: self.kind,
            sent: self.sent,
            answered: self.answered,
            late: self.late,
            refused_not_run: self.refused_not_run,
            may_have_run: self.may_have_run,
            doubled: self.doubled,
            lost: self.lost,
            crossed: self.crossed,
            false_not_run: self.false_not_run,
            first_token_ms: percentiles(&self.first),
            between_tokens_ms: percentiles(&self.between),
        }
    }
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles { p50: at(0.50), p95: at(0.95), p99: at(0.99) }
}

/// Formats the rows as a readable table.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<14} {:>5} {:>8} {:>5} {:>7} {:>8} {:>7} {:>5} {:>7} {:>8}  {:>22}  {:>22}\n",
        "kind",
        "sent",
        "answered",
        "late",
        "not run",
        "may have",
        "doubled",
        "lost",
        "crossed",
        "false nr",
        "first token p50/95/99",
        "between p50/95/99 (ms)",
    );
    for row in rows {
        let report = row.report();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<14} {:>5} {:>8} {:>5} {:>7} {:>8} {:>7} {:>5} {:>7} {:>8}  {:>22}  {:>22}",
            row.kind.as_str(),
            row.sent,
            row.answered,
            row.late,
            row.refused_not_run,
            row.may_have_run,
            row.doubled,
            row.lost,
            row.crossed,
            row.false_not_run,
            format_percentiles(report.first_token_ms),
            format_percentiles(report.between_tokens_ms),
        );
    }
    text
}

fn format_percentiles(percentiles: Percentiles) -> String {
    let Percentiles { p50, p95, p99 } = percentiles;
    format!("{p50:.0}/{p95:.0}/{p99:.0}")
}
