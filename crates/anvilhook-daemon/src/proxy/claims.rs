//! At-most-once execution: a request with an idempotency key is claimed before it is sent, and its
//! outcome is recorded afterwards.

use anvilhook_core::Verdict;
use anvilhook_core::attempts::AttemptId;
use anvilhook_core::names::{AccountName, ServiceName};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::{Upstreams, WholeAnswer};
use anvilhook_store::claims::BodyDigest;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;

use super::attempts::Proxy;
use super::failures::{Code, Failure};
use super::requests::ProxyRequest;

/// How long an answer is delayed until its outcome is recorded. A repeat that arrives before the
/// record is answered that the request may have run, which is correct.
const RECORD_WAIT: Millis = Millis(500);

/// How many times settling a claim is tried while the table is unavailable.
pub(super) const SETTLE_TRIES: u32 = 20;

/// The pause before the second try; each later pause is longer by the same amount.
pub(super) const SETTLE_PAUSE: Millis = Millis(250);

/// `ClaimRequest` identifies the request that a claim is made for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The account; keys are separate for each account.
    pub account: AccountName,
    /// The service.
    pub service: ServiceName,
    /// The caller's idempotency key.
    pub key: String,
    /// The digest of the request's method, path and body.
    pub digest: BodyDigest,
    /// The request's deadline.
    pub deadline: Millis,
}

/// `Claimed` is the outcome of a claim.
#[derive(Clone, Debug)]
pub enum Claimed<T> {
    /// The claim was granted: this request may be sent once.
    Granted(T),
    /// An earlier request with the key was answered; this is the recorded answer.
    Recorded(WholeAnswer),
    /// An earlier request with the key was answered, but its answer was too large to be stored.
    NotKept,
    /// An earlier request with the key may have run, and its outcome is not known yet.
    Unknown,
    /// The key was already used for a different request.
    Reused,
}

/// `Claims` makes and settles claims that are valid across all instances.
pub trait Claims: Clone + Send + Sync + 'static {
    /// A granted claim.
    type Claim: Send + Sync + 'static;

    /// Makes a claim. After an error it is unknown whether the claim was made, so the request must
    /// not be sent.
    fn claim(
        &self,
        req: &ClaimRequest,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<Claimed<Self::Claim>, String>> + Send;

    /// Records the answer to a request that ran.
    fn record(
        &self,
        claim: &Self::Claim,
        answer: &WholeAnswer,
    ) -> impl Future<Output = Result<(), String>> + Send;

    /// Releases the claim of a request that has not run.
    fn release(&self, claim: &Self::Claim) -> impl Future<Output = Result<(), String>> + Send;
}

/// `NoClaims` is used where there is no table; it rejects every claim.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoClaims;

impl Claims for NoClaims {
    type Claim = ();

    async fn claim(&self, _req: &ClaimRequest, _attempt: AttemptId) -> Result<Claimed<()>, String> {
        Err("this instance has no table".to_owned())
    }

    async fn record(&self, _claim: &(), _answer: &WholeAnswer) -> Result<(), String> {
        Ok(())
    }

    async fn release(&self, _claim: &()) -> Result<(), String> {
        Ok(())
    }
}

impl<C: Clock, U: Upstreams> Proxy<C, U> {
    /// Runs a request with an idempotency key at most once across all instances.
    ///
    /// # Errors
    ///
    /// A `Failure`. Its verdict is `NotRun` only if neither this request nor an earlier one with
    /// the key can have run.
    pub async fn answer_claimed<K: Claims>(
        &self,
        claims: &K,
        claim_req: &ClaimRequest,
        req: &ProxyRequest,
        rng: &mut ChaCha8Rng,
    ) -> Result<WholeAnswer, Failure> {
        let claim = match self.claim(claims, claim_req, req, rng).await? {
            Claimed::Granted(claim) => claim,
            Claimed::Recorded(answer) => return Ok(answer),
            Claimed::NotKept => {
                let message = "the request ran, but its answer was too large to be stored";
                let failure = Failure::not_run(Code::AnswerNotKept, message);
                return Err(Failure { verdict: Verdict::Ran, ..failure });
            }
            Claimed::Unknown => return Err(self.key_in_flight()),
            Claimed::Reused => {
                let message = "the idempotency key was already used for a different request";
                return Err(Failure::not_run(Code::KeyReused, message));
            }
        };

        let result = self.answer_whole(req, rng).await;
        // The task goes on in the background if it takes longer than the wait.
        let settling = tokio::spawn(settle(claims.clone(), claim, result.clone()));
        let _ = tokio::time::timeout(RECORD_WAIT.as_duration(), settling).await;
        result
    }

    async fn claim<K: Claims>(
        &self,
        claims: &K,
        claim_req: &ClaimRequest,
        req: &ProxyRequest,
        rng: &mut ChaCha8Rng,
    ) -> Result<Claimed<K::Claim>, Failure> {
        let attempt = AttemptId::random(rng);
        let claiming = make_claim(claims.clone(), claim_req.clone(), attempt);
        let mut claiming = tokio::spawn(claiming);
        let time_left = self.time_left(req).as_duration();
        let message = match tokio::time::timeout(time_left, &mut claiming).await {
            Ok(Ok(Ok(claimed))) => return Ok(claimed),
            Ok(Ok(Err(message))) => message,
            Ok(Err(err)) => format!("the claim task failed: {err}"),
            Err(_elapsed) => {
                // A claim that is granted late is released, or it would block the caller's repeats.
                tokio::spawn(release_late(claims.clone(), claiming));
                "the table did not answer in time".to_owned()
            }
        };
        let message = format!("the idempotency key could not be claimed: {message}");
        let failure = Failure::not_run(Code::ClaimsUnavailable, message);
        Err(failure.retry_after(self.options.retry_after))
    }

    fn key_in_flight(&self) -> Failure {
        let message =
            "an earlier request with this idempotency key may have run; its outcome is unknown";
        let failure = Failure::not_run(Code::KeyInFlight, message);
        Failure { verdict: Verdict::MayHaveRun, ..failure }.retry_after(self.options.retry_after)
    }
}

async fn make_claim<K: Claims>(
    claims: K,
    req: ClaimRequest,
    attempt: AttemptId,
) -> Result<Claimed<K::Claim>, String> {
    claims.claim(&req, attempt).await
}

/// Releases a claim that was granted after its request stopped waiting; the request was not sent.
async fn release_late<K: Claims>(
    claims: K,
    claiming: JoinHandle<Result<Claimed<K::Claim>, String>>,
) {
    if let Ok(Ok(Claimed::Granted(claim))) = claiming.await {
        let not_run = Failure::not_run(Code::ClaimsUnavailable, "the claim was granted too late");
        settle(claims, claim, Err(not_run)).await;
    }
}

/// Records the outcome of a claimed request, or releases its claim if it has not run. If it may
/// have run, the claim stays without an outcome.
async fn settle<K: Claims>(claims: K, claim: K::Claim, result: Result<WholeAnswer, Failure>) {
    for tries in 1..=SETTLE_TRIES {
        let settled = match &result {
            Ok(answer) => claims.record(&claim, answer).await,
            Err(failure) if failure.verdict == Verdict::NotRun => claims.release(&claim).await,
            Err(_) => return,
        };
        let Err(message) = settled else { return };
        // Until the claim is settled, a repeat is answered that the request may have run.
        log::warn!("claim not settled after {tries} tries: {message}");
        tokio::time::sleep(SETTLE_PAUSE.as_duration() * tries).await;
    }
}
