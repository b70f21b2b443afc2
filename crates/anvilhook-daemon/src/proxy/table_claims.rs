//! Stores claims in the platform's table.

use anvilhook_core::Verdict;
use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::{Clock, WallTime};
use anvilhook_engine::WholeAnswer;
use anvilhook_platform::Table;
use anvilhook_store::claims::{self, ClaimKey, ClaimOutcome, HeldClaim, StoredBody, StoredOutcome};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};

use super::claims::{ClaimRequest, Claimed, Claims, SETTLE_PAUSE, SETTLE_TRIES};

/// Marks an answer as the recorded answer of an earlier request.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("x-anvilhook-replayed");

/// `TableClaims` makes claims in the platform's table.
#[derive(Clone, Debug)]
pub struct TableClaims<T, C> {
    claims: claims::Claims<T, C>,
    wall_clock: fn() -> WallTime,
}

impl<T: Table, C: Clock> TableClaims<T, C> {
    /// Creates claims on top of the store's claims of an instance. `wall_clock` supplies the times
    /// in the rows, which are only for people who read the table.
    pub fn new(claims: claims::Claims<T, C>, wall_clock: fn() -> WallTime) -> Self {
        Self { claims, wall_clock }
    }

    /// Releases a claim that may or may not have been written, as soon as the table answers again.
    fn release_later(&self, doubtful: HeldClaim) {
        let claims = self.claims.clone();
        tokio::spawn(async move {
            for tries in 1..=SETTLE_TRIES {
                match claims.release(&doubtful).await {
                    Ok(()) => return,
                    Err(err) => log::warn!("claim not released after {tries} tries: {err}"),
                }
                tokio::time::sleep(SETTLE_PAUSE.as_duration() * tries).await;
            }
        });
    }
}

impl<T: Table, C: Clock> Claims for TableClaims<T, C> {
    type Claim = HeldClaim;

    async fn claim(
        &self,
        req: &ClaimRequest,
        attempt: AttemptId,
    ) -> Result<Claimed<HeldClaim>, String> {
        let req = claims::ClaimRequest {
            key: ClaimKey::new(&req.account, &req.service, &req.key),
            body: req.digest.clone(),
            attempt,
            claimed_at: (self.wall_clock)(),
            deadline: req.deadline,
        };
        match self.claims.claim(&req).await {
            ClaimOutcome::Won(held) => Ok(Claimed::Granted(held)),
            ClaimOutcome::Recorded(outcome) => Ok(replay(&outcome)),
            ClaimOutcome::MayHaveRun(_) => Ok(Claimed::Unknown),
            ClaimOutcome::KeyReused(_) => Ok(Claimed::Reused),
            ClaimOutcome::Refused { err, doubtful } => {
                if let Some(doubtful) = doubtful {
                    self.release_later(doubtful);
                }
                Err(err.to_string())
            }
        }
    }

    async fn record(&self, claim: &HeldClaim, answer: &WholeAnswer) -> Result<(), String> {
        let content_type = answer.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let is_success = answer.status.is_success();
        let outcome = StoredOutcome {
            verdict: if is_success { Verdict::Ran } else { Verdict::MayHaveRun },
            status: answer.status.as_u16(),
            content_type,
            body: StoredBody::from(answer.body.as_ref()),
        };
        self.claims.record(claim, outcome).await.map_err(|err| err.to_string())
    }

    async fn release(&self, claim: &HeldClaim) -> Result<(), String> {
        self.claims.release(claim).await.map_err(|err| err.to_string())
    }
}

/// Returns the recorded answer, or `NotKept` if its body was not stored.
fn replay(outcome: &StoredOutcome) -> Claimed<HeldClaim> {
    let (Some(body), Ok(status)) = (outcome.body.bytes(), StatusCode::from_u16(outcome.status))
    else {
        return Claimed::NotKept;
    };
    let mut headers = HeaderMap::new();
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    let content_type = outcome.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(content_type)) = content_type {
        headers.insert(CONTENT_TYPE, content_type);
    }
    Claimed::Recorded(WholeAnswer { status, headers, body })
}
