//! Requests whose answers are sent in one piece, not streamed.

use anvilhook_core::units::Clock;
use anvilhook_engine::{Attempt, Error, Upstreams, WholeAnswer};
use http::StatusCode;
use rand_chacha::ChaCha8Rng;

use super::attempts::{Proxy, Sending};
use super::failures::Failure;
use super::requests::ProxyRequest;

/// `SendWhole` sends attempts whose answers are not streamed.
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
    /// Runs a request and returns its complete answer.
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

/// Checks that the body of a completion contains the attempt's id, as its head did. A body that was
/// mixed up with another attempt's head would leak one caller's answer to another.
pub(super) fn check_completion(answer: &WholeAnswer, attempt: &Attempt) -> Result<(), Error> {
    let id = attempt.id.to_string();
    let names_attempt = answer.body.windows(id.len()).any(|window| window == id.as_bytes());
    if names_attempt {
        Ok(())
    } else {
        Err(Error::invalid_answer("its body belongs to another attempt"))
    }
}
