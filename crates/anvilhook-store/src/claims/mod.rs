//! Claims: a keyed request that may not be repeated runs at most once, whichever instances it
//! reaches.
//!
//! A caller's repeat commonly lands on another instance, so the memory of a key cannot be local. A
//! request is dispatched only after its claim is known to stand in the platform's table. The claim
//! costs one write before the request runs and one after it, and no read.
//!
//! What keeps this safe when answers are lost and writes land late:
//!
//! - A claim's row is never deleted to free its key. A request that is known not to have run marks
//!   its row as released, and the next claim takes the row over at its version. So a row's version
//!   only grows, and a write that lands late finds another version and does nothing.
//! - Every write of a claim also requires the present epoch (see [`epochs`]). Rows are deleted only
//!   by a sweep, in a later epoch than their last write, so a write from before the deletion can
//!   not land after it on a row that merely has the same version again.
//! - A write whose answer was lost is sent again as it was. If the first took effect the conflict
//!   shows the row with this attempt's id, and if it lands later it does nothing. A read would
//!   leave open whether the write is yet to land.
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

/// `ClaimRequest` is what an instance wants to run.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The caller's key.
    pub key: ClaimKey,
    /// What the caller sent under the key.
    pub body: BodyDigest,
    /// The id of the attempt that is to run. No two claims may share one.
    pub attempt: AttemptId,
    /// The time of day, for people.
    pub claimed_at: WallTime,
    /// When the caller's deadline has passed, on the instance's clock; nothing is tried after it.
    pub deadline: Millis,
}

/// `HeldClaim` is a claim of this process. It is not cloned, so that it is settled once.
#[derive(Debug)]
pub struct HeldClaim {
    key: ClaimKey,
    claim: Claim,
    /// What the claim's write expects to stand before it.
    before: Expected,
    /// The version of the claim's row; none while it is not known whether the claim stands.
    version: Option<u64>,
}

impl HeldClaim {
    /// Returns the claim as it was written.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    fn standing_at(self, version: u64) -> Self {
        Self { version: Some(version), ..self }
    }

    fn in_state(&self, state: ClaimState) -> Claim {
        Claim { state, ..self.claim.clone() }
    }
}

/// `ClaimOutcome` is what became of an attempt to claim a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim stands: the request may be dispatched, once, and must be settled by
    /// `Claims::record` or `Claims::release`.
    Won(HeldClaim),
    /// An earlier request with the key has ended; this is its outcome.
    Recorded(StoredOutcome),
    /// An earlier request with the key may have run, may be running or may yet run. Its outcome is
    /// not known, and perhaps never will be.
    MayHaveRun(Claim),
    /// The key was used with another body. This request was not run.
    KeyReused(Claim),
    /// The claim could not be made. This request was not run, because nothing is dispatched
    /// without a claim that is known to stand.
    Refused {
        /// What the table answered.
        err: Error,
        /// The claim, if it may stand or land later. Until it is released, a repeat hears that the
        /// request may have run; pass it to `Claims::release` when the table answers again.
        doubtful: Option<HeldClaim>,
    },
}

/// `Claims` makes and settles claims for one instance. Clones share what they know of the table.
#[derive(Clone, Debug)]
pub struct Claims<T, C> {
    table: T,
    clock: C,
    instance: InstanceName,
    options: ClaimOptions,
    epochs: Arc<Epochs>,
}

impl<T: Table, C: Clock> Claims<T, C> {
    /// Makes the claims of one instance. The table is not asked yet.
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
    /// // A repeat has an attempt of its own.
    /// req.attempt = AttemptId(2);
    /// assert!(matches!(claims.claim(&req).await, ClaimOutcome::MayHaveRun(_)));
    /// # });
    /// ```
    pub async fn claim(&self, req: &ClaimRequest) -> ClaimOutcome {
        let mut before = Expected::Absent;
        // Each round but the last ends because another instance changed the row meanwhile.
        for _ in 0..self.options.max_tries {
            let held = self.unwritten(req, before);
            let standing = match self.write(&held.key, before, &held.claim, req.deadline).await {
                Ok(Written::Done) => return ClaimOutcome::Won(held.standing_at(before.next())),
                Ok(Written::Standing(standing)) => standing,
                Err(failure) => {
                    let doubtful = failure.in_doubt.then_some(held);
                    return ClaimOutcome::Refused { err: failure.err, doubtful };
                }
            };
            before = match self.judge(req, held, standing).await {
                Judgement::TryAgain(before) => before,
                Judgement::Final(outcome) => return *outcome,
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
            // The write sets it.
            epoch: 0,
            state: ClaimState::Claimed,
        };
        HeldClaim { key: req.key.clone(), claim, before, version: None }
    }

    /// Judges what stands in place of a claim.
    async fn judge(&self, req: &ClaimRequest, held: HeldClaim, standing: Option<Row>) -> Judgement {
        let Some(row) = standing else {
            // The row that was to be taken over has gone.
            return Judgement::TryAgain(Expected::Absent);
        };
        let claim = match Claim::decode(&row) {
            Ok(claim) => claim,
            Err(err) => return Judgement::refused(err),
        };
        if claim.attempt == req.attempt && claim.state == ClaimState::Claimed {
            // The first write took effect and its answer was lost.
            return Judgement::of(ClaimOutcome::Won(held.standing_at(row.version)));
        }
        if claim.body != req.body {
            return Judgement::of(ClaimOutcome::KeyReused(claim));
        }
        match claim.state {
            ClaimState::Claimed => Judgement::of(ClaimOutcome::MayHaveRun(claim)),
            ClaimState::Recorded { outcome } => Judgement::of(ClaimOutcome::Recorded(outcome)),
            ClaimState::Released => match self.expect_released(&row, &claim).await {
                Ok(before) => Judgement::TryAgain(before),
                Err(err) => Judgement::refused(err),
            },
        }
    }

    /// Returns what a claim that takes a released row over must expect.
    async fn expect_released(&self, row: &Row, claim: &Claim) -> Result<Expected> {
        if self.epochs.is_expired(claim.epoch) {
            // A sweep may delete the row in this very epoch, after which the same version can come
            // to stand for another claim. So the row is deleted first, as the sweep would.
            self.delete_expired(row).await?;
            return Ok(Expected::Absent);
        }
        Ok(Expected::Released { version: row.version, epoch: claim.epoch })
    }

    /// Records the outcome of a request that ran or may have run, for its repeats.
    ///
    /// If this fails, a repeat hears that the request may have run. The claim stays held, and the
    /// call may be made again.
    ///
    /// # Errors
    ///
    /// The table's error after the last try, or `Error::Unavailable` if the claim does not stand.
    pub async fn record(&self, held: &HeldClaim, outcome: StoredOutcome) -> Result<()> {
        let Some(version) = held.version else {
            return Err(does_not_stand());
        };
        let outcome = outcome.bounded(self.options.max_body_bytes);
        let claim = held.in_state(ClaimState::Recorded { outcome });
        match self.write(&held.key, Expected::Own { version }, &claim, Millis::MAX).await {
            Ok(Written::Done) => Ok(()),
            // An earlier try took effect and its answer was lost.
            Ok(Written::Standing(Some(row)))
                if Claim::decode(&row)?.attempt == held.claim.attempt =>
            {
                Ok(())
            }
            Ok(Written::Standing(_)) => Err(does_not_stand()),
            Err(failure) => Err(failure.err),
        }
    }

    /// Frees the key of a request that is known not to have run, so that a repeat may run.
    ///
    /// This also settles a claim that is in doubt: it is marked as released if it stands, and kept
    /// from landing later if it does not. If this fails, it may be called again at any time.
    ///
    /// # Errors
    ///
    /// The table's error after the last try.
    pub async fn release(&self, held: &HeldClaim) -> Result<()> {
        let released = held.in_state(ClaimState::Released);
        // The row of a doubtful claim may be another's, whatever its version. Such a claim is first
        // kept from landing, by a write that expects what the claim expects; only a row that shows
        // the attempt's id is known to be its own.
        let mut expected = match held.version {
            Some(version) => Expected::Own { version },
            None => held.before,
        };
        for _ in 0..self.options.max_tries {
            let written = self.write(&held.key, expected, &released, Millis::MAX).await;
            let standing = match written.map_err(|failure| failure.err)? {
                Written::Done => return Ok(()),
                Written::Standing(standing) => standing,
            };
            let Some(row) = standing else {
                // What the claim expects is gone, so it cannot land any more.
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

/// `Judgement` is what follows from the row that stands in place of a claim.
enum Judgement {
    /// The claim is to be tried again on this expectation.
    TryAgain(Expected),
    /// The outcome is known.
    Final(Box<ClaimOutcome>),
}

impl Judgement {
    fn of(outcome: ClaimOutcome) -> Self {
        Judgement::Final(Box::new(outcome))
    }

    fn refused(err: Error) -> Self {
        Judgement::of(ClaimOutcome::Refused { err, doubtful: None })
    }
}

fn keeps_changing() -> Error {
    Error::Unavailable { message: "the claim's row kept changing".to_owned() }
}

fn does_not_stand() -> Error {
    Error::Unavailable { message: "the claim does not stand".to_owned() }
}
