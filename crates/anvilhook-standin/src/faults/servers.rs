//! A server whose listener and connections can be made to fail.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_http::{Phase, Shutdown};
use motore::layer::Layer;
use motore::service::Service;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use volo::context::Context;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;
use volo_http::server::route::Router;

use super::connections::{Connections, peer_of};
use super::switches::Switches;

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// `FrontOptions` describes where and how a stand-in listens.
#[derive(Clone, Copy, Debug)]
pub struct FrontOptions {
    /// The address; port 0 has the kernel choose one.
    pub address: SocketAddr,
    /// Whether connections are held so that they can be made to fail, at one more file descriptor
    /// for each. What opens very many connections goes without.
    pub holds_connections: bool,
}

impl Default for FrontOptions {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), holds_connections: true }
    }
}

/// `Port` is what a stand-in does with its port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Port {
    /// It accepts connections.
    Open,
    /// It keeps the port and refuses connections.
    Refusing,
    /// It has left the port.
    Left,
}

/// `Front` is a running server with its switches.
#[derive(Clone, Debug)]
pub struct Front {
    address: SocketAddr,
    switches: Arc<Switches>,
    connections: Arc<Connections>,
    wanted: watch::Sender<Port>,
    actual: watch::Sender<Port>,
    paused: watch::Sender<bool>,
    shutdown: Shutdown,
}

/// `Binding` is a listener on its way to a server.
#[derive(Debug)]
pub(crate) struct Binding {
    listener: TcpListener,
    front: Front,
    holds_connections: bool,
}

impl Front {
    /// Binds the address. Nothing is accepted before `Binding::serve`.
    pub(crate) async fn bind(opts: &FrontOptions) -> io::Result<Binding> {
        let listener = TcpListener::bind(opts.address).await?;
        let front = Front {
            address: listener.local_addr()?,
            switches: Arc::default(),
            connections: Arc::default(),
            wanted: watch::Sender::new(Port::Open),
            actual: watch::Sender::new(Port::Open),
            paused: watch::Sender::new(false),
            shutdown: Shutdown::new(),
        };
        Ok(Binding { listener, front, holds_connections: opts.holds_connections })
    }

    /// Returns the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the faults of answers.
    pub fn switches(&self) -> &Switches {
        &self.switches
    }

    /// Returns the open connections.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Has new connections refused, as when no process listens, or accepted again. When this
    /// returns, it is so. Open connections go on.
    pub async fn refuse_connections(&self, refuse: bool) {
        self.set_port(if refuse { Port::Refusing } else { Port::Open }).await;
    }

    /// Pauses the server, as a stopped process or one behind a network partition, or lets it go on.
    /// Connections are accepted meanwhile, and nothing is answered.
    pub fn pause(&self, pause: bool) {
        self.paused.send_replace(pause);
    }

    /// Waits while the server is paused.
    pub(crate) async fn pass(&self) {
        if *self.paused.borrow() {
            // The sender lives in `self`, so the channel cannot close during the wait.
            let _ = self.paused.subscribe().wait_for(|paused| !*paused).await;
        }
    }

    /// Ends as a killed process does: connections are reset, and new ones are refused.
    pub async fn crash(&self) {
        self.refuse_connections(true).await;
        self.connections.reset_all();
    }

    /// Ends the server, closes its connections and frees the port.
    pub async fn stop(&self) {
        self.set_port(Port::Left).await;
        self.connections.close_all();
        self.shutdown.advance(Phase::Closed);
    }

    /// Waits until the server has been stopped.
    pub async fn stopped(&self) {
        self.shutdown.reached(Phase::Closed).await;
    }

    async fn set_port(&self, port: Port) {
        let mut actual = self.actual.subscribe();
        self.wanted.send_if_modified(|wanted| {
            let changes = *wanted != port && *wanted != Port::Left;
            if changes {
                *wanted = port;
            }
            changes
        });
        // The senders live in `self`, so the channel cannot close during the wait.
        let _ = actual.wait_for(|actual| *actual == *self.wanted.borrow()).await;
    }
}

impl Binding {
    /// Returns the handle on the server.
    pub(crate) fn front(&self) -> &Front {
        &self.front
    }

    /// Serves the router on a task of its own until the front is stopped.
    pub(crate) fn serve<E>(self, router: Router<Body, E>) -> Front
    where
        E: volo_http::server::IntoResponse + Send + 'static,
        Router<Body, E>: Service<ServerContext, Request, Response = Response, Error = std::convert::Infallible>
            + Send
            + Sync
            + 'static,
    {
        let front = self.front.clone();
        let stopped = front.shutdown.clone();
        let passing = front.clone();
        let incoming = FaultyIncoming {
            socket: Socket::Listening(self.listener),
            wanted: front.wanted.subscribe(),
            front: self.front,
            holds_connections: self.holds_connections,
        };
        tokio::spawn(async move {
            tokio::select! {
                ended = Server::new(router).layer(Passing(passing)).run(incoming) => {
                    if let Err(err) = ended {
                        log::error!("the stand-in's server ended: {err}");
                    }
                }
                () = stopped.reached(Phase::Closed) => {}
            }
        });
        front
    }
}

/// `Socket` is the socket that stands on the port.
#[derive(Debug)]
enum Socket {
    Listening(TcpListener),
    /// Bound without listening, so that the kernel refuses connections and gives the port to
    /// nobody else meanwhile.
    Reserving(TcpSocket),
    None,
}

/// `FaultyIncoming` accepts connections as long as the port is open.
struct FaultyIncoming {
    socket: Socket,
    wanted: watch::Receiver<Port>,
    front: Front,
    holds_connections: bool,
}

impl std::fmt::Debug for FaultyIncoming {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "stand-in on {}", self.front.address)
    }
}

impl FaultyIncoming {
    /// Accepts the next connection, or returns `None` when another state of the port is wanted.
    async fn accept_or_change(&mut self) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        match &self.socket {
            Socket::Listening(listener) => tokio::select! {
                accepted = listener.accept() => Some(accepted),
                _ = self.wanted.changed() => None,
            },
            Socket::Reserving(_) | Socket::None => {
                // The front holds the sender, so the channel cannot close during the wait.
                let _ = self.wanted.changed().await;
                None
            }
        }
    }

    /// Brings the port into the wanted state.
    fn change(&mut self) -> io::Result<()> {
        let wanted = *self.wanted.borrow_and_update();
        let before = std::mem::replace(&mut self.socket, Socket::None);
        self.socket = match (wanted, before) {
            (Port::Left, _) => Socket::None,
            (Port::Open, Socket::Reserving(socket)) => Socket::Listening(socket.listen(BACKLOG)?),
            (Port::Refusing, Socket::Listening(listener)) => {
                drop(listener);
                Socket::Reserving(reserve(self.front.address)?)
            }
            (Port::Open | Port::Refusing, before) => before,
        };
        self.front.actual.send_replace(wanted);
        Ok(())
    }
}

impl MakeIncoming for FaultyIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for FaultyIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            match self.accept_or_change().await {
                Some(accepted) => {
                    let (stream, peer) = accepted?;
                    stream.set_nodelay(true)?;
                    if self.holds_connections {
                        self.front.connections.insert(peer, &stream);
                    }
                    return Ok(Some(Conn::from(stream)));
                }
                None => {
                    if let Err(err) = self.change() {
                        log::error!("{self:?} cannot change its port: {err}");
                        return Err(err);
                    }
                }
            }
        }
    }
}

fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Without this the port's connections that are still open would forbid the binding.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// `Passing` lets a request pass when the server is not paused and its connection not silent.
#[derive(Clone, Debug)]
struct Passing<S>(S);

/// `PassingService` is the service under `Passing`.
#[derive(Clone, Debug)]
struct PassingService<S> {
    front: Front,
    inner: S,
}

impl<S> Layer<S> for Passing<Front> {
    type Service = PassingService<S>;

    fn layer(self, inner: S) -> PassingService<S> {
        PassingService { front: self.0, inner }
    }
}

impl<S> Service<ServerContext, Request> for PassingService<S>
where
    S: Service<ServerContext, Request> + Send + Sync,
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, cx: &mut ServerContext, req: Request) -> Result<S::Response, S::Error> {
        self.front.pass().await;
        let peer = cx.rpc_info().caller().address();
        if let Some(connection) = peer.and_then(|peer| self.front.connections.find(peer_of(&peer)))
        {
            connection.pass().await;
        }
        self.inner.call(cx, req).await
    }
}
