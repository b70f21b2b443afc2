//! Handlers of the plain service's calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use anvilhook_core::attempts::ATTEMPT_HEADER;
use anvilhook_core::orders::Role;
use anvilhook_core::reports::LoadReport;
use anvilhook_core::units::{Clock, Millis, Tokens};
use anvilhook_engine::wire::REPORT_PATH;
use anvilhook_http::answers;
use anvilhook_http::collecting::collect_body;
use http::request::Parts;
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use volo::net::Address;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::server::route::{Router, get};
use volo_http::utils::Extension;

use super::ledgers::{Run, body_digest};
use super::servers::Plain;
use crate::faults::{Fault, FaultyAnswers, WholeAnswer, attempt_in, echo, peer_of};

/// The header of the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// The maximum size of a call's body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The maximum time to receive a call's body.
const BODY_TIMEOUT: Millis = Millis::from_secs(30);

/// `PlainAnswer` is the answer to a call that the plain service ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainAnswer {
    /// The method and the path.
    pub call: String,
    /// The digest of the call's body, by which checks detect an answer to another call; see
    /// `body_digest`.
    pub body: u64,
    /// The number of the run among all runs of the service, from 1.
    pub run: usize,
}

/// Creates the router of a plain service. It serves the load report and runs every other call.
pub(super) fn router(plain: &Arc<Plain>) -> Router {
    Router::new().route(REPORT_PATH, get(report)).fallback(run).layer(Extension(plain.clone()))
}

async fn run(
    Extension(plain): Extension<Arc<Plain>>,
    peer: Address,
    req: Request,
) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let Some(attempt) = attempt_in(&parts.headers) else {
        return answers::text(StatusCode::BAD_REQUEST, format!("{ATTEMPT_HEADER}: expected an id"));
    };
    let connection = plain.front.connections().get(peer_of(&peer));
    let faulty = FaultyAnswers { attempt, plan: plain.front.switches().take(), connection };
    let body = match collect_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(err) => return faulty.echo(answers::text(StatusCode::BAD_REQUEST, err.to_string())),
    };
    if let Some(answer) = faulty.before_run().await {
        return answer;
    }
    let Some(_open) = OpenCall::try_new(&plain.open, plain.max_open) else {
        return faulty.refusal("too many calls are open");
    };

    // From here on the call counts as run, even if its answer is lost.
    let call = call_of(&parts);
    let body = body_digest(&body);
    let key = parts.headers.get(KEY_HEADER).and_then(|key| key.to_str().ok()).map(str::to_owned);
    let at = plain.clock.now();
    let run = plain.ledger.push(Run { attempt, key, call: call.clone(), body, at });
    if faulty.fault() == Some(Fault::Crash) {
        plain.front.crash().await;
        return std::future::pending().await;
    }
    if plain.run_time > Millis::ZERO {
        tokio::time::sleep(plain.run_time.as_duration()).await;
    }
    plain.front.wait_while_paused().await;
    faulty.connection.block_if_silent().await;
    faulty.whole(WholeAnswer::json(StatusCode::OK, &PlainAnswer { call, body, run })).await
}

/// Returns the load in the engines' report format, with zero or none in the fields that apply only
/// to engines.
async fn report(Extension(plain): Extension<Arc<Plain>>, req: Request) -> Response<Body> {
    let report = LoadReport {
        boot: 1,
        seq: plain.reports.fetch_add(1, Ordering::AcqRel) + 1,
        age: Millis::ZERO,
        role: Role::Mixed,
        model: None,
        leaving: plain.leaving.load(Ordering::Acquire),
        queued_requests: 0,
        queued_prefill: Tokens(0),
        running_requests: plain.open.load(Ordering::Acquire),
        running_decode: Tokens(0),
        prefill_tokens_per_s: 0,
        decode_step_ms: 0.0,
        decode_step_per_request_ms: 0.0,
        max_batch: plain.max_open,
    };
    echo(req.headers(), answers::json(StatusCode::OK, &report))
}

/// `OpenCall` counts a call as open until it is dropped.
struct OpenCall<'a>(&'a AtomicU32);

impl<'a> OpenCall<'a> {
    fn try_new(open: &'a AtomicU32, max_open: u32) -> Option<Self> {
        let counted = open.fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
            (open < max_open).then(|| open + 1)
        });
        counted.is_ok().then_some(Self(open))
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

fn call_of(parts: &Parts) -> String {
    format!("{} {}", parts.method, parts.uri.path())
}
