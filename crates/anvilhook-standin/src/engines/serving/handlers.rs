//! Handlers of the engine's completion, resume and cancel calls, and the router of all its calls.

use std::sync::Arc;

use anvilhook_core::attempts::{ATTEMPT_HEADER, AttemptId};
use anvilhook_core::units::Millis;
use anvilhook_engine::wire::{
    CACHE_EVENTS_PATH, COMPLETIONS_PATH, ChatAnswer, ChatChoice, ChatMessage, ChatRequest,
    ChatUsage, KV_PATH, ORDERS_PATH, PRIORITY_HEADER, REPORT_PATH, STATE_PATH, STREAMS_PATH,
};
use anvilhook_http::answers;
use anvilhook_http::collecting::collect_body;
use http::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::server::IntoResponse;
use volo_http::server::extract::Query;
use volo_http::server::param::PathParams;
use volo_http::server::response::sse::Sse;
use volo_http::server::route::{Router, get, post};
use volo_http::utils::Extension;

use super::controls;
use super::feeds::Feed;
use super::hubs::Reader;
use super::ledgers::AttemptEnd;
use super::servers::Engine;
use super::texts::whole_text;
use crate::faults::{Fault, FaultPlan, FaultyAnswers, WholeAnswer, attempt_in, echo, peer_of};

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The maximum time to receive a request body.
const BODY_TIMEOUT: Millis = Millis::from_secs(30);

/// The priority of a request without a priority header.
const DEFAULT_PRIORITY: u8 = 1;

/// `After` is the query of calls that request the events after a number.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(super) struct After {
    #[serde(default)]
    pub(super) after: u64,
}

/// Creates the router of an engine.
pub(super) fn router(engine: &Arc<Engine>) -> Router {
    Router::new()
        .route(COMPLETIONS_PATH, post(complete))
        .route(format!("{STREAMS_PATH}/{{attempt}}"), get(resume).delete(cancel))
        .route(STATE_PATH, get(controls::state))
        .route(REPORT_PATH, get(controls::report))
        .route(CACHE_EVENTS_PATH, get(controls::cache_events))
        .route(ORDERS_PATH, post(controls::order))
        .route(format!("{KV_PATH}/{{attempt}}"), get(controls::export_kv).post(controls::import_kv))
        .layer(Extension(engine.clone()))
}

async fn complete(
    Extension(engine): Extension<Arc<Engine>>,
    peer: Address,
    req: Request,
) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let Some(attempt) = attempt_in(&parts.headers) else {
        return answers::text(StatusCode::BAD_REQUEST, format!("{ATTEMPT_HEADER}: expected an id"));
    };
    let faulty = engine.faulty(attempt, &peer, engine.front.switches().take());
    let chat: ChatRequest = match read_json(body).await {
        Ok(chat) => chat,
        Err(message) => return faulty.echo(answers::text(StatusCode::BAD_REQUEST, message)),
    };
    if let Some(answer) = faulty.before_run().await {
        return answer;
    }
    if faulty.fault() == Some(Fault::Crash) {
        engine.crash().await;
        return std::future::pending().await;
    }
    let reader = match engine.hub.submit(attempt, priority_in(&parts.headers), &chat) {
        Ok(reader) => reader,
        Err(refused) => return faulty.refusal(&refused.to_string()),
    };
    if chat.stream { stream(&engine, faulty, reader, 0).await } else { whole(faulty, reader).await }
}

async fn whole(faulty: FaultyAnswers, mut reader: Reader) -> Response<Body> {
    let ended = reader.end().await;
    faulty.connection.block_if_silent().await;
    if !matches!(ended, AttemptEnd::Finished | AttemptEnd::Prefilled) {
        // A dropped request has no answer: its caller sees a closed connection.
        faulty.connection.close();
        return std::future::pending().await;
    }
    let prompt = &reader.prompt;
    let answer = ChatAnswer {
        id: prompt.attempt.to_string(),
        model: prompt.model.clone(),
        choices: vec![ChatChoice {
            index: 0,
            message: ChatMessage {
                role: "assistant".to_owned(),
                content: whole_text(prompt.digest, prompt.output.0),
            },
            finish_reason: "length".to_owned(),
        }],
        usage: ChatUsage { prompt_tokens: prompt.tokens.0, completion_tokens: prompt.output.0 },
    };
    faulty.whole(WholeAnswer::json(StatusCode::OK, &answer)).await
}

async fn stream(
    engine: &Engine,
    faulty: FaultyAnswers,
    reader: Reader,
    after: u64,
) -> Response<Body> {
    if let Some(fault) = faulty.fault()
        && let Some(answer) = faulty.before_first_byte(fault).await
    {
        return answer;
    }
    let connection = faulty.connection.clone();
    let feed = Feed::new(reader, engine.front.clone(), connection, faulty.plan, after);
    faulty.echo(Sse::new(feed.into_events()).into_response())
}

async fn resume(
    Extension(engine): Extension<Arc<Engine>>,
    peer: Address,
    PathParams(attempt): PathParams<String>,
    Query(query): Query<After>,
) -> Response<Body> {
    let Ok(attempt) = attempt.parse::<AttemptId>() else { return not_found() };
    let faulty = engine.faulty(attempt, &peer, engine.resumes.take());
    if let Some(answer) = faulty.before_run().await {
        return answer;
    }
    match engine.hub.resume(attempt) {
        Some(reader) => stream(&engine, faulty, reader, query.after).await,
        None => faulty.echo(not_found()),
    }
}

async fn cancel(
    Extension(engine): Extension<Arc<Engine>>,
    PathParams(attempt): PathParams<String>,
    req: Request,
) -> Response<Body> {
    let Ok(attempt) = attempt.parse::<AttemptId>() else { return not_found() };
    engine.hub.cancel(attempt, AttemptEnd::Cancelled);
    echo(req.headers(), no_content())
}

impl Engine {
    pub(super) fn faulty(
        &self,
        attempt: AttemptId,
        peer: &Address,
        plan: Option<FaultPlan>,
    ) -> FaultyAnswers {
        let connection = self.front.connections().get(peer_of(peer));
        FaultyAnswers { attempt, plan, connection }
    }
}

fn priority_in(headers: &HeaderMap) -> u8 {
    let named = headers.get(PRIORITY_HEADER).and_then(|value| value.to_str().ok());
    named.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_PRIORITY)
}

pub(super) async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, String> {
    let body = collect_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let body = body.map_err(|err| err.to_string())?;
    serde_json::from_slice(&body).map_err(|err| err.to_string())
}

pub(super) fn not_found() -> Response<Body> {
    answers::text(StatusCode::NOT_FOUND, "not known here")
}

pub(super) fn no_content() -> Response<Body> {
    let mut answer = Response::new(Body::empty());
    *answer.status_mut() = StatusCode::NO_CONTENT;
    answer
}
