//! Fetching KV caches from other engines.

use std::fmt;
use std::net::SocketAddr;

use anvilhook_core::attempts::{ATTEMPT_HEADER, AttemptId};
use anvilhook_core::units::Millis;
use anvilhook_engine::wire::KV_PATH;
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::collect_body;
use anvilhook_http::{CallError, ClientOptions, HttpClient};
use http::{Request, StatusCode};
use volo_http::body::Body;

use super::hubs::KvCache;

/// The timeout for the head of an export's response, and again for its body.
const EXPORT_TIMEOUT: Millis = Millis::from_secs(1);

/// The maximum size of the document that represents a KV cache, in bytes.
const MAX_EXPORT_BYTES: usize = 4_096;

/// `PullError` is the reason why a KV cache could not be fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PullError {
    /// The other engine has no KV cache of the attempt.
    NotThere,
    /// The call failed, or the other engine's response was invalid.
    Failed(String),
}

/// `KvPuller` fetches KV caches from other engines.
pub(super) struct KvPuller {
    client: HttpClient,
}

impl KvPuller {
    /// Creates a puller with its own connection pool.
    pub(super) fn try_new() -> Result<Self, CallError> {
        Ok(Self { client: HttpClient::try_new(&ClientOptions::default())? })
    }

    /// Fetches an attempt's KV cache from the engine at `from`.
    pub(super) async fn pull(
        &self,
        attempt: AttemptId,
        from: SocketAddr,
    ) -> Result<KvCache, PullError> {
        let failed = |err: &dyn fmt::Display| PullError::Failed(err.to_string());
        let req = Request::get(format!("{KV_PATH}/{attempt}"))
            .header(ATTEMPT_HEADER, attempt.to_string())
            .body(Body::empty())
            .map_err(|err| failed(&err))?;
        let answer = self.client.send(from, req, Connection::Pooled, EXPORT_TIMEOUT).await;
        let (parts, body) = answer.map_err(|err| failed(&err))?.into_parts();
        let echo = parts.headers.get(ATTEMPT_HEADER).and_then(|echo| echo.to_str().ok());
        if echo.and_then(|echo| echo.parse().ok()) != Some(attempt) {
            return Err(failed(&"the response echoes another attempt's id"));
        }
        match parts.status {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Err(PullError::NotThere),
            status => return Err(failed(&status)),
        }
        let body = collect_body(body, MAX_EXPORT_BYTES, EXPORT_TIMEOUT).await;
        let body = body.map_err(|err| failed(&err))?;
        serde_json::from_slice(&body).map_err(|err| failed(&err))
    }
}

impl fmt::Debug for KvPuller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KvPuller").finish_non_exhaustive()
    }
}
