//! Estimates an engine's current load from its last report and the work that was sent since.

use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};

use super::upstreams::{SentTotals, Work};
use crate::orders::Role;
use crate::reports::LoadReport;
use crate::units::{Millis, Tokens};

/// The time span of one bucket of the record of sent work.
const BUCKET_SPAN: Millis = Millis(256);

/// The number of buckets. The record covers about eight seconds, more than the lag of reports.
const BUCKETS: usize = 32;

/// The time span of the whole record, in milliseconds.
const RECORD_MS: f64 = (BUCKETS as u64 * BUCKET_SPAN.0) as f64;

/// The number of prompts that an engine reads at once, in addition to those reported as queued.
const PROMPTS_READ_AT_ONCE: f64 = 2.0;

/// The minimum share of an engine's time that remains for generating, however much it reads.
pub(super) const MIN_FREE_SHARE: f64 = 0.1;

/// The speeds that are assumed until the first report arrives.
const ASSUMED_SPEEDS: Speeds = Speeds {
    prefill_tokens_per_ms: 8.0,
    decode_step_ms: 25.0,
    decode_step_per_request_ms: 0.2,
    max_batch: 32.0,
};

/// `Speeds` are an engine's declared speeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speeds {
    /// Prompt tokens read (prefilled) in a millisecond when the engine does nothing else.
    pub prefill_tokens_per_ms: f64,
    /// Time between two tokens of one request that runs alone.
    pub decode_step_ms: f64,
    /// The time that each further request of the batch adds to it.
    pub decode_step_per_request_ms: f64,
    /// The maximum number of requests that generate at once.
    pub max_batch: f64,
}

/// `Load` is the estimated current load of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The engine's speeds.
    pub speeds: Speeds,
    /// Prompt tokens still to be read.
    pub prefill: f64,
    /// Requests that generate or wait to generate.
    pub requests: f64,
    /// Output tokens still to be generated, on average for each of these requests.
    pub output_each: f64,
    /// Output tokens of a whole request, on average of recently sent requests.
    pub whole_output_each: f64,
    /// The share of the engine's time, from 0 to 1, that was recently spent on reading prompts.
    pub prefill_share: f64,
}

/// `Bucket` is one bucket of the record of sent work, which is a ring buffer. Its sums belong to the
/// time interval whose number it stores. Two sums share one atomic to reduce the reads of a choice.
#[derive(Debug, Default)]
struct Bucket {
    interval: AtomicU64,
    prompt: AtomicU64,
    // Requests in the upper half, output tokens in the lower half.
    requests: AtomicU64,
}

/// `Sent` sums up work that was sent.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    prompt: f64,
    output: f64,
    requests: f64,
}

impl Sent {
    fn add(&mut self, sums: &Sent) {
        self.prompt += sums.prompt;
        self.output += sums.output;
        self.requests += sums.requests;
    }
}

impl Bucket {
    /// Empties the bucket if it holds an earlier interval.
    ///
    /// If two senders record at the start of an interval at the same time, one count may be lost.
    /// The estimate is then one request too low until the next report; nothing else depends on it.
    fn advance_to(&self, interval: u64) {
        if self.interval.swap(interval, Ordering::AcqRel) != interval {
            self.prompt.store(0, Ordering::Release);
            self.requests.store(0, Ordering::Release);
        }
    }

    fn add(&self, sums: &SentTotals) {
        // Bounded, so that a single output or count cannot overflow its half.
        let output = sums.output.0.min(u64::from(u32::MAX >> 8));
        let requests = sums.requests.min(u64::from(u32::MAX >> 8));
        self.prompt.fetch_add(sums.prompt.0, Ordering::AcqRel);
        self.requests.fetch_add(requests << 32 | output, Ordering::AcqRel);
    }

    fn sums(&self) -> Sent {
        let requests = self.requests.load(Ordering::Acquire);
        Sent {
            prompt: self.prompt.load(Ordering::Acquire) as f64,
            output: f64::from(requests as u32),
            requests: (requests >> 32) as f64,
        }
    }
}

/// `LoadView` holds the last report of an engine and the work that this instance and its peers have
/// sent since, all in atomics. A reader may see fields of two reports mixed. The error of the
/// estimate is then at most the difference between the two, and the next choice sees the whole
/// report.
#[derive(Debug)]
pub(super) struct LoadView {
    role: AtomicU8,
    boot: AtomicU64,
    seq: AtomicU64,
    reported_at: AtomicU64,
    queued_prefill: AtomicU64,
    queued: AtomicU32,
    running: AtomicU32,
    running_decode: AtomicU64,
    speeds: [AtomicU64; 4],
    buckets: Box<[Bucket; BUCKETS]>,
}

impl LoadView {
    /// Creates the view of an engine of which nothing is known.
    pub(super) fn new() -> Self {
        let speeds = speeds_to_bits(&ASSUMED_SPEEDS).map(AtomicU64::new);
        Self {
            role: AtomicU8::new(role_to_byte(Role::Mixed)),
            boot: AtomicU64::new(0),
            seq: AtomicU64::new(0),
            reported_at: AtomicU64::new(0),
            queued_prefill: AtomicU64::new(0),
            queued: AtomicU32::new(0),
            running: AtomicU32::new(0),
            running_decode: AtomicU64::new(0),
            speeds,
            buckets: Box::new(std::array::from_fn(|_| Bucket::default())),
        }
    }

    /// Applies a report unless it is older than the last one. Returns whether it was applied.
    ///
    /// Report numbers start again whenever the engine restarts, so reports of different starts are
    /// ordered by their times. If they were ordered by number alone, a report of the earlier start
    /// that a peer forwards late would count as the newest until the next one, and would clear the
    /// mark of an engine that is leaving.
    pub(super) fn apply(&self, report: &LoadReport, now: Millis) -> bool {
        let reported_at = now - report.age;
        let is_older = if self.boot.load(Ordering::Acquire) == report.boot {
            report.seq < self.seq.load(Ordering::Acquire)
        } else {
            self.has_report() && reported_at < Millis(self.reported_at.load(Ordering::Acquire))
        };
        if is_older {
            return false;
        }
        self.boot.store(report.boot, Ordering::Release);
        let speeds = Speeds {
            prefill_tokens_per_ms: f64::from(report.prefill_tokens_per_s.max(1)) / 1_000.0,
            decode_step_ms: report.decode_step_ms,
            decode_step_per_request_ms: report.decode_step_per_request_ms,
            max_batch: f64::from(report.max_batch.max(1)),
        };
        for (cell, bits) in self.speeds.iter().zip(speeds_to_bits(&speeds)) {
            cell.store(bits, Ordering::Release);
        }
        self.seq.store(report.seq, Ordering::Release);
        self.role.store(role_to_byte(report.role), Ordering::Release);
        self.queued_prefill.store(report.queued_prefill.0, Ordering::Release);
        self.queued.store(report.queued_requests, Ordering::Release);
        self.running.store(report.running_requests, Ordering::Release);
        self.running_decode.store(report.running_decode.0, Ordering::Release);
        self.reported_at.store(reported_at.0, Ordering::Release);
        true
    }

    /// Returns whether any report has been applied.
    pub(super) fn has_report(&self) -> bool {
        self.boot.load(Ordering::Acquire) != 0
    }

    /// Returns the role of the last report, or the role that was set since.
    pub(super) fn role(&self) -> Role {
        role_from_byte(self.role.load(Ordering::Acquire))
    }

    /// Sets the role that the engine is known to have now.
    pub(super) fn set_role(&self, role: Role) {
        self.role.store(role_to_byte(role), Ordering::Release);
    }

    /// Records work sent at `at`.
    pub(super) fn record(&self, work: Work, at: Millis) {
        let sums = SentTotals { requests: 1, prompt: work.prompt, output: work.output };
        self.record_sums(&sums, at);
    }

    /// Records the sums of work sent at `at`.
    pub(super) fn record_sums(&self, sums: &SentTotals, at: Millis) {
        let interval = at.0 / BUCKET_SPAN.0 + 1;
        let bucket = &self.buckets[interval as usize % BUCKETS];
        // A digest about an interval that has been overwritten is too old to matter.
        if bucket.interval.load(Ordering::Acquire) > interval {
            return;
        }
        bucket.advance_to(interval);
        bucket.add(sums);
    }

    /// Estimates the current load.
    pub(super) fn estimate(&self, now: Millis) -> Load {
        let speeds = self.speeds();
        let reported_at = Millis(self.reported_at.load(Ordering::Acquire));
        let running = f64::from(self.running.load(Ordering::Acquire));
        let running_decode = self.running_decode.load(Ordering::Acquire) as f64;
        let queued = f64::from(self.queued.load(Ordering::Acquire));

        // Work that was sent before the report was made is included in the report.
        let last_interval = now.0 / BUCKET_SPAN.0 + 1;
        let reported_interval = reported_at.0 / BUCKET_SPAN.0 + 1;
        let first_interval = (last_interval + 1).saturating_sub(BUCKETS as u64);
        let mut reported = self.queued_prefill.load(Ordering::Acquire) as f64;
        let step_ms = speeds.step_ms(running + queued);
        let drained_per_bucket = BUCKET_SPAN.0 as f64 * speeds.prefill_tokens_per_ms;
        let mut since_report = 0.0;
        let mut read = Sent::default();
        let mut later = Sent::default();
        for interval in first_interval..=last_interval {
            let bucket = &self.buckets[interval as usize % BUCKETS];
            let is_later = interval >= reported_interval;
            if bucket.interval.load(Ordering::Acquire) == interval {
                let sums = bucket.sums();
                read.add(&sums);
                if is_later {
                    later.add(&sums);
                    since_report += sums.prompt;
                }
            }
            if is_later && interval != last_interval {
                // The engine reads the reported prompts first.
                let drained = drained_per_bucket.min(reported);
                reported -= drained;
                since_report = (since_report + drained - drained_per_bucket).max(0.0);
            }
        }

        // An engine counts the whole prompts of waiting requests, since it looks up their cached
        // prefixes only when they start. The average of recently sent requests shows how much of
        // each prompt really has to be read.
        if read.requests > 0.0 {
            let each = read.prompt / read.requests;
            reported = reported.min((queued + PROMPTS_READ_AT_ONCE) * each);
        }
        let prefill = reported + since_report;
        let prefill_ms = read.prompt.max(prefill) / speeds.prefill_tokens_per_ms;
        let prefill_share = (prefill_ms / RECORD_MS).min(1.0);

        // The engine has gone on working since the report was made. The share of the requests running
        // at that time that has ended by now is assumed to grow linearly, until all have ended after
        // twice the average remaining time.
        let reported_each = if running > 0.0 { running_decode / running } else { 0.0 };
        let gap_ms = step_ms / (1.0 - prefill_share).max(MIN_FREE_SHARE);
        let longest_ms = 2.0 * (reported_each * gap_ms).max(1.0);
        let ended = running * ((now - reported_at).0 as f64 / longest_ms).min(1.0);
        let remaining = running + queued - ended;
        let requests = remaining + later.requests;
        let output = reported_each * remaining + later.output;

        // On average, half of the output of a running request is still to be generated.
        let whole_output_each =
            if read.requests > 0.0 { read.output / read.requests } else { 2.0 * reported_each };
        Load {
            speeds,
            prefill,
            requests,
            output_each: output / requests.max(1.0),
            whole_output_each,
            prefill_share,
        }
    }

    fn speeds(&self) -> Speeds {
        let [prefill, step, per_request, batch] =
            [0, 1, 2, 3].map(|i: usize| f64::from_bits(self.speeds[i].load(Ordering::Acquire)));
        Speeds {
            prefill_tokens_per_ms: prefill,
            decode_step_ms: step,
            decode_step_per_request_ms: per_request,
            max_batch: batch,
        }
    }
}

impl Speeds {
    /// Returns the duration of one decode step with the given number of requests in the batch.
    pub fn step_ms(&self, requests: f64) -> f64 {
        let others = (requests - 1.0).clamp(0.0, self.max_batch - 1.0);
        self.decode_step_ms + others * self.decode_step_per_request_ms
    }

    /// Returns the output tokens generated in a millisecond by a full batch.
    pub fn decode_tokens_per_ms(&self) -> f64 {
        self.max_batch / self.step_ms(self.max_batch)
    }

    /// Returns the minimum engine time of a request, in milliseconds: its uncached prompt is read
    /// alone and its output is generated in a full batch.
    ///
    /// ```
    /// use anvilhook_core::routing::Speeds;
    /// use anvilhook_core::units::Tokens;
    ///
    /// let speeds = Speeds {
    ///     prefill_tokens_per_ms: 8.0,
    ///     decode_step_ms: 25.0,
    ///     decode_step_per_request_ms: 0.0,
    ///     max_batch: 25.0,
    /// };
    /// assert_eq!(speeds.least_ms(Tokens(800), Tokens(50)), 150.0);
    /// ```
    pub fn least_ms(&self, uncached: Tokens, output: Tokens) -> f64 {
        uncached.0 as f64 / self.prefill_tokens_per_ms
            + output.0 as f64 / self.decode_tokens_per_ms()
    }
}

fn speeds_to_bits(speeds: &Speeds) -> [u64; 4] {
    [
        speeds.prefill_tokens_per_ms.to_bits(),
        speeds.decode_step_ms.to_bits(),
        speeds.decode_step_per_request_ms.to_bits(),
        speeds.max_batch.to_bits(),
    ]
}

fn role_to_byte(role: Role) -> u8 {
    match role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    }
}

fn role_from_byte(byte: u8) -> Role {
    match byte {
        0 => Role::Prefill,
        1 => Role::Decode,
        _ => Role::Mixed,
    }
}
