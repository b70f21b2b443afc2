//! Whole answers.

use anvilhook_core::units::Clock;
use anvilhook_engine::{Attempt, Error, Upstreams, WholeAnswer};
use http::StatusCode;
use rand_chacha::ChaCha8Rng;

use super::attempts::{Proxy, Sending};
use super::failures::Failure;
use super::requests::ProxyRequest;

/// `SendWhole` sends attempts whose answers come whole.
struct SendWhole<'a, U> {
    upstreams: &'a U,
    is_chat: bool,
}

impl<U: Upstreams> Sending for SendWhole<'_, U> {
    type Answer = WholeAnswer;

    async fn send(&self, attempt: &Attempt) -> Result<WholeAnswer, Error> {
        let answer = self.upstreams.send_whole(attempt).await?;
        if self.is_chat && answer.status.is_success() {
            check_completion(&answer, attempt)?;
        }
        Ok(answer)
    }

    fn status(answer: &WholeAnswer) -> StatusCode {
        answer.status
    }

    fn whole(answer: WholeAnswer) -> WholeAnswer {
        answer
    }
}

impl<C: Clock, U: Upstreams> Proxy<C, U> {
    /// Has a request answered whole.
    ///
    /// # Errors
    ///
    /// A `Failure` with the verdict over all attempts.
    pub async fn answer_whole(
        &self,
        req: &ProxyRequest,
        rng: &mut ChaCha8Rng,
    ) -> Result<WholeAnswer, Failure> {
        let sending = SendWhole { upstreams: &self.upstreams, is_chat: req.is_chat() };
        let mut answered = self.run(req, &sending, rng).await?;
        answered.running.ended();
        Ok(answered.answer)
    }
}

/// Checks that a completion names its attempt, as its head did: a body behind another's head would
/// give a caller what belongs to another.
pub(super) fn check_completion(answer: &WholeAnswer, attempt: &Attempt) -> Result<(), Error> {
    let id = attempt.id.to_string();
    let names_attempt = answer.body.windows(id.len()).any(|window| window == id.as_bytes());
    if names_attempt {
        Ok(())
    } else {
        Err(Error::invalid_answer("its body belongs to another attempt"))
    }
}
