//! A fake upstream on a raw socket. It can break a connection at any byte.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilhook_engine::wire::ATTEMPT_HEADER;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// The number of events in each complete streamed answer.
pub const EVENTS: u64 = 4;

/// `Fault` is the way in which the fake fails one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No fault: the request is answered.
    None,
    /// No process listens at the address.
    ConnectRefused,
    /// The request is run, and the connection is reset before the first byte of the answer.
    ResetBeforeFirstByte,
    /// The request is run, and the connection is reset in the middle of the answer.
    ResetAfterFirstByte,
    /// The request is run on a reused connection, which is then closed without an answer.
    PooledClosed,
    /// The request is run, and its answer never begins.
    SilentBeforeHead,
    /// The request is run, and its answer stops in the middle while the connection stays open.
    SilentWithinBody,
    /// The upstream refuses the request before running it.
    OwnRefusal,
    /// The answer ends before the length announced in its head.
    CutShort,
    /// The stream ends without its closing event.
    NoClosingEvent,
    /// The answer echoes the id of another attempt.
    OtherAttempt,
    /// The answer echoes no attempt id.
    NoEcho,
    /// The head echoes the right attempt id, but the body belongs to another attempt.
    OtherBody,
    /// The answer is sent twice on one connection, so that the next request on that connection may
    /// receive the second copy.
    Duplicate,
    /// A reused connection accepts the request, does not run it and never responds.
    SilentConnection,
}

/// `Ledger` records the requests that the fakes of one test received, and sets their next faults.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The number of runs of each request body.
    pub runs: HashMap<String, u32>,
    /// The number of cancelled streams.
    pub cancels: u32,
    /// The number of requests to resume a stream.
    pub resumes: u32,
    /// The faults of the next requests, in order. The last one applies to all later requests if
    /// `repeats` is set.
    pub faults: VecDeque<Fault>,
    /// Whether the last fault is repeated without end.
    pub repeats: bool,
    /// Whether streams stay open for ever after their first event.
    pub endless: bool,
}

impl Ledger {
    fn next_fault(&mut self) -> Fault {
        if self.repeats && self.faults.len() == 1 {
            return self.faults[0];
        }
        self.faults.pop_front().unwrap_or(Fault::None)
    }
}

/// `SharedLedger` is a ledger that the fakes of one test share.
pub type SharedLedger = Arc<Mutex<Ledger>>;

struct Call {
    method: String,
    path: String,
    attempt: String,
    body: String,
}

/// Starts a fake and returns its address.
pub async fn start(ledger: &SharedLedger) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let ledger = Arc::clone(ledger);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&ledger)));
        }
    });
    address
}

/// Returns an address at which no process listens. The socket stays bound, so that no other process
/// can listen there during the test.
pub fn dead_address() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a free port");
    let address = socket.local_addr().expect("a bound address").as_socket().expect("an IP address");
    std::mem::forget(socket);
    address
}

async fn serve(stream: TcpStream, ledger: SharedLedger) {
    let mut stream = BufReader::new(stream);
    let mut served = 0;
    while let Some(call) = read_call(&mut stream).await {
        if call.method == "DELETE" {
            ledger.lock().expect("a ledger").cancels += 1;
            let _ = stream.write_all(&whole(&call, "204 No Content", "")).await;
            continue;
        }
        let fault = ledger.lock().expect("a ledger").next_fault();
        // Two faults apply to reused connections only; a new connection is healthy.
        let needs_used = matches!(fault, Fault::PooledClosed | Fault::SilentConnection);
        let fault = if needs_used && served == 0 { Fault::None } else { fault };
        served += 1;
        if answer(&mut stream, &call, fault, &ledger).await.is_err() {
            return;
        }
    }
}

/// Answers a call. Returns an error if the connection must be closed.
async fn answer(
    stream: &mut BufReader<TcpStream>,
    call: &Call,
    fault: Fault,
    ledger: &SharedLedger,
) -> std::io::Result<()> {
    let over = || std::io::Error::other("the connection ends");
    if fault == Fault::OwnRefusal {
        let head = "503 Service Unavailable\r\nx-upstream-refused: true";
        return stream.write_all(&whole(call, head, "busy")).await;
    }
    if fault == Fault::SilentConnection {
        std::future::pending::<()>().await;
    }

    let is_resume = call.path.contains("/v1/streams/");
    {
        let mut ledger = ledger.lock().expect("a ledger");
        if is_resume {
            ledger.resumes += 1;
        } else {
            *ledger.runs.entry(call.body.clone()).or_default() += 1;
        }
    }
    let is_stream = is_resume || call.body.contains("\"stream\":true");
    let good = if is_stream { streamed(call, EVENTS, true) } else { whole_good(call) };
    match fault {
        Fault::None | Fault::ConnectRefused => {}
        Fault::ResetBeforeFirstByte => {
            reset(stream);
            return Err(over());
        }
        Fault::ResetAfterFirstByte => {
            stream.write_all(&good[..good.len() * 3 / 4]).await?;
            // Gives the peer time to read these bytes, which the reset would otherwise discard.
            tokio::time::sleep(Duration::from_millis(20)).await;
            reset(stream);
            return Err(over());
        }
        Fault::PooledClosed => return Err(over()),
        Fault::SilentBeforeHead => std::future::pending::<()>().await,
        Fault::SilentWithinBody => {
            stream.write_all(&good[..good.len() * 3 / 4]).await?;
            std::future::pending::<()>().await;
        }
        Fault::CutShort => {
            stream.write_all(&good[..good.len() * 3 / 4]).await?;
            return Err(over());
        }
        Fault::NoClosingEvent => {
            let answer = if is_stream { streamed(call, 2, false) } else { good };
            return stream.write_all(&answer).await;
        }
        Fault::OtherAttempt => {
            let other = Call { attempt: "0".repeat(32), ..clone(call) };
            let answer =
                if is_stream { streamed(&other, EVENTS, true) } else { whole_good(&other) };
            return stream.write_all(&answer).await;
        }
        Fault::NoEcho => {
            let text = String::from_utf8_lossy(&good).replace(ATTEMPT_HEADER, "x-nothing");
            return stream.write_all(text.as_bytes()).await;
        }
        Fault::OtherBody => {
            let (head, body) = split(&good);
            let body = body.replace(&call.attempt, &"0".repeat(32));
            return stream.write_all(format!("{head}{body}").as_bytes()).await;
        }
        Fault::Duplicate => {
            stream.write_all(&good).await?;
            return stream.write_all(&good).await;
        }
        Fault::OwnRefusal | Fault::SilentConnection => unreachable!("answered above"),
    }
    if is_stream && ledger.lock().expect("a ledger").endless {
        stream.write_all(&streamed(call, 1, false)[..]).await?;
        std::future::pending::<()>().await;
    }
    stream.write_all(&good).await
}

async fn read_call(stream: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    stream.read_line(&mut line).await.ok().filter(|len| *len > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (mut attempt, mut len) = (String::new(), 0);
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).await.ok().filter(|len| *len > 0)?;
        let Some((name, value)) = header.trim().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            ATTEMPT_HEADER => attempt = value.to_owned(),
            "content-length" => len = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.ok()?;
    Some(Call { method, path, attempt, body: String::from_utf8(body).ok()? })
}

fn clone(call: &Call) -> Call {
    let Call { method, path, attempt, body } = call;
    Call {
        method: method.clone(),
        path: path.clone(),
        attempt: attempt.clone(),
        body: body.clone(),
    }
}

fn whole_good(call: &Call) -> Vec<u8> {
    whole(call, "200 OK", &format!("{{\"id\":\"{}\",\"for\":{:?}}}", call.attempt, call.body))
}

fn whole(call: &Call, head: &str, body: &str) -> Vec<u8> {
    let (attempt, len) = (&call.attempt, body.len());
    format!("HTTP/1.1 {head}\r\n{ATTEMPT_HEADER}: {attempt}\r\ncontent-length: {len}\r\n\r\n{body}")
        .into_bytes()
}

/// Returns a chunked answer with the events after the one that the call names, up to `last`.
fn streamed(call: &Call, last: u64, closes: bool) -> Vec<u8> {
    let attempt = &call.attempt;
    let after = call.path.split_once("after=").map_or(0, |(_, text)| text.parse().expect("after"));
    let mut answer = format!(
        "HTTP/1.1 200 OK\r\n{ATTEMPT_HEADER}: {attempt}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let mut push = |text: &str| answer.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
    for number in after + 1..=last {
        // Each event is sent twice, as by an engine that repeats events. The caller must receive it once.
        for _ in 0..2 {
            push(&format!("id: {number}\ndata: {{\"id\":\"{attempt}\",\"n\":{number}}}\n\n"));
        }
    }
    if closes {
        push("data: [DONE]\n\n");
    }
    if closes || last != 1 {
        answer.push_str("0\r\n\r\n");
    }
    answer.into_bytes()
}

fn split(answer: &[u8]) -> (String, String) {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    (format!("{head}\r\n\r\n"), body.to_owned())
}

fn reset(stream: &BufReader<TcpStream>) {
    let socket = socket2::SockRef::from(stream.get_ref());
    let _ = socket.set_linger(Some(Duration::ZERO));
}
