//! Handlers of the engine's control calls: state, load, cache events, orders and KV caches.

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::orders::{OrderReply, StampedOrder};
use anvilhook_http::answers;
use http::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::server::extract::Query;
use volo_http::server::param::PathParams;
use volo_http::utils::Extension;

use super::handlers::{After, no_content, not_found, read_json};
use super::hubs::KvCache;
use super::pulls::PullError;
use super::servers::{Engine, OrderFault};
use crate::faults::{echo, peer_of};

/// `KvSource` is the query of a call that imports a KV cache.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(super) struct KvSource {
    /// The engine to fetch the KV cache from; without it, the body contains the cache.
    #[serde(default)]
    from: Option<SocketAddr>,
}

pub(super) async fn state(
    Extension(engine): Extension<Arc<Engine>>,
    req: Request,
) -> Response<Body> {
    let state = engine.hub.with_model(|model, now| model.state(now));
    control_answer(req.headers(), state).await
}

pub(super) async fn report(
    Extension(engine): Extension<Arc<Engine>>,
    req: Request,
) -> Response<Body> {
    let report = engine.hub.with_model(|model, now| model.report(now));
    control_answer(req.headers(), report).await
}

pub(super) async fn cache_events(
    Extension(engine): Extension<Arc<Engine>>,
    Query(query): Query<After>,
    req: Request,
) -> Response<Body> {
    let page = engine.hub.with_model(|model, now| model.cache_events(now, query.after));
    control_answer(req.headers(), page).await
}

pub(super) async fn order(
    Extension(engine): Extension<Arc<Engine>>,
    peer: Address,
    req: Request,
) -> Response<Body> {
    let connection = engine.front.connections().get(peer_of(&peer));
    let (parts, body) = req.into_parts();
    let order: StampedOrder = match read_json(body).await {
        Ok(order) => order,
        Err(message) => return answers::text(StatusCode::BAD_REQUEST, message),
    };
    let fault = engine.take_order_fault();
    let reply = deliver(engine, order, fault).await;
    match fault {
        Some(OrderFault::AnsweredLate(late)) => tokio::time::sleep(late.as_duration()).await,
        Some(OrderFault::AnswerLost) => {
            connection.close();
            return std::future::pending().await;
        }
        Some(OrderFault::HeldBack) | None => {}
    }
    control_answer(&parts.headers, Some(reply)).await
}

/// Delivers an order to the engine. A separate task does this, so that an order delayed by the
/// network still arrives after its sender has timed out.
async fn deliver(
    engine: Arc<Engine>,
    order: StampedOrder,
    fault: Option<OrderFault>,
) -> OrderReply {
    let delivery = tokio::spawn(async move {
        if fault == Some(OrderFault::HeldBack) {
            engine.wait_for_release().await;
        }
        engine.hub.with_model(|model, now| model.order(now, &order))
    });
    match delivery.await {
        Ok(reply) => reply,
        Err(err) => OrderReply::Refused { reason: err.to_string() },
    }
}

pub(super) async fn export_kv(
    Extension(engine): Extension<Arc<Engine>>,
    PathParams(attempt): PathParams<String>,
    req: Request,
) -> Response<Body> {
    let Ok(attempt) = attempt.parse::<AttemptId>() else { return not_found() };
    let answer = match engine.hub.export_kv(attempt) {
        Some(cache) if !engine.loses_kv() => answers::json(StatusCode::OK, &cache),
        _ => not_found(),
    };
    echo(req.headers(), answer)
}

pub(super) async fn import_kv(
    Extension(engine): Extension<Arc<Engine>>,
    PathParams(attempt): PathParams<String>,
    Query(source): Query<KvSource>,
    peer: Address,
    req: Request,
) -> Response<Body> {
    let Ok(attempt) = attempt.parse::<AttemptId>() else { return not_found() };
    let (parts, body) = req.into_parts();
    if let Some(from) = source.from {
        engine.count_pull();
        let faulty = engine.faulty(attempt, &peer, engine.pulls.take());
        if let Some(answer) = faulty.before_run().await {
            return answer;
        }
        return faulty.echo(pull_kv(&engine, attempt, from).await);
    }
    let answer = match read_json::<KvCache>(body).await {
        Ok(cache) => {
            engine.hub.import_kv(attempt, cache);
            no_content()
        }
        Err(message) => answers::text(StatusCode::BAD_REQUEST, message),
    };
    echo(&parts.headers, answer)
}

async fn pull_kv(engine: &Engine, attempt: AttemptId, from: SocketAddr) -> Response<Body> {
    match engine.puller.pull(attempt, from).await {
        Ok(cache) => {
            engine.hub.import_kv(attempt, cache);
            no_content()
        }
        Err(PullError::NotThere) => not_found(),
        Err(PullError::Failed(message)) => answers::text(StatusCode::BAD_GATEWAY, message),
    }
}

/// Answers a control call. Never returns if `value` is `None`: an engine that is down does not
/// answer.
async fn control_answer<T: serde::Serialize>(
    headers: &HeaderMap,
    value: Option<T>,
) -> Response<Body> {
    let Some(value) = value else { return std::future::pending().await };
    echo(headers, answers::json(StatusCode::OK, &value))
}
