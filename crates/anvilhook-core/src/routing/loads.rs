//! What an instance believes of one engine's load: the last report, and the work sent since.

use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};

use super::upstreams::Work;
use crate::orders::Role;
use crate::reports::LoadReport;
use crate::units::{Millis, Tokens};

/// The span of one slot of the record of sent work.
const SLOT: Millis = Millis(128);

/// The number of slots. The record reaches back for about eight seconds, longer than reports lag.
const SLOTS: usize = 64;

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
    /// The share of the engine's time, from 0 to 1, that went into reading prompts lately.
    pub prefill_share: f64,
}

/// One slot of the record of sent work. The sums belong to the slot's present turn.
#[derive(Debug, Default)]
struct Slot {
    turn: AtomicU64,
    prompt: AtomicU64,
    output: AtomicU64,
    requests: AtomicU32,
}

impl Slot {
    /// Empties the slot if it holds an earlier turn.
    ///
    /// Two senders that meet at the start of a turn may lose one of their counts. The estimate is
    /// then short of one request until the next report; nothing else depends on it.
    fn turn_to(&self, turn: u64) {
        if self.turn.swap(turn, Ordering::AcqRel) != turn {
            self.prompt.store(0, Ordering::Release);
            self.output.store(0, Ordering::Release);
            self.requests.store(0, Ordering::Release);
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
    requests: AtomicU32,
    running: AtomicU32,
    running_decode: AtomicU64,
    speeds: [AtomicU64; 4],
    slots: Box<[Slot]>,
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
            requests: AtomicU32::new(0),
            running: AtomicU32::new(0),
            running_decode: AtomicU64::new(0),
            speeds,
            slots: (0..SLOTS).map(|_| Slot::default()).collect(),
        }
    }

    /// Applies a report unless it is older than the last one. Returns whether it was applied.
    pub(super) fn apply(&self, report: &LoadReport, now: Millis) -> bool {
        let same_boot = self.boot.swap(report.boot, Ordering::AcqRel) == report.boot;
        if same_boot && report.seq < self.seq.load(Ordering::Acquire) {
            return false;
        }
        let speeds = Speeds {
            prefill_tokens_per_ms: f64::from(report.prefill_tokens_per_s.max(1)) / 1_000.0,
            decode_step_ms: report.decode_step_ms,
            decode_step_per_request_ms: report.decode_step_per_request_ms,
            max_batch: f64::from(report.max_batch.max(1)),
        };
        for (cell, bits) in self.speeds.iter().zip(speeds_to_bits(&speeds)) {
            cell.store(bits, Ordering::Release);
        }
        let requests = report.running_requests + report.queued_requests;
        self.seq.store(report.seq, Ordering::Release);
        self.role.store(role_to_byte(report.role), Ordering::Release);
        self.queued_prefill.store(report.queued_prefill.0, Ordering::Release);
        self.requests.store(requests, Ordering::Release);
        self.running.store(report.running_requests, Ordering::Release);
        self.running_decode.store(report.running_decode.0, Ordering::Release);
        self.taken_at.store((now - report.age).0, Ordering::Release);
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
        let turn = at.0 / SLOT.0 + 1;
        let slot = &self.slots[turn as usize % SLOTS];
        // A digest about a turn that has been overwritten is too old to matter.
        if slot.turn.load(Ordering::Acquire) > turn {
            return;
        }
        slot.turn_to(turn);
        slot.prompt.fetch_add(work.prompt.0, Ordering::AcqRel);
        slot.output.fetch_add(work.output.0, Ordering::AcqRel);
        slot.requests.fetch_add(1, Ordering::AcqRel);
    }

    /// Estimates the load now.
    pub(super) fn estimate(&self, now: Millis) -> Load {
        let speeds = self.speeds();
        let taken_at = Millis(self.taken_at.load(Ordering::Acquire));
        let running = f64::from(self.running.load(Ordering::Acquire));
        let running_decode = self.running_decode.load(Ordering::Acquire) as f64;
        let mut prefill = self.queued_prefill.load(Ordering::Acquire) as f64;
        let mut requests = f64::from(self.requests.load(Ordering::Acquire));
        let mut output_each = if running > 0.0 { running_decode / running } else { 0.0 };

        // The engine has gone on since the report was taken, while work was sent to it. Of what it
        // ran then, the part that has ended grows evenly until twice the average.
        let step_ms = speeds.step_ms(requests);
        let age = (now - taken_at).0 as f64;
        if requests > 0.0 {
            let longest = 2.0 * (output_each * step_ms).max(1.0);
            requests *= (1.0 - age / longest).max(0.0);
        }

        // Walk the record from the report, or from its beginning, to now.
        let last_turn = now.0 / SLOT.0 + 1;
        let first_turn =
            (taken_at.0 / SLOT.0 + 1).max((last_turn + 1).saturating_sub(SLOTS as u64));
        let drained_in_slot = SLOT.0 as f64 * speeds.prefill_tokens_per_ms;
        for turn in first_turn..=last_turn {
            let slot = &self.slots[turn as usize % SLOTS];
            if slot.turn.load(Ordering::Acquire) == turn {
                let sent = f64::from(slot.requests.load(Ordering::Acquire));
                let output = slot.output.load(Ordering::Acquire) as f64;
                prefill += slot.prompt.load(Ordering::Acquire) as f64;
                let all = requests + sent;
                if all > 0.0 {
                    output_each = (output_each * requests + output) / all;
                }
                requests = all;
            }
            if turn != last_turn {
                prefill = (prefill - drained_in_slot).max(0.0);
            }
        }
        let prefill_share = self.prefill_share(now, &speeds, prefill);
        Load { speeds, prefill, requests, output_each, prefill_share }
    }

    fn prefill_share(&self, now: Millis, speeds: &Speeds, prefill: f64) -> f64 {
        let last_turn = now.0 / SLOT.0 + 1;
        let slots = self.slots.iter();
        let recent = slots.filter(|slot| {
            let turn = slot.turn.load(Ordering::Acquire);
            turn <= last_turn && turn + SLOTS as u64 > last_turn
        });
        let sent: u64 = recent.map(|slot| slot.prompt.load(Ordering::Acquire)).sum();
        let span_ms = (SLOTS as u64 * SLOT.0) as f64;
        let busy_ms = (sent as f64).max(prefill) / speeds.prefill_tokens_per_ms;
        (busy_ms / span_ms).min(1.0)
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
