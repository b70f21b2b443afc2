//! Examines an engine whose runs were interrupted: whether it has terminated, and during which requests.

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::paths::Contact;
use anvilhook_core::quarantine::{EndOutcome, SuspectStatus};
use anvilhook_core::units::{Clock, Millis};
use http::StatusCode;
use tokio::net::TcpStream;

use super::Gateway;
use super::answers::Outcome;
use super::failures::{Failed, FailureSignal};
use super::requests::Exchange;
use crate::events::{Evidence, PartRuns, UpstreamEvent, emit};
use crate::fleets::Upstream;
use crate::suspects::{HeldPart, InterruptedRun, Interruption, MIN_WRITING_TIME, Progress};
use crate::wires::Wire;

/// The pause between two checks of an engine, and the time limit for all of them. Its entry lapses well
/// before that limit.
const CHECK_PAUSE: Duration = Duration::from_millis(150);
const MAX_EXAMINE_TIME: Millis = Millis(10_000);

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The number of consecutive refused connections that show that an engine has terminated. An engine whose
/// connection queue is full refuses some connections, but accepts others as soon as it has room.
const REFUSALS: u32 = 2;

/// The last part of [`MIN_WRITING_TIME`], in which an answer shows that an engine has not terminated at its beginning.
const LATE_CONTACT_TIME: Millis = Millis(400);

/// The retry time for a caller whose request is already on trial.
const TRIAL_PAUSE: Millis = Millis(400);

/// The reasons in the final answer to a quarantined request, and to a request with a quarantined prompt part.
const QUARANTINED: &str = "quarantined";
const PART_QUARANTINED: &str = "part_quarantined";

/// The reasons in the answer to a request that is not sent while another one shows whether it, or a part of its
/// prompt, makes engines terminate.
const ON_TRIAL: &str = "on_trial";
const PART_ON_TRIAL: &str = "part_on_trial";

/// The retry time for a caller whose request is not sent until another one has run: the time in which a run shows
/// whether its engine terminates.
const TRIAL_RUN_PAUSE: Millis = Millis(1_000);

/// The maximum number of requests that one log line names.
const MAX_LOGGED: usize = 16;

/// `Liveness` is the result of one check of an engine.
enum Liveness {
    /// The engine still runs and has not restarted.
    Alive,
    /// Its host refuses connections.
    Refused,
    /// The engine has terminated, or has restarted since.
    Ended(Evidence),
    /// The check was inconclusive.
    Unknown,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Returns the answer for a request that must not be sent now: its key was withdrawn, it or a part of its prompt
    /// is quarantined, or it is suspected and already on trial.
    ///
    /// A suspected request runs on one engine at a time, and at most as many times as it takes to quarantine
    /// it.
    pub(super) fn check_quarantine(&self, exchange: &mut Exchange) -> Option<Outcome> {
        if let Some(denied) = self.check_access(exchange) {
            return Some(denied);
        }
        if let Some(denied) = self.check_parts(exchange) {
            return Some(denied);
        }
        self.take_known_fingerprint(exchange);
        let (request, now) = (exchange.fingerprint, self.now());
        match self.suspects().status(request, now) {
            (SuspectStatus::Clear, _) => None,
            (SuspectStatus::OnTrial | SuspectStatus::Quarantined, _)
                if self.suspects().may_try(request, &exchange.id, now) =>
            {
                self.begin_trial(exchange)
            }
            (SuspectStatus::OnTrial, _) => {
                Some(self.abandoned_outcome(exchange, ON_TRIAL, TRIAL_RUN_PAUSE))
            }
            (SuspectStatus::Quarantined, _) => {
                self.suspects().record_arrival(request, now);
                Some(quarantined_outcome(exchange, QUARANTINED))
            }
            (SuspectStatus::Suspected(_), left) => {
                let refusal = self.begin_trial(exchange);
                let is_exhausted = left == 0;
                refusal.or_else(|| {
                    is_exhausted.then(|| self.abandoned_outcome(exchange, ON_TRIAL, TRIAL_PAUSE))
                })
            }
        }
    }

    /// Begins a suspect's run. Returns the answer if another run of the request is in progress here.
    fn begin_trial(&self, exchange: &mut Exchange) -> Option<Outcome> {
        if exchange.trial.is_none() {
            exchange.trial = self.suspects().begin_trial(exchange.fingerprint, self.now());
        }
        let is_refused = exchange.trial.is_none();
        is_refused.then(|| self.abandoned_outcome(exchange, ON_TRIAL, TRIAL_PAUSE))
    }

    /// Takes the request's other fingerprint if engines have terminated under that one only: a change of the accounts
    /// does not make it another request.
    fn take_known_fingerprint(&self, exchange: &mut Exchange) {
        let Some(other) = exchange.other_fingerprint.filter(|_| exchange.trial.is_none()) else {
            return;
        };
        let (suspects, now) = (self.suspects(), self.now());
        let is_clear = |request| suspects.status(request, now).0 == SuspectStatus::Clear;
        if is_clear(exchange.fingerprint) && !is_clear(other) {
            exchange.other_fingerprint = Some(std::mem::replace(&mut exchange.fingerprint, other));
        }
    }

    /// Returns the answer for a request with a part in its prompt that is on trial or quarantined.
    pub(super) fn check_parts(&self, exchange: &Exchange) -> Option<Outcome> {
        let held = self.held_part(exchange)?;
        let part = &held.part;
        if self.suspects().record_part_arrival(part, self.now()) {
            emit(&UpstreamEvent::PartQuarantined {
                request: &exchange.id,
                service: &part.service,
                model: &part.model,
                part: format!("{:x}", part.id),
                fingerprint: part.fingerprint,
            });
        }
        Some(self.held_outcome(exchange, &held))
    }

    /// Returns the answer for a request with a held part in its prompt: a final one only if the part is quarantined.
    pub(super) fn held_outcome(&self, exchange: &Exchange, held: &HeldPart) -> Outcome {
        match held.is_quarantined {
            true => quarantined_outcome(exchange, PART_QUARANTINED),
            false => self.abandoned_outcome(exchange, PART_ON_TRIAL, TRIAL_RUN_PAUSE),
        }
    }

    /// Returns the first part of a request's prompt for which it must not be sent, if there is any.
    pub(super) fn held_part(&self, exchange: &Exchange) -> Option<HeldPart> {
        self.suspects().held_part(&exchange.id, exchange.shared_parts(), self.now())
    }

    /// Records how an attempt at an engine failed, and examines the engine if it may have terminated.
    pub(super) fn record_failure_signal(
        &self,
        exchange: &Exchange,
        upstream: &Arc<Upstream>,
        failed: &Failed,
        progress: Progress,
    ) {
        let how = match failed.signal {
            FailureSignal::Broken => Interruption::Broken,
            FailureSignal::TimedOut => Interruption::Silent,
            FailureSignal::PathBroken | FailureSignal::None => return,
        };
        let run = InterruptedRun {
            request: exchange.fingerprint,
            parts: exchange.shared_parts().collect(),
            how,
            progress,
            began_at: exchange.attempt_began_at,
            interrupted_at: self.now(),
        };
        self.record_interruption(upstream, run);
    }

    /// Records an interrupted run, and examines its engine unless that is being done already.
    fn record_interruption(&self, upstream: &Arc<Upstream>, run: InterruptedRun) {
        // An engine that leaves terminates anyway, not because of a request.
        if upstream.is_leaving() {
            return;
        }
        if self.suspects().record_interruption(upstream.hash, run) {
            let (gateway, upstream) = (self.clone(), Arc::clone(upstream));
            tokio::spawn(async move { gateway.examine(&upstream).await });
        }
    }

    /// Records that a run of a request has completed successfully.
    pub(super) fn record_completed_run(&self, exchange: &Exchange) {
        self.suspects().record_success(exchange.fingerprint, self.now());
    }

    /// Records that a run has written output, which shows that no part of its prompt makes engines terminate.
    pub(super) fn record_output(&self, exchange: &Exchange) {
        self.suspects().record_output(exchange.shared_parts(), self.now());
    }

    /// Records that a run has written output if its engine answers anything later on, and examines the engine otherwise.
    /// The end of an answer that ends with its connection does not show whether the engine has terminated.
    pub(super) fn record_unmarked_end(&self, exchange: &Exchange, upstream: &Arc<Upstream>) {
        let run = InterruptedRun {
            request: exchange.fingerprint,
            parts: exchange.shared_parts().collect(),
            how: Interruption::Silent,
            progress: Progress::Starting,
            began_at: exchange.attempt_began_at,
            interrupted_at: self.now(),
        };
        if run.parts.is_empty() {
            return;
        }
        let (gateway, upstream) = (self.clone(), Arc::clone(upstream));
        tokio::spawn(async move {
            tokio::time::sleep(MIN_WRITING_TIME.as_duration()).await;
            let now = gateway.now();
            if upstream.state.path().has_contact_within(LATE_CONTACT_TIME, now) {
                gateway.suspects().record_output(run.parts.into_iter(), now);
            } else {
                gateway.record_interruption(&upstream, run);
            }
        });
    }

    /// Checks an engine repeatedly until it is known whether it has terminated.
    async fn examine(&self, upstream: &Arc<Upstream>) {
        let until = self.now() + MAX_EXAMINE_TIME;
        let mut refusals = 0;
        loop {
            match self.check_liveness(upstream).await {
                Liveness::Ended(evidence) => return self.confirm_end(upstream, evidence),
                Liveness::Refused if refusals + 1 >= REFUSALS => {
                    return self.confirm_end(upstream, Evidence::Refused);
                }
                Liveness::Refused => refusals += 1,
                Liveness::Unknown if self.now() < until => refusals = 0,
                Liveness::Alive | Liveness::Unknown => {
                    return self.suspects().dismiss(upstream.hash);
                }
            }
            tokio::time::sleep(CHECK_PAUSE).await;
        }
    }

    async fn check_liveness(&self, upstream: &Upstream) -> Liveness {
        let connected = TcpStream::connect(upstream.entry.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connected).await {
            Ok(Ok(_)) if upstream.entry.role.is_none() => return self.liveness_by_entry(upstream),
            Ok(Ok(_)) => {}
            Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                return match self.liveness_by_entry(upstream) {
                    Liveness::Alive => self.liveness_by_others(upstream).await,
                    other => other,
                };
            }
            Ok(Err(_)) | Err(_) => return self.liveness_without_answer(upstream),
        }
        let Some(answer) = self.own_call(upstream, &self.wire().report()).await else {
            return self.liveness_without_answer(upstream);
        };
        let report = self.wire().engine_report(&answer.body);
        let is_other = answer.status == StatusCode::MISDIRECTED_REQUEST
            || report.is_ok_and(|report| upstream.entry.has_other_start(report.born));
        if is_other {
            Liveness::Ended(Evidence::Restarted)
        } else {
            self.liveness_by_entry(upstream)
        }
    }

    /// Returns what other instances show of an engine whose host refuses this instance. The refusal may be that of
    /// a broken path, behind which all engines that were running requests would seem to have terminated.
    async fn liveness_by_others(&self, upstream: &Upstream) -> Liveness {
        let others = self.contacts_of_others(upstream).await;
        if others.contacts.contains(&Contact::Connected) {
            self.check_path_later(upstream);
            return Liveness::Alive;
        }
        let is_known = others.has_failed() || (!others.has_answer() && self.is_sound());
        if is_known { Liveness::Refused } else { Liveness::Unknown }
    }

    /// Returns what the upstream table shows of an engine that accepts connections.
    fn liveness_by_entry(&self, upstream: &Upstream) -> Liveness {
        match self.has_started_again(upstream) {
            true => Liveness::Ended(Evidence::Restarted),
            false => Liveness::Alive,
        }
    }

    /// Returns what the upstream table shows of an engine that does not answer. The entry of a frozen engine
    /// is removed as well, but its connections do not break.
    fn liveness_without_answer(&self, upstream: &Upstream) -> Liveness {
        let is_listed = self.fleet().view().get(&upstream.entry.id).is_some();
        let is_removed = !is_listed && self.suspects().has_broken(upstream.hash);
        match self.liveness_by_entry(upstream) {
            Liveness::Alive if is_removed => Liveness::Ended(Evidence::Removed),
            Liveness::Alive => Liveness::Unknown,
            other => other,
        }
    }

    /// Records that an engine has terminated while it ran requests, and publishes it to peers.
    fn confirm_end(&self, upstream: &Upstream, evidence: Evidence) {
        let (suspects, now) = (self.suspects(), self.now());
        // An engine is also gone if another one has its address, which is how some ends become known.
        if upstream.has_announced_leaving() {
            return suspects.dismiss(upstream.hash);
        }
        let end = suspects.confirm_end(upstream.hash, now);
        self.peers().announce();
        let counted = end.outcomes.iter().filter(|(_, outcome)| *outcome != EndOutcome::Ignored);
        emit(&UpstreamEvent::EngineEnded {
            upstream: &upstream.entry.id,
            incarnation: upstream.hash,
            evidence,
            runs: end.runs.len(),
            parts: part_runs(&end.runs),
            suspects: counted.map(|(request, _)| *request).take(MAX_LOGGED).collect(),
        });
        self.metrics().record_end(evidence);
        for (suspect, outcome) in end.outcomes {
            match outcome {
                EndOutcome::Quarantined => self.log_quarantine(suspect, "own"),
                EndOutcome::OnTrial => {
                    let ends = self.ended_engines(suspect);
                    emit(&UpstreamEvent::RequestOnTrial { fingerprint: suspect, ends });
                }
                EndOutcome::Ignored | EndOutcome::Counted | EndOutcome::Explained => {}
            }
        }
    }

    /// Returns the engines that ended under a suspect, with the time since then in milliseconds.
    fn ended_engines(&self, suspect: Fingerprint) -> Vec<(u32, u64)> {
        let now = self.now();
        let ends = self.suspects().ends(suspect, now);
        ends.iter().map(|end| (end.engine, (now - end.at).0)).collect()
    }

    /// Logs that a request is now quarantined, with the engine ends that count against it.
    pub(crate) fn log_quarantine(&self, request: Fingerprint, source: &'static str) {
        let ends = self.ended_engines(request);
        emit(&UpstreamEvent::RequestQuarantined { fingerprint: request, ends, source });
    }
}

/// Returns the final answer to a request that is not sent to any engine. A refusal would invite the caller to send the
/// same request again.
fn quarantined_outcome(exchange: &Exchange, reason: &'static str) -> Outcome {
    match exchange.sendings.may_have_run() {
        true => Outcome::may_have_run(reason),
        false => Outcome::failed(StatusCode::BAD_REQUEST, reason),
    }
}

/// Returns the prompt parts of interrupted runs, with how many of the runs each was in.
fn part_runs(runs: &[InterruptedRun]) -> Vec<PartRuns> {
    let mut parts: Vec<PartRuns> = Vec::new();
    for run in runs {
        for part in &run.parts {
            let at = parts.iter().position(|known| known.fingerprint == part.fingerprint);
            let at = at.unwrap_or_else(|| {
                parts.push(PartRuns::new(part));
                parts.len() - 1
            });
            parts[at].runs += 1;
            parts[at].starting += usize::from(run.progress == Progress::Starting);
        }
    }
    parts.sort_by_key(|part| std::cmp::Reverse(part.starting));
    parts.truncate(MAX_LOGGED);
    parts
}
