//! Requests that two engines share: one reads the prompt, another generates.
//!
//! The KV cache goes from engine to engine. All parts of an attempt carry its one id, by which the
//! engine that generates finds the cache. A part that fails ends the attempt; the next one begins
//! anew, under another id.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::routing::{Phase, UpstreamState};
use anvilhook_core::units::Clock;
use anvilhook_engine::{Attempt, Error, KvPull, Upstreams, WholeAnswer};
use bytes::Bytes;
use http::StatusCode;
use rand_chacha::ChaCha8Rng;
use serde_json::{Map, Value};

use super::attempts::{Proxy, Sending};
use super::cancels::{Held, Running};
use super::choices::Progress;
use super::requests::ProxyRequest;
use super::whole::check_completion;

/// `Sent` is what came of an attempt, with the engine that it came from.
type Sent<S, U> = (Running<U>, Result<<S as Sending>::Answer, Error>);

impl<C: Clock, U: Upstreams> Proxy<C, U> {
    /// Sends an attempt whose prompt the engine of `prefill` reads and another engine answers.
    ///
    /// The request is counted in at each engine from before it is called until it needs it no more,
    /// and both are held while the KV cache goes over: a drain of either waits for it. Dropping the
    /// future cancels the attempt where it is held.
    pub(super) async fn send_split<S: Sending>(
        &self,
        req: &ProxyRequest,
        sending: &S,
        mut prefill: Running<U>,
        progress: &mut Progress,
        rng: &mut ChaCha8Rng,
    ) -> Sent<S, U> {
        let id = prefill.attempt();
        let reading = self.attempt(req, prefill.upstream(), progress.attempts, id);
        let read = match self.read_prompt(req, reading).await {
            Ok(read) => read,
            Err(err) => return (prefill, Err(err)),
        };
        // What the engine does not take for a good request is for the caller to hear.
        if read.status != StatusCode::OK {
            return (prefill, Ok(S::whole(read)));
        }
        self.record(&prefill, true);

        // A part of the request has run. Whatever is refused from here on, the caller must not be
        // told that nothing did.
        progress.verdict = progress.verdict.max(Verdict::MayHaveRun);
        let Some(held) = self.hold_for_decode(req, prefill.upstream(), progress, rng) else {
            return (prefill, Err(none_generates()));
        };
        let decode = Running::new(self.upstreams.clone(), id, held, true);
        let answering = self.attempt(req, decode.upstream(), progress.attempts, id);
        let pull = KvPull {
            attempt: id,
            from: prefill.upstream().address(),
            to: answering.address,
            connection: answering.connection,
            timeout: req.service.spec.first_byte_ms.min(self.time_left(req)),
        };
        if let Err(err) = self.upstreams.pull_kv(&pull).await {
            // The engine that says why it could not fetch the cache is well itself.
            let is_answer = matches!(err, Error::InvalidAnswer { .. });
            return (if is_answer { prefill } else { decode }, Err(err));
        }
        prefill.ended();
        drop(prefill);

        // An engine that has lost the cache or changed its role since refuses before running.
        let answering = Attempt { bounds: self.bounds(req, self.time_left(req)), ..answering };
        let answer = sending.send(&answering).await;
        (decode, answer)
    }

    async fn read_prompt(&self, req: &ProxyRequest, whole: Attempt) -> Result<WholeAnswer, Error> {
        let Some(body) = prompt_only(&req.body) else {
            return Err(Error::Refused {
                status: StatusCode::BAD_REQUEST.as_u16(),
                message: "the body is no chat request".to_owned(),
            });
        };
        let reading = Attempt { body, ..whole };
        let read = self.upstreams.send_whole(&reading).await?;
        if read.status.is_success() {
            check_completion(&read, &reading)?;
        }
        Ok(read)
    }

    /// Chooses the engine that generates and counts the request in there.
    fn hold_for_decode(
        &self,
        req: &ProxyRequest,
        prefill: &Arc<UpstreamState>,
        progress: &Progress,
        rng: &mut ChaCha8Rng,
    ) -> Option<Held> {
        let route = req.route();
        let mut shut_out = progress.tried.clone();
        shut_out.push(prefill.name().clone());
        loop {
            let now = self.clock.now();
            let table = &req.service.table;
            let chosen = table.choose_for(Phase::Decode, &route, &shut_out, now, rng)?;
            let work = chosen.work(Phase::Decode, req.work);
            if let Some(held) = Held::try_new(chosen.upstream, work, now) {
                return Some(held);
            }
            shut_out.push(chosen.upstream.name().clone());
        }
    }
}

/// Returns the body that asks an engine only to read the prompt.
fn prompt_only(body: &[u8]) -> Option<Bytes> {
    let mut fields: Map<String, Value> = serde_json::from_slice(body).ok()?;
    fields.insert("max_tokens".to_owned(), Value::from(0));
    fields.insert("stream".to_owned(), Value::from(false));
    serde_json::to_vec(&fields).ok().map(Bytes::from)
}

fn none_generates() -> Error {
    Error::Refused {
        status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        message: "no engine generates for one that has read the prompt".to_owned(),
    }
}
