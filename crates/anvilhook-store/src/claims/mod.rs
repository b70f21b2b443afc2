//! Claims ensure that a non-idempotent request with a key runs at most once, whichever instances it
//! reaches.
//!
//! A caller's repeat commonly reaches another instance, so the record of a key cannot be local. A
//! request is dispatched only after its claim is known to be in the platform's table. A claim costs one
//! write before the request runs, one write after it, and no read.
//!
//! These rules keep claims safe when answers are lost and writes take effect late:
//!
//! - A claim's row is never deleted to free its key. For a request that is known not to have run, the
//!   row is marked as released, and the next claim takes the row over at its version. So a row's
//!   version only grows, and a late write finds another version and has no effect.
//! - Every write of a claim also requires the current epoch (see [`epochs`]). Rows are deleted only by
//!   a sweep, in a later epoch than their last write. So a write from before the deletion cannot take
//!   effect after it on a new row that happens to have the same version.
//! - A write whose answer was lost is sent again unchanged. If the first one took effect, the conflict
//!   returns the row with this attempt's id; if it takes effect later, it changes nothing. A read could
//!   not determine whether the write may still take effect.
//!
//! For more information, see `docs/design/claims.md`.

pub mod epochs;
pub mod keys;
pub mod options;
pub mod rows;
pub mod sweeps;
mod writes;

use std::sync::Arc;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Clock, Millis, WallTime};
use anvilhook_platform::{Error, Result, Row, Table};

pub use keys::{BodyDigest, ClaimKey};
pub use options::ClaimOptions;
pub use rows::{Claim, ClaimState, StoredBody, StoredOutcome};
pub use sweeps::{SweepReport, Sweeper};

use epochs::Epochs;
use writes::{Expected, Written};

/// `ClaimRequest` identifies the request that an instance is about to run.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The caller's key.
    pub key: ClaimKey,
    /// The digest of what the caller sent under the key.
    pub body: BodyDigest,
    /// The id of the attempt that is to run. It must be unique among all claims.
    pub attempt: AttemptId,
    /// The wall-clock time, for display only.
    pub claimed_at: WallTime,
    /// The caller's deadline, on the instance's clock. No write is tried after it.
    pub deadline: Millis,
}

/// `HeldClaim` is a claim of this process. It is not `Clone`, so that it is settled only once.
#[derive(Debug)]
pub struct HeldClaim {
    key: ClaimKey,
    claim: Claim,
    /// The row that the claim's write expects before it.
    before: Expected,
    /// The version of the claim's row, or `None` if it is not known whether the claim was written.
    version: Option<u64>,
}

impl HeldClaim {
    /// Returns the claim as it was written.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    fn with_version(self, version: u64) -> Self {
        Self { version: Some(version), ..self }
    }

    fn in_state(&self, state: ClaimState) -> Claim {
        Claim { state, ..self.claim.clone() }
    }
}

/// `ClaimOutcome` is the outcome of an attempt to claim a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim was written: the request may be dispatched once, and must be settled by
    /// `Claims::record` or `Claims::release`.
    Won(HeldClaim),
    /// An earlier request with the key has ended with this outcome.
    Recorded(StoredOutcome),
    /// An earlier request with the key may have run, may be running or may still run. Its outcome is
    /// not known, and may never be.
    MayHaveRun(Claim),
    /// The key was used with another body. This request was not run.
    KeyReused(Claim),
    /// The claim could not be made. This request was not run, because nothing is dispatched without a
    /// claim that is known to be written.
    Refused {
        /// The table's error.
        err: Error,
        /// The claim, if it may have been written or may still be. Until it is released, a repeat gets
        /// the answer that the request may have run. Pass it to `Claims::release` when the table
        /// answers again.
        doubtful: Option<HeldClaim>,
    },
}

/// `Claims` makes and settles claims for one instance. Clones share the cached epoch.
#[derive(Clone, Debug)]
pub struct Claims<T, C> {
    table: T,
    clock: C,
    instance: InstanceName,
    options: ClaimOptions,
    epochs: Arc<Epochs>,
}

impl<T: Table, C: Clock> Claims<T, C> {
    /// Creates the claims of one instance, without calling the table yet.
    pub fn new(table: T, clock: C, instance: InstanceName, options: ClaimOptions) -> Self {
        Self { table, clock, instance, options, epochs: Arc::default() }
    }

    /// Returns the options.
    pub fn options(&self) -> &ClaimOptions {
        &self.options
    }

    /// Claims a key before its request is dispatched.
    ///
    /// ```
    /// use anvilhook_core::attempts::AttemptId;
    /// use anvilhook_core::names::{AccountName, InstanceName, ServiceName};
    /// use anvilhook_core::units::{ManualClock, Millis, WallTime};
    /// use anvilhook_standin::platform::{LocalPlatform, PlatformOptions};
    /// use anvilhook_store::claims::{
    ///     BodyDigest, ClaimKey, ClaimOptions, ClaimOutcome, ClaimRequest, Claims,
    /// };
    ///
    /// # let rt = tokio::runtime::Builder::new_current_thread().build().unwrap();
    /// # rt.block_on(async {
    /// let clock = ManualClock::new();
    /// let table = LocalPlatform::new(clock.clone(), PlatformOptions::default());
    /// let instance = InstanceName::try_new("entry-1").unwrap();
    /// let claims = Claims::new(table, clock, instance, ClaimOptions::default());
    /// let account = AccountName::try_new("papadakis").unwrap();
    /// let service = ServiceName::try_new("chef-alerts").unwrap();
    /// let mut req = ClaimRequest {
    ///     key: ClaimKey::new(&account, &service, "fridge 7, 06:40"),
    ///     body: BodyDigest::of(&[b"POST", b"/alerts", b"{}"]),
    ///     attempt: AttemptId(1),
    ///     claimed_at: WallTime(0),
    ///     deadline: Millis::MAX,
    /// };
    ///
    /// assert!(matches!(claims.claim(&req).await, ClaimOutcome::Won(_)));
    /// // A repeat is another attempt.
    /// req.attempt = AttemptId(2);
    /// assert!(matches!(claims.claim(&req).await, ClaimOutcome::MayHaveRun(_)));
    /// # });
    /// ```
    pub async fn claim(&self, req: &ClaimRequest) -> ClaimOutcome {
        let mut before = Expected::Absent;
        // An iteration is repeated only if another instance has changed the row meanwhile.
        for _ in 0..self.options.max_tries {
            let held = self.unwritten(req, before);
            let current = match self.write(&held.key, before, &held.claim, req.deadline).await {
                Ok(Written::Done) => return ClaimOutcome::Won(held.with_version(before.next())),
                Ok(Written::Conflict(current)) => current,
                Err(failure) => {
                    let doubtful = failure.in_doubt.then_some(held);
                    return ClaimOutcome::Refused { err: failure.err, doubtful };
                }
            };
            before = match self.resolve_conflict(req, held, current).await {
                Resolution::Retry(before) => before,
                Resolution::Final(outcome) => return *outcome,
            };
        }
        ClaimOutcome::Refused { err: keeps_changing(), doubtful: None }
    }

    fn unwritten(&self, req: &ClaimRequest, before: Expected) -> HeldClaim {
        let claim = Claim {
            attempt: req.attempt,
            body: req.body.clone(),
            instance: self.instance.clone(),
            claimed_at: req.claimed_at,
            // `write` sets the epoch.
            epoch: 0,
            state: ClaimState::Claimed,
        };
        HeldClaim { key: req.key.clone(), claim, before, version: None }
    }

    /// Decides how to proceed when another row is in the place of a claim.
    async fn resolve_conflict(
        &self,
        req: &ClaimRequest,
        held: HeldClaim,
        current: Option<Row>,
    ) -> Resolution {
        let Some(row) = current else {
            // The row that was to be taken over has been deleted.
            return Resolution::Retry(Expected::Absent);
        };
        let claim = match Claim::decode(&row) {
            Ok(claim) => claim,
            Err(err) => return Resolution::refused(err),
        };
        if claim.attempt == req.attempt && claim.state == ClaimState::Claimed {
            // An earlier write took effect and its answer was lost.
            return Resolution::of(ClaimOutcome::Won(held.with_version(row.version)));
        }
        if claim.body != req.body {
            return Resolution::of(ClaimOutcome::KeyReused(claim));
        }
        match claim.state {
            ClaimState::Claimed => Resolution::of(ClaimOutcome::MayHaveRun(claim)),
            ClaimState::Recorded { outcome } => Resolution::of(ClaimOutcome::Recorded(outcome)),
            ClaimState::Released => match self.expect_released(&row, &claim).await {
                Ok(before) => Resolution::Retry(before),
                Err(err) => Resolution::refused(err),
            },
        }
    }

    /// Returns the expectation for the write of a claim that takes over a released row.
    async fn expect_released(&self, row: &Row, claim: &Claim) -> Result<Expected> {
        if self.epochs.is_expired(claim.epoch) {
            // A sweep may delete the row in this epoch, after which the row of another claim can reach
            // the same version. So the row is deleted first, as a sweep would do.
            self.delete_expired(row).await?;
            return Ok(Expected::Absent);
        }
        Ok(Expected::Released { version: row.version, epoch: claim.epoch })
    }

    /// Records the outcome of a request that ran or may have run, to answer its repeats.
    ///
    /// If this fails, a repeat gets the answer that the request may have run. The claim stays held, and
    /// the call may be repeated.
    ///
    /// # Errors
    ///
    /// The table's error after the last try, or `Error::Unavailable` if the claim is not in the table.
    pub async fn record(&self, held: &HeldClaim, outcome: StoredOutcome) -> Result<()> {
        let Some(version) = held.version else {
            return Err(claim_missing());
        };
        let outcome = outcome.bounded(self.options.max_body_bytes);
        let claim = held.in_state(ClaimState::Recorded { outcome });
        match self.write(&held.key, Expected::Own { version }, &claim, Millis::MAX).await {
            Ok(Written::Done) => Ok(()),
            // An earlier try took effect and its answer was lost.
            Ok(Written::Conflict(Some(row)))
                if Claim::decode(&row)?.attempt == held.claim.attempt =>
            {
                Ok(())
            }
            Ok(Written::Conflict(_)) => Err(claim_missing()),
            Err(failure) => Err(failure.err),
        }
    }

    /// Frees the key of a request that is known not to have run, so that a repeat may run.
    ///
    /// This also settles a claim in doubt: if it was written, it is marked as released; if not, its
    /// write is prevented from taking effect later. If this fails, it may be called again at any time.
    ///
    /// # Errors
    ///
    /// The table's error after the last try.
    pub async fn release(&self, held: &HeldClaim) -> Result<()> {
        let released = held.in_state(ClaimState::Released);
        // If a claim is in doubt, its row may belong to another claim, whatever its version. So the
        // claim's own write is first prevented from taking effect, by a write with the same
        // expectation. Only a row with the attempt's id is known to be the claim's own.
        let mut expected = match held.version {
            Some(version) => Expected::Own { version },
            None => held.before,
        };
        for _ in 0..self.options.max_tries {
            let written = self.write(&held.key, expected, &released, Millis::MAX).await;
            let current = match written.map_err(|failure| failure.err)? {
                Written::Done => return Ok(()),
                Written::Conflict(current) => current,
            };
            let Some(row) = current else {
                // The row that the claim expects was deleted, so the claim cannot take effect any more.
                return Ok(());
            };
            let claim = Claim::decode(&row)?;
            if claim.attempt != held.claim.attempt || claim.state != ClaimState::Claimed {
                return Ok(());
            }
            expected = Expected::Own { version: row.version };
        }
        Err(keeps_changing())
    }
}

/// `Resolution` is the way to proceed after a claim's write conflicted with another row.
enum Resolution {
    /// The claim is to be tried again with this expectation.
    Retry(Expected),
    /// The outcome is known.
    Final(Box<ClaimOutcome>),
}

impl Resolution {
    fn of(outcome: ClaimOutcome) -> Self {
        Resolution::Final(Box::new(outcome))
    }

    fn refused(err: Error) -> Self {
        Resolution::of(ClaimOutcome::Refused { err, doubtful: None })
    }
}

fn keeps_changing() -> Error {
    Error::Unavailable { message: "the claim's row kept changing".to_owned() }
}

fn claim_missing() -> Error {
    Error::Unavailable { message: "the claim is not in the table".to_owned() }
}
