//! What an instance believes of one engine's load: the last report, and the work sent since.

use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};

use super::upstreams::{SentTotals, Work};
use crate::orders::Role;
use crate::reports::LoadReport;
use crate::units::{Millis, Tokens};

/// The span of one slot of the record of sent work.
const SLOT: Millis = Millis(256);

/// The number of slots. The record reaches back for about eight seconds, longer than reports lag.
const SLOTS: usize = 32;

/// The span of the whole record, in milliseconds.
const RECORD_MS: f64 = (SLOTS as u64 * SLOT.0) as f64;

/// The requests whose prompts an engine reads at once, beside those that it reports as queued.
const PROMPTS_READ_AT_ONCE: f64 = 2.0;

/// The least share of an engine's time that is left for generating, however much it reads.
pub(super) const LEAST_FREE_SHARE: f64 = 0.1;

/// Speeds that are assumed until the first report has come.
const ASSUMED: Speeds = Speeds {
    prefill_tokens_per_ms: 8.0,
    decode_step_ms: 25.0,
    decode_step_per_request_ms: 0.2,
    max_batch: 32.0,
};

/// `Speeds` are an engine's declared speeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speeds {
    /// Prompt tokens read in a millisecond when nothing else is done.
    pub prefill_tokens_per_ms: f64,
    /// Time between two tokens of one request that runs alone.
    pub decode_step_ms: f64,
    /// How much each further request of the batch adds to that time.
    pub decode_step_per_request_ms: f64,
    /// The most requests that generate at once.
    pub max_batch: f64,
}

/// `Load` is the load that an engine is believed to have now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The engine's speeds.
    pub speeds: Speeds,
    /// Prompt tokens still to be read.
    pub prefill: f64,
    /// Requests that generate or wait to.
    pub requests: f64,
    /// Output tokens still to come, on average for each of them.
    pub output_each: f64,
    /// Output tokens of a whole request, on average of those sent lately.
    pub whole_output_each: f64,
    /// The share of the engine's time, from 0 to 1, that went into reading prompts lately.
    pub prefill_share: f64,
}

/// One slot of the record of sent work. The sums belong to the slot's present turn. Two of them
/// share one atomic, so that a choice reads little.
#[derive(Debug, Default)]
struct Slot {
    turn: AtomicU64,
    prompt: AtomicU64,
    // Requests in the upper half, output tokens in the lower.
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

impl Slot {
    /// Empties the slot if it holds an earlier turn.
    ///
    /// Two senders that meet at the start of a turn may lose one of their counts. The estimate is
    /// then short of one request until the next report; nothing else depends on it.
    fn turn_to(&self, turn: u64) {
        if self.turn.swap(turn, Ordering::AcqRel) != turn {
            self.prompt.store(0, Ordering::Release);
            self.requests.store(0, Ordering::Release);
        }
    }

    fn add(&self, sums: &SentTotals) {
        // No one output can run over into the upper half, and no one count beyond it.
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
/// sent since, all in atomics. A reader may see halves of two reports; the estimate is then as far
/// off as the two reports are apart, and the next choice sees the whole.
#[derive(Debug)]
pub(super) struct LoadView {
    role: AtomicU8,
    boot: AtomicU64,
    seq: AtomicU64,
    taken_at: AtomicU64,
    queued_prefill: AtomicU64,
    queued: AtomicU32,
    running: AtomicU32,
    running_decode: AtomicU64,
    speeds: [AtomicU64; 4],
    slots: Box<[Slot; SLOTS]>,
}

impl LoadView {
    /// Makes the view of an engine of which nothing is known.
    pub(super) fn new() -> Self {
        let speeds = speeds_to_bits(&ASSUMED).map(AtomicU64::new);
        Self {
            role: AtomicU8::new(role_to_byte(Role::Mixed)),
            boot: AtomicU64::new(0),
            seq: AtomicU64::new(0),
            taken_at: AtomicU64::new(0),
            queued_prefill: AtomicU64::new(0),
            queued: AtomicU32::new(0),
            running: AtomicU32::new(0),
            running_decode: AtomicU64::new(0),
            speeds,
            slots: Box::new(std::array::from_fn(|_| Slot::default())),
        }
    }

    /// Applies a report unless it is older than the last one. Returns whether it was applied.
    ///
    /// Numbers begin anew with each start of the engine, so reports of two starts are told apart by
    /// their times. By their numbers alone a report of the earlier start that a peer passes on late
    /// would count as the newest until the next one, and lift the mark of an engine that is leaving.
    pub(super) fn apply(&self, report: &LoadReport, now: Millis) -> bool {
        let taken_at = now - report.age;
        let is_older = if self.boot.load(Ordering::Acquire) == report.boot {
            report.seq < self.seq.load(Ordering::Acquire)
        } else {
            self.has_report() && taken_at < Millis(self.taken_at.load(Ordering::Acquire))
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
        self.taken_at.store(taken_at.0, Ordering::Release);
        true
    }

    /// Returns whether any report has been applied.
    pub(super) fn has_report(&self) -> bool {
        self.boot.load(Ordering::Acquire) != 0
    }

    /// Returns the role of the last report, or the one set since.
    pub(super) fn role(&self) -> Role {
        role_from_byte(self.role.load(Ordering::Acquire))
    }

    /// Sets the role that the engine is known to have.
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
        let turn = at.0 / SLOT.0 + 1;
        let slot = &self.slots[turn as usize % SLOTS];
        // A digest about a turn that has been overwritten is too old to matter.
        if slot.turn.load(Ordering::Acquire) > turn {
            return;
        }
        slot.turn_to(turn);
        slot.add(sums);
    }

    /// Estimates the load now.
    pub(super) fn estimate(&self, now: Millis) -> Load {
        let speeds = self.speeds();
        let taken_at = Millis(self.taken_at.load(Ordering::Acquire));
        let running = f64::from(self.running.load(Ordering::Acquire));
        let running_decode = self.running_decode.load(Ordering::Acquire) as f64;
        let queued = f64::from(self.queued.load(Ordering::Acquire));

        // What was sent before the report was taken is in the report.
        let last_turn = now.0 / SLOT.0 + 1;
        let taken_turn = taken_at.0 / SLOT.0 + 1;
        let first_turn = (last_turn + 1).saturating_sub(SLOTS as u64);
        let mut reported = self.queued_prefill.load(Ordering::Acquire) as f64;
        let step_ms = speeds.step_ms(running + queued);
        let drained_in_slot = SLOT.0 as f64 * speeds.prefill_tokens_per_ms;
        let mut since_report = 0.0;
        let mut read = Sent::default();
        let mut later = Sent::default();
        for turn in first_turn..=last_turn {
            let slot = &self.slots[turn as usize % SLOTS];
            let is_later = turn >= taken_turn;
            if slot.turn.load(Ordering::Acquire) == turn {
                let sums = slot.sums();
                read.add(&sums);
                if is_later {
                    later.add(&sums);
                    since_report += sums.prompt;
                }
            }
            if is_later && turn != last_turn {
                // What the engine reported goes first.
                let drained = drained_in_slot.min(reported);
                reported -= drained;
                since_report = (since_report + drained - drained_in_slot).max(0.0);
            }
        }

        // An engine counts the whole prompts of those that wait, since it looks for their prefixes
        // only when they start. Those sent lately tell how much there was to read of each.
        if read.requests > 0.0 {
            let each = read.prompt / read.requests;
            reported = reported.min((queued + PROMPTS_READ_AT_ONCE) * each);
        }
        let prefill = reported + since_report;
        let prefill_ms = read.prompt.max(prefill) / speeds.prefill_tokens_per_ms;
        let prefill_share = (prefill_ms / RECORD_MS).min(1.0);

        // The engine has gone on since the report was taken. Of what it ran then, the part that
        // has ended grows evenly until twice the average.
        let reported_each = if running > 0.0 { running_decode / running } else { 0.0 };
        let gap_ms = step_ms / (1.0 - prefill_share).max(LEAST_FREE_SHARE);
        let longest_ms = 2.0 * (reported_each * gap_ms).max(1.0);
        let ended = running * ((now - taken_at).0 as f64 / longest_ms).min(1.0);
        let still = running + queued - ended;
        let requests = still + later.requests;
        let output = reported_each * still + later.output;

        // Of a running request, half is still to come on average.
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
    /// Returns the time of one decode step with a number of requests in the batch.
    pub fn step_ms(&self, requests: f64) -> f64 {
        let others = (requests - 1.0).clamp(0.0, self.max_batch - 1.0);
        self.decode_step_ms + others * self.decode_step_per_request_ms
    }

    /// Returns the output tokens generated in a millisecond by a full batch.
    pub fn decode_tokens_per_ms(&self) -> f64 {
        self.max_batch / self.step_ms(self.max_batch)
    }

    /// Returns the least engine time that a request takes, in milliseconds: its uncached prompt
    /// read alone and its output generated in a full batch.
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
