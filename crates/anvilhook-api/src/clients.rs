//! The client of the operator API.

use std::net::SocketAddr;

use anvilhook_core::attempts::ChangeId;
use anvilhook_core::resources::{Kind, Resource, ResourceKey};
use anvilhook_core::units::{Millis, Revision};
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::collect_body;
use anvilhook_http::{ClientOptions, HttpClient};
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue, IF_MATCH};
use http::{Method, Request};
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::client::sse::SseExt;
use volo_http::response::Response;

use crate::errors::{Error, Result};
use crate::messages::{
    AuditPage, ChangeAnswer, ChangeStateAnswer, PutBody, ResourceList, StatusAnswer, WhyAnswer,
};
use crate::paths;
use crate::refusals::RefusalBody;
use crate::watches::WatchReader;

/// `ApiClientOptions` bounds the calls of a client.
#[derive(Clone, Copy, Debug)]
pub struct ApiClientOptions {
    /// The maximum time to the head of an answer, and again from there to the end of its body.
    pub timeout: Millis,
    /// The maximum size of an answer, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for ApiClientOptions {
    fn default() -> Self {
        Self { timeout: Millis::from_secs(15), max_answer_bytes: 64 << 20 }
    }
}

/// `ApiClient` calls one instance. It never resends a change by itself.
#[derive(Clone)]
pub struct ApiClient {
    http: HttpClient,
    address: SocketAddr,
    authorization: Option<HeaderValue>,
    options: ApiClientOptions,
}

impl ApiClient {
    /// Creates a client of the instance whose operator front listens at `address`.
    ///
    /// # Errors
    ///
    /// `Error::BadAnswer` if the token is not a valid header value, and `Error::Call` if the client
    /// cannot be created.
    pub fn try_new(
        address: SocketAddr,
        token: Option<&str>,
        options: ApiClientOptions,
    ) -> Result<Self> {
        let to_header = |token: &str| HeaderValue::from_str(&format!("Bearer {token}"));
        let authorization = token.map(to_header).transpose();
        let authorization = authorization
            .map_err(|_| Error::bad_answer("the token has characters that no header can carry"))?;
        let http = HttpClient::try_new(&ClientOptions::default())?;
        Ok(Self { http, address, authorization, options })
    }

    /// Lists the resources of a kind.
    ///
    /// # Errors
    ///
    /// `Error::Call`, `Error::Refused` or `Error::BadAnswer`, like every call.
    pub async fn list(&self, kind: Kind) -> Result<ResourceList> {
        self.get_json(paths::kind(kind)).await
    }

    /// Lists all resources at one revision, without their status.
    ///
    /// # Errors
    ///
    /// As `list`.
    pub async fn configuration(&self) -> Result<ResourceList> {
        self.get_json(paths::CONFIGURATION.to_owned()).await
    }

    /// Returns a resource with its status.
    ///
    /// # Errors
    ///
    /// As `list`.
    pub async fn get(&self, key: &ResourceKey) -> Result<Resource> {
        self.get_json(paths::resource(key)).await
    }

    /// Declares a resource, or replaces the version given in the body.
    ///
    /// # Errors
    ///
    /// As `list`; the error's verdict indicates whether the change may have been accepted.
    pub async fn put(
        &self,
        key: &ResourceKey,
        body: &PutBody,
        id: ChangeId,
    ) -> Result<ChangeAnswer> {
        let buf = serde_json::to_vec(body).map_err(Error::bad_answer)?;
        let req = self.change(Method::PUT, paths::resource(key), id).body(Body::from(buf));
        self.json(req.map_err(Error::bad_answer)?).await
    }

    /// Deletes a resource at a version.
    ///
    /// # Errors
    ///
    /// As `put`.
    pub async fn delete(
        &self,
        key: &ResourceKey,
        version: Revision,
        id: ChangeId,
    ) -> Result<ChangeAnswer> {
        let req = self.change(Method::DELETE, paths::resource(key), id);
        let req = req.header(IF_MATCH, version.0).body(Body::empty());
        self.json(req.map_err(Error::bad_answer)?).await
    }

    /// Returns the state of a change. `base` is the revision from a refusal with `Code::Unknown`.
    ///
    /// # Errors
    ///
    /// As `list`.
    pub async fn change_state(
        &self,
        id: ChangeId,
        base: Option<Revision>,
    ) -> Result<ChangeStateAnswer> {
        let query = base.map(|base| format!("?base={}", base.0)).unwrap_or_default();
        self.get_json(format!("{}{query}", paths::change(id))).await
    }

    /// Lists a part of the audit trail, starting at `from`, or the newest entries without `from`.
    ///
    /// # Errors
    ///
    /// As `list`.
    pub async fn audit(&self, from: Option<Revision>, limit: usize) -> Result<AuditPage> {
        let from = from.map(|from| format!("&from={}", from.0)).unwrap_or_default();
        self.get_json(format!("{}?limit={limit}{from}", paths::AUDIT)).await
    }

    /// Returns the state of the system in the instance's view.
    ///
    /// # Errors
    ///
    /// As `list`.
    pub async fn status(&self) -> Result<StatusAnswer> {
        self.get_json(paths::STATUS.to_owned()).await
    }

    /// Returns the conditions that a resource is waiting for.
    ///
    /// # Errors
    ///
    /// As `list`.
    pub async fn why(&self, key: &ResourceKey) -> Result<WhyAnswer> {
        self.get_json(paths::why(key)).await
    }

    /// Watches the changes after a revision.
    ///
    /// # Errors
    ///
    /// As `list`; on `Code::TooOld`, list the resources and watch from the list's revision.
    pub async fn watch(&self, from: Revision) -> Result<WatchReader> {
        let path = format!("{}?from={}", paths::WATCH, from.0);
        let req = self.request(Method::GET, path).body(Body::empty());
        let answer = self.send(req.map_err(Error::bad_answer)?).await?;
        Ok(WatchReader::new(answer.into_sse().map_err(Error::bad_answer)?))
    }

    fn request(&self, method: Method, path: String) -> http::request::Builder {
        let builder = Request::builder().method(method).uri(path);
        match &self.authorization {
            Some(authorization) => builder.header(AUTHORIZATION, authorization),
            None => builder,
        }
    }

    fn change(&self, method: Method, path: String, id: ChangeId) -> http::request::Builder {
        let name = HeaderName::from_static(paths::CHANGE_ID_HEADER);
        let builder = self.request(method, path).header(CONTENT_TYPE, "application/json");
        builder.header(name, id.to_string())
    }

    async fn get_json<T: DeserializeOwned>(&self, path: String) -> Result<T> {
        let req = self.request(Method::GET, path).body(Body::empty());
        self.json(req.map_err(Error::bad_answer)?).await
    }

    async fn json<T: DeserializeOwned>(&self, req: Request<Body>) -> Result<T> {
        let answer = self.send(req).await?;
        let buf = self.collect(answer).await?;
        serde_json::from_slice(&buf).map_err(Error::bad_answer)
    }

    /// Sends a request, and decodes the refusal if the request is refused.
    async fn send(&self, req: Request<Body>) -> Result<Response> {
        let timeout = self.options.timeout;
        let answer = self.http.send(self.address, req, Connection::New, timeout).await?;
        let status = answer.status();
        if status.is_success() {
            return Ok(answer);
        }
        let buf = self.collect(answer).await?;
        match serde_json::from_slice::<RefusalBody>(&buf) {
            Ok(body) => Err(Error::Refused(Box::new(body.error))),
            Err(_) => Err(Error::bad_answer(format!("status {status} without a reason"))),
        }
    }

    async fn collect(&self, answer: Response) -> Result<bytes::Bytes> {
        let (max_bytes, timeout) = (self.options.max_answer_bytes, self.options.timeout);
        Ok(collect_body(answer.into_body(), max_bytes, timeout).await?)
    }
}
