//! Sends a call over a connection of its own.

use std::net::SocketAddr;

use http::Request;
use http::header::{HOST, HeaderValue};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::bodies::SendProgress;
use crate::errors::{CallError, Stage};
use crate::interim::InterimLimit;

/// Opens a connection, sends a call over it and returns the head of its answer. The connection carries nothing else.
///
/// It needs neither a pool nor a resolver, whose files could not be opened while no descriptor is free.
///
/// # Errors
///
/// A `CallError` of stage `Connect` if no connection has taken the request, otherwise of stage `FirstByte`.
pub(crate) async fn send_on_new(
    address: SocketAddr,
    mut req: Request<Body>,
    limit: InterimLimit,
    progress: &SendProgress,
) -> Result<Response, CallError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|err| CallError::broken(Stage::Connect, err))?;
    // Without it, small writes wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.title_case_headers(true);
    let opened = builder.handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = opened.map_err(|err| CallError::broken(Stage::Connect, err))?;
    // It ends with the answer's body, or when the call is dropped.
    tokio::spawn(connection);
    if !req.headers().contains_key(HOST)
        && let Ok(host) = HeaderValue::try_from(address.to_string())
    {
        req.headers_mut().insert(HOST, host);
    }
    limit.count(&mut req);
    let answer = sender.send_request(req).await;
    let answer = answer.map_err(|err| {
        let stage = if progress.withdraw() { Stage::Connect } else { Stage::FirstByte };
        CallError::broken(stage, err)
    })?;
    Ok(answer.map(Body::from_incoming))
}
