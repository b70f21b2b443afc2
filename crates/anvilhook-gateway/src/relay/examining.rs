//! Looking at an engine whose runs broke off: whether it has ended, and under which requests.

use std::sync::Arc;
use std::time::Duration;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::quarantine::{EndOutcome, SuspectStatus};
use anvilhook_core::units::{Clock, Millis};
use http::StatusCode;
use tokio::net::TcpStream;

use super::Gateway;
use super::answers::Outcome;
use super::attempts::{Ending, Failed};
use super::requests::Exchange;
use crate::events::{Event, Evidence, emit};
use crate::fleets::Upstream;
use crate::suspects::Interruption;
use crate::wires::Wire;

/// The pause between two looks at an engine, and how long it is looked at in all. Its entry lapses well
/// before that.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_LOOK: Millis = Millis(10_000);

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The refusals of connections in a row by which an engine has ended. One that takes no more connections
/// refuses some, and takes others as soon as a place is free.
const REFUSALS: u32 = 2;

/// When a caller is to come back whose request is on trial.
const TRIAL_PAUSE: Millis = Millis(400);

/// The reason of a final answer to a request under quarantine.
const QUARANTINED: &str = "quarantined";

/// The most requests that a line of the log names.
const MAX_LOGGED: usize = 16;

/// `Sign` is what a look at an engine showed.
enum Sign {
    /// It is there, in the same start.
    Alive,
    /// Its host refuses connections.
    Refused,
    /// That start of it has ended.
    Ended(Evidence),
    /// Nothing can be told.
    Unknown,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Returns the answer of a request that is not to be sent now: its key was withdrawn, or it is under
    /// quarantine, or suspected and on trial already.
    ///
    /// A suspect is tried at one engine at a time, and no more often than would quarantine it.
    pub(super) fn withheld(&self, exchange: &mut Exchange) -> Option<Outcome> {
        if let Some(denied) = self.denied(exchange) {
            return Some(denied);
        }
        let (request, now) = (exchange.fingerprint, self.now());
        match self.suspects().status(request, now) {
            (SuspectStatus::Clear, _) => None,
            (SuspectStatus::Quarantined, _) => {
                self.suspects().record_arrival(request, now);
                // A refusal would invite the same request back.
                Some(match exchange.may_have_run {
                    true => Outcome::may_have_run(QUARANTINED),
                    false => Outcome::failed(StatusCode::BAD_REQUEST, QUARANTINED),
                })
            }
            (SuspectStatus::Suspected(_), left) => {
                if exchange.trial.is_none() {
                    exchange.trial = self.suspects().begin_trial(request, now);
                }
                let may_try = exchange.trial.is_some() && left > 0;
                (!may_try).then(|| self.given_up(exchange, "on_trial", TRIAL_PAUSE))
            }
        }
    }

    /// Notes how an attempt failed at an engine, and looks at the engine if it may have ended.
    pub(super) fn note_ending(
        &self,
        exchange: &Exchange,
        upstream: &Arc<Upstream>,
        failed: &Failed,
    ) {
        let how = match failed.ending {
            Ending::Broken => Interruption::Broken,
            Ending::Silent => Interruption::Silent,
            Ending::Unharmed => return,
        };
        // The end of one that leaves is its own.
        if upstream.is_leaving() {
            return;
        }
        if self.suspects().record_interruption(upstream.digest, exchange.fingerprint, how) {
            let (gateway, upstream) = (self.clone(), Arc::clone(upstream));
            tokio::spawn(async move { gateway.examine(&upstream).await });
        }
    }

    /// Notes that a request's run has ended well.
    pub(super) fn note_well(&self, exchange: &Exchange) {
        self.suspects().record_success(exchange.fingerprint, self.now());
    }

    /// Looks at an engine until it is known whether it has ended.
    async fn examine(&self, upstream: &Arc<Upstream>) {
        let until = self.now() + LONGEST_LOOK;
        let mut refusals = 0;
        loop {
            match self.sign_of(upstream).await {
                Sign::Ended(evidence) => return self.confirm_end(upstream, evidence),
                Sign::Refused if refusals + 1 >= REFUSALS => {
                    return self.confirm_end(upstream, Evidence::Refused);
                }
                Sign::Refused => refusals += 1,
                Sign::Unknown if self.now() < until => refusals = 0,
                Sign::Alive | Sign::Unknown => return self.suspects().dismiss(upstream.digest),
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    async fn sign_of(&self, upstream: &Upstream) -> Sign {
        let connected = TcpStream::connect(upstream.entry.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connected).await {
            Ok(Ok(_)) if upstream.entry.role.is_none() => return self.listed_sign(upstream),
            Ok(Ok(_)) => {}
            Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                return match self.listed_sign(upstream) {
                    Sign::Alive => Sign::Refused,
                    sign => sign,
                };
            }
            Ok(Err(_)) | Err(_) => return self.absent_sign(upstream),
        }
        let Some(answer) = self.own_call(upstream, &self.wire().report()).await else {
            return self.absent_sign(upstream);
        };
        let report = self.wire().engine_report(&answer.body);
        let is_other = answer.status == StatusCode::MISDIRECTED_REQUEST
            || report.is_ok_and(|report| upstream.entry.has_other_start(report.born));
        if is_other { Sign::Ended(Evidence::Restarted) } else { self.listed_sign(upstream) }
    }

    /// Returns what the list tells of an engine that takes connections.
    fn listed_sign(&self, upstream: &Upstream) -> Sign {
        match self.has_started_again(upstream) {
            true => Sign::Ended(Evidence::Restarted),
            false => Sign::Alive,
        }
    }

    /// Returns what the list tells of an engine that doesn't answer. A frozen one's entry goes too; but its
    /// connections don't break.
    fn absent_sign(&self, upstream: &Upstream) -> Sign {
        let is_listed = self.fleet().view().get(&upstream.entry.id).is_some();
        let is_removed = !is_listed && self.suspects().has_broken(upstream.digest);
        match self.listed_sign(upstream) {
            Sign::Alive if is_removed => Sign::Ended(Evidence::Removed),
            Sign::Alive => Sign::Unknown,
            sign => sign,
        }
    }

    /// Notes that an engine has ended under all that ran there, and has the others told.
    fn confirm_end(&self, upstream: &Upstream, evidence: Evidence) {
        let (suspects, now) = (self.suspects(), self.now());
        if upstream.is_leaving() {
            return suspects.dismiss(upstream.digest);
        }
        let weighed = suspects.confirm_end(upstream.digest, now);
        self.peers().announce();
        let counted = weighed.iter().filter(|(_, weighed)| *weighed != EndOutcome::Ignored);
        emit(&Event::EngineEnded {
            upstream: &upstream.entry.id,
            incarnation: upstream.digest,
            evidence,
            runs: weighed.len(),
            suspects: counted.map(|(request, _)| *request).take(MAX_LOGGED).collect(),
        });
        self.metrics().record_end(evidence);
        for (request, _) in weighed.iter().filter(|(_, one)| *one == EndOutcome::Quarantined) {
            self.log_quarantine(*request, "own");
        }
    }

    /// Logs that a request is under quarantine now, with what speaks against it.
    pub(crate) fn log_quarantine(&self, request: Fingerprint, source: &'static str) {
        let now = self.now();
        let ends = self.suspects().ends(request, now);
        let ends = ends.iter().map(|end| (end.engine, (now - end.at).0)).collect();
        emit(&Event::RequestQuarantined { fingerprint: request, ends, source });
    }
}
