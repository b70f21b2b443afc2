//! Answers calls of plain services.

use std::sync::Arc;

use anvilhook_core::Verdict;
use anvilhook_core::resources::ServiceBackend;
use anvilhook_core::units::Clock;
use anvilhook_engine::Upstreams;
use anvilhook_store::claims::BodyDigest;
use http::Method;
use http::request::Parts;
use volo_http::body::Body;
use volo_http::response::Response;

use super::routes::{Arrival, Refused};
use super::states::{Account, Service};
use super::{Front, answers, bodies, headers};
use crate::proxy::{ClaimRequest, Claims, Code, Failure, ProxyRequest, RequestKind};

/// The path prefix of calls to plain services.
const SERVICES_PREFIX: &str = "/services/";

impl<C: Clock, U: Upstreams, K: Claims> Front<C, U, K> {
    /// Answers an admitted call of a plain service.
    pub(super) async fn answer_plain(
        &self,
        arrival: Arrival,
        parts: &Parts,
        body: Body,
    ) -> Result<Response, Refused> {
        let path = parts.uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
        let (name, path) = path.split_once('/').unwrap_or((path, ""));
        let path = format!("/{path}");
        let service = self.plain_service(name)?;
        let by_service = Refused::by(&service);
        let idempotent = match find_call(&service, &parts.method, &path) {
            Ok(idempotent) => idempotent,
            Err(failure) => return Err(by_service(failure)),
        };
        let timeout = arrival.caller.deadline.unwrap_or(service.spec.deadline_ms);
        let limits = self.body_limits(service.spec.max_body_bytes, timeout);
        let body = match bodies::read(parts, body, &limits, &self.inner.shutdown).await {
            Ok(body) => body,
            Err(failure) => return Err(by_service(failure)),
        };

        let mut req = self.proxy_request(&arrival, &service, RequestKind::Plain, body);
        req.idempotent = idempotent;
        req.method = parts.method.clone();
        req.path = match parts.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path,
        };
        req.headers = headers::end_to_end(&parts.headers);
        let answering = if idempotent {
            self.whole(arrival, req).await
        } else {
            self.run_detached(arrival, req).await
        };
        answering.map_err(by_service)
    }

    fn plain_service(&self, name: &str) -> Result<Arc<Service>, Failure> {
        let state = self.inner.state.load();
        let is_plain =
            |service: &&Arc<Service>| matches!(service.spec.backend, ServiceBackend::Plain { .. });
        state.service(name).filter(is_plain).cloned().ok_or_else(|| {
            Failure::not_run(Code::UnknownService, format!("no plain service is named {name:?}"))
        })
    }

    /// Answers a request that must not be repeated. It runs in its own task and so to its end even
    /// if the caller disconnects: if it were aborted halfway, it would be unknown whether it ran,
    /// and no outcome would be recorded.
    async fn run_detached(&self, arrival: Arrival, req: ProxyRequest) -> Result<Response, Failure> {
        let Arrival { id, caller, account, flight, mut rng, .. } = arrival;
        let deadline = req.deadline;
        let front = self.clone();
        let running = tokio::spawn(async move {
            let inner = &front.inner;
            let result = match caller.idempotency_key {
                Some(key) => {
                    let claim_req = claim_request(&account, &req, key);
                    let claims = &inner.claims;
                    inner.proxy.answer_claimed(claims, &claim_req, &req, &mut rng).await
                }
                None => inner.proxy.answer_whole(&req, &mut rng).await,
            };
            if result.is_ok() {
                front.count_answered(&req, true);
            }
            result.map(|answer| (answer, flight))
        });
        let (answer, flight) = running.await.unwrap_or_else(|err| {
            let failure =
                Failure::not_run(Code::UpstreamFailed, format!("the request's task failed: {err}"));
            Err(Failure { verdict: Verdict::MayHaveRun, ..failure })
        })?;
        let answer = answers::answered(answer, id);
        Ok(self.track_body(answer, flight, deadline))
    }
}

/// Returns whether the call that a request makes is idempotent.
fn find_call(service: &Service, method: &Method, path: &str) -> Result<bool, Failure> {
    let unknown = || {
        let message = format!("service {} offers no call {method} {path}", service.name);
        Failure::not_run(Code::UnknownCall, message)
    };
    // An upstream that resolves relative segments could run a call other than the declared one.
    if has_relative_segments(path) {
        return Err(unknown());
    }
    service.call(method.as_str(), path).map(|call| call.idempotent).ok_or_else(unknown)
}

fn has_relative_segments(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let is_relative = |segment: &str| matches!(segment, "." | "..");
    lower.split('/').any(is_relative)
        || ["%2e", "%2f", "%5c", "\\", "//"].iter().any(|text| lower.contains(text))
}

fn claim_request(account: &Account, req: &ProxyRequest, key: String) -> ClaimRequest {
    let parts = [req.method.as_str().as_bytes(), req.path.as_bytes(), &req.body];
    ClaimRequest {
        account: account.name.clone(),
        service: req.service.name.clone(),
        key,
        digest: BodyDigest::of(&parts),
        deadline: req.deadline,
    }
}
