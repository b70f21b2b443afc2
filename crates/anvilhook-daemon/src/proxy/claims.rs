//! At most once: a keyed request is claimed before it is sent, and its outcome recorded after.

use anvilhook_core::Verdict;
use anvilhook_core::names::{AccountName, ServiceName};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::{Upstreams, WholeAnswer};
use rand_chacha::ChaCha8Rng;

use super::attempts::{Proxy, ProxyRequest};
use super::failures::{Code, Failure};

/// How long an answer waits for its outcome to be recorded. A repeat that comes sooner hears that
/// the request may have run, which is true.
const RECORD_WAIT: Millis = Millis(500);

/// `ClaimRequest` is what a claim is made for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The account, so that two accounts can't meet in one key.
    pub account: AccountName,
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
    pub key: String,
    /// The SHA-256 digest of the request's method, path and body.
    pub digest: [u8; 32],
}

/// `Claimed` is what became of a claim.
#[derive(Clone, Debug)]
pub enum Claimed<T> {
    /// This request may be sent, once.
    Granted(T),
    /// A request with the key was answered.
    Recorded(WholeAnswer),
    /// A request with the key may have run, and its outcome is not known yet.
    Unknown,
    /// The key was used for another request.
    Reused,
}

/// `Claims` makes and settles claims over all instances.
pub trait Claims: Clone + Send + Sync + 'static {
    /// What holds a granted claim.
    type Claim: Clone + Send + Sync + 'static;

    /// Makes a claim. An error means that it can't be known whether it was made; then the request
    /// must not be sent.
    fn claim(
        &self,
        req: &ClaimRequest,
        rng: &mut ChaCha8Rng,
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

    async fn claim(
        &self,
        _req: &ClaimRequest,
        _rng: &mut ChaCha8Rng,
    ) -> Result<Claimed<()>, String> {
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
            Claimed::Unknown => return Err(self.key_in_flight()),
            Claimed::Reused => {
                let message = "the idempotency key was used with another request";
                return Err(Failure::not_run(Code::KeyReused, message));
            }
        };

        let result = self.answer_whole(req, rng).await;
        let settling = settle(claims.clone(), claim, result.clone());
        // The settling goes on by itself if it takes longer.
        let settling = tokio::spawn(settling);
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
        let time_left = self.time_left(req).as_duration();
        let message = match tokio::time::timeout(time_left, claims.claim(claim_req, rng)).await {
            Ok(Ok(claimed)) => return Ok(claimed),
            Ok(Err(message)) => message,
            Err(_elapsed) => "the table did not answer in time".to_owned(),
        };
        // A claim that was made all the same stays without an outcome, and holds off its repeats.
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

/// Records what became of a claimed request. What may have run keeps its claim without an outcome.
async fn settle<K: Claims>(claims: K, claim: K::Claim, result: Result<WholeAnswer, Failure>) {
    let settled = match &result {
        Ok(answer) => claims.record(&claim, answer).await,
        Err(failure) if failure.verdict == Verdict::NotRun => claims.release(&claim).await,
        Err(_) => Ok(()),
    };
    if let Err(message) = settled {
        log::warn!("a claim could not be settled: {message}");
    }
}
