//! Sends requests as callers do and classifies their outcomes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anvilhook_core::Verdict;
use anvilhook_core::attempts::{ATTEMPT_HEADER, AttemptId};
use anvilhook_core::units::Millis;
use anvilhook_daemon::front::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, VERDICT_HEADER};
use anvilhook_engine::wire::{COMPLETIONS_PATH, ChatChunk, ChatMessage, ChatRequest, DONE};
use anvilhook_http::clients::Connection;
use anvilhook_http::collecting::collect_body;
use anvilhook_http::{CallError, ClientOptions, HttpClient, Stage};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use http::{Method, Request};
use volo_http::body::Body;
use volo_http::client::sse::SseReader;
use volo_http::response::Response;

use super::outcomes::{Answer, Outcome};
use crate::sites::{CALL_PATH, CHAT_SERVICE, TOKEN};

/// The size limit of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16_777_216;

/// The time for which a caller waits beyond its deadline before it abandons the request.
const DEADLINE_SLACK: Millis = Millis::from_secs(5);

/// `ChatCall` is a request for a chat completion.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// The only message of the conversation.
    pub prompt: String,
    /// The maximum number of output tokens.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The time limit of the request.
    pub deadline: Millis,
}

impl ChatCall {
    /// Returns the messages of the conversation.
    pub fn messages(&self) -> Vec<ChatMessage> {
        vec![ChatMessage { role: "user".to_owned(), content: self.prompt.clone() }]
    }

    fn body(&self) -> Bytes {
        let req = ChatRequest {
            model: CHAT_SERVICE.to_owned(),
            messages: self.messages(),
            stream: self.stream,
            max_tokens: Some(self.max_tokens),
            rest: serde_json::Map::new(),
        };
        serde_json::to_vec(&req).unwrap_or_default().into()
    }
}

/// `PlainCall` is a call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The service.
    pub service: &'static str,
    /// The idempotency key, if the caller sends one.
    pub key: Option<String>,
    /// The body.
    pub body: String,
    /// The time limit of the request.
    pub deadline: Millis,
}

/// `Caller` sends requests. Clones share its connections.
#[derive(Clone)]
pub struct Caller {
    client: HttpClient,
}

impl Caller {
    /// Creates a caller.
    ///
    /// # Errors
    ///
    /// Returns a `CallError` if the HTTP library does not accept the options.
    pub fn try_new() -> Result<Self, CallError> {
        // Many simulated callers share this client, and each of them would keep its own connection.
        let options = ClientOptions { max_idle_per_address: 20_000, ..ClientOptions::default() };
        Ok(Self { client: HttpClient::try_new(&options)? })
    }

    /// Requests a chat completion from an instance.
    pub async fn chat(&self, instance: SocketAddr, call: &ChatCall) -> Outcome {
        let req = request(COMPLETIONS_PATH, call.body(), call.deadline);
        self.exchange(instance, req, call.stream, call.deadline).await
    }

    /// Requests a chat completion directly from an engine, with an attempt ID chosen by the caller.
    pub async fn chat_direct(
        &self,
        engine: SocketAddr,
        call: &ChatCall,
        attempt: AttemptId,
    ) -> Outcome {
        let mut req = request(COMPLETIONS_PATH, call.body(), call.deadline);
        insert(&mut req, ATTEMPT_HEADER, &attempt.to_string());
        self.exchange(engine, req, call.stream, call.deadline).await
    }

    /// Calls the path of a plain service that is not idempotent, through an instance.
    pub async fn plain(&self, instance: SocketAddr, call: &PlainCall) -> Outcome {
        self.plain_at(instance, CALL_PATH, call).await
    }

    /// Calls a path of a plain service through an instance.
    pub async fn plain_at(&self, instance: SocketAddr, path: &str, call: &PlainCall) -> Outcome {
        let path = format!("/services/{}{path}", call.service);
        let mut req = request(&path, Bytes::from(call.body.clone()), call.deadline);
        if let Some(key) = &call.key {
            insert(&mut req, IDEMPOTENCY_KEY_HEADER, key);
        }
        self.exchange(instance, req, false, call.deadline).await
    }

    /// Calls a path of a plain upstream directly, with an attempt ID chosen by the caller.
    pub async fn plain_direct(
        &self,
        upstream: SocketAddr,
        path: &str,
        call: &PlainCall,
        attempt: AttemptId,
    ) -> Outcome {
        let mut req = request(path, Bytes::from(call.body.clone()), call.deadline);
        insert(&mut req, ATTEMPT_HEADER, &attempt.to_string());
        self.exchange(upstream, req, false, call.deadline).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        req: Request<Body>,
        stream: bool,
        deadline: Millis,
    ) -> Outcome {
        let sent_at = Instant::now();
        let timeout = deadline + DEADLINE_SLACK;
        let answer = match self.client.send(address, req, Connection::Pooled, timeout).await {
            Ok(answer) => answer,
            Err(err) if err.stage == Stage::Connect => return Outcome::Unreachable,
            Err(err) => return lost(err),
        };
        if let Some(verdict) = verdict(&answer) {
            return failed(verdict, answer).await;
        }
        if stream {
            let reading = read_events(answer, sent_at);
            let elapsed = tokio::time::timeout(timeout.as_duration(), reading).await;
            return elapsed.unwrap_or_else(|_elapsed| lost("the stream did not end"));
        }
        let first = sent_at.elapsed();
        match collect_body(answer.into_body(), MAX_ANSWER_BYTES, timeout).await {
            Ok(body) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                let whole = sent_at.elapsed();
                Outcome::Answered(Answer { text, first, gaps: Vec::new(), whole })
            }
            Err(err) => lost(err),
        }
    }
}

/// Reads a stream up to its closing event.
async fn read_events(answer: Response, sent_at: Instant) -> Outcome {
    let mut reader = match SseReader::into_sse(answer) {
        Ok(reader) => reader,
        Err(err) => return lost(err),
    };
    let mut whole = Answer::default();
    let mut last_at: Option<Instant> = None;
    loop {
        let event = match reader.read().await {
            Ok(Some(event)) => event,
            Ok(None) => return lost("the stream ended without its closing event"),
            Err(err) => return lost(err),
        };
        let data = event.data.as_deref().unwrap_or_default();
        if event.event.as_deref() == Some("error") {
            return error_event(data);
        }
        if data == DONE {
            whole.whole = sent_at.elapsed();
            return Outcome::Answered(whole);
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) else {
            return lost("an event is not a chunk");
        };
        whole.text.extend(chunk.choices.iter().map(|choice| choice.delta.content.as_str()));

        let now = Instant::now();
        match last_at.replace(now) {
            None => whole.first = now - sent_at,
            Some(before) => whole.gaps.push(now - before),
        }
    }
}

fn error_event(data: &str) -> Outcome {
    let body: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    let verdict = serde_json::from_value(body["error"]["verdict"].clone());
    let code = body["error"]["code"].as_str().unwrap_or_default().to_owned();
    match verdict {
        Ok(verdict) => Outcome::Failed { verdict, code },
        Err(_) => lost("an error event without a verdict"),
    }
}

async fn failed(verdict: Verdict, answer: Response) -> Outcome {
    let timeout = DEADLINE_SLACK;
    let body = collect_body(answer.into_body(), MAX_ANSWER_BYTES, timeout).await;
    let body: serde_json::Value =
        body.ok().and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or_default();
    let code = body["error"]["code"].as_str().unwrap_or_default().to_owned();
    Outcome::Failed { verdict, code }
}

fn verdict(answer: &Response) -> Option<Verdict> {
    match answer.headers().get(VERDICT_HEADER)?.to_str().ok()? {
        "not-run" => Some(Verdict::NotRun),
        "ran" => Some(Verdict::Ran),
        _ => Some(Verdict::MayHaveRun),
    }
}

fn request(path: &str, body: Bytes, deadline: Millis) -> Request<Body> {
    let mut req = Request::new(Body::from(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = path.parse().unwrap_or_default();
    req.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    insert(&mut req, AUTHORIZATION.as_str(), &format!("Bearer {TOKEN}"));
    insert(&mut req, DEADLINE_HEADER, &deadline.0.to_string());
    req
}

fn insert(req: &mut Request<Body>, header: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        req.headers_mut().insert(header, value);
    }
}

fn lost(message: impl std::fmt::Display) -> Outcome {
    Outcome::Lost { message: message.to_string() }
}

/// Returns a duration in whole microseconds.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
