//! At most once: a keyed request is claimed before it is sent, and its outcome recorded after.

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

/// How long an answer waits for its outcome to be recorded. A repeat that comes sooner hears that
/// the request may have run, which is true.
const RECORD_WAIT: Millis = Millis(500);

/// How often an outcome is written again while the table is down.
pub(super) const SETTLE_TRIES: u32 = 20;

/// The pause before the second try; each further one is longer by as much.
pub(super) const SETTLE_PAUSE: Millis = Millis(250);

/// `ClaimRequest` is what a claim is made for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The account, so that two accounts can't meet in one key.
    pub account: AccountName,
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: String,
    /// The digest of the request's method, path and body.
    pub digest: BodyDigest,
    /// When the request's deadline has passed.
    pub deadline: Millis,
}

/// `Claimed` is what became of a claim.
#[derive(Clone, Debug)]
pub enum Claimed<T> {
    /// This request may be sent, once.
    Granted(T),
    /// A request with the key was answered.
    Recorded(WholeAnswer),
    /// A request with the key was answered, and its answer was too large to be kept.
    NotKept,
    /// A request with the key may have run, and its outcome is not known yet.
    Unknown,
    /// The key was used for another request.
    Reused,
}

/// `Claims` makes and settles claims over all instances.
pub trait Claims: Clone + Send + Sync + 'static {
    /// What holds a granted claim.
    type Claim: Send + Sync + 'static;

    /// Makes a claim. An error means that it can't be known whether it was made; then the request
    /// must not be sent.
    fn claim(
        &self,
        req: &ClaimRequest,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<Claimed<Self::Claim>, String>> + Send;

    /// Records the outcome of a request that ran.
    fn record(
        &self,
        claim: &Self::Claim,
        answer: &WholeAnswer,
    ) -> impl Future<Output = Result<(), String>> + Send;

    /// Gives up the claim of a request that has not run.
    fn release(&self, claim: &Self::Claim) -> impl Future<Output = Result<(), String>> + Send;
}

/// `NoClaims` stands in where there is no table: no keyed request can be claimed.
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
    /// Has a keyed request answered at most once over all instances.
    ///
    /// # Errors
    ///
    /// A `Failure`. It is "not run" only if neither this request nor an earlier one with the key
    /// can have run.
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
                let message = "the request ran, and its answer was too large to be kept";
                let failure = Failure::not_run(Code::AnswerNotKept, message);
                return Err(Failure { verdict: Verdict::Ran, ..failure });
            }
            Claimed::Unknown => return Err(self.key_in_flight()),
            Claimed::Reused => {
                let message = "the idempotency key was used with another request";
                return Err(Failure::not_run(Code::KeyReused, message));
            }
        };

        let result = self.answer_whole(req, rng).await;
        // The settling goes on by itself if it takes longer.
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
            Ok(Err(err)) => format!("a task failed: {err}"),
            Err(_elapsed) => {
                // A claim that stands after all must not hold off the caller's repeats.
                tokio::spawn(release_late(claims.clone(), claiming));
                "the table did not answer in time".to_owned()
            }
        };
        let message = format!("the idempotency key can't be claimed: {message}");
        let failure = Failure::not_run(Code::ClaimsUnavailable, message);
        Err(failure.retry_after(self.options.retry_after))
    }

    fn key_in_flight(&self) -> Failure {
        let message = "a request with this idempotency key may have run; its outcome is not known";
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

/// Gives up a claim that nobody waits for any more. Its request was not sent.
async fn release_late<K: Claims>(
    claims: K,
    claiming: JoinHandle<Result<Claimed<K::Claim>, String>>,
) {
    if let Ok(Ok(Claimed::Granted(claim))) = claiming.await {
        let not_run = Failure::not_run(Code::ClaimsUnavailable, "the claim came too late");
        settle(claims, claim, Err(not_run)).await;
    }
}

/// Records what became of a claimed request. What may have run keeps its claim without an outcome.
async fn settle<K: Claims>(claims: K, claim: K::Claim, result: Result<WholeAnswer, Failure>) {
    for turn in 1..=SETTLE_TRIES {
        let settled = match &result {
            Ok(answer) => claims.record(&claim, answer).await,
            Err(failure) if failure.verdict == Verdict::NotRun => claims.release(&claim).await,
            Err(_) => return,
        };
        let Err(message) = settled else { return };
        // Until it is settled, a repeat hears that the request may have run.
        log::warn!("a claim is not settled after {turn} tries: {message}");
        tokio::time::sleep(SETTLE_PAUSE.as_duration() * turn).await;
    }
}
