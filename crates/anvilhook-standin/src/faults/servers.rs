//! An HTTP server whose listener and connections can be made to fail.

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

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// `FrontOptions` configures the listener of a stand-in.
#[derive(Clone, Copy, Debug)]
pub struct FrontOptions {
    /// The address to listen on. With port 0 the kernel chooses the port.
    pub address: SocketAddr,
    /// Whether connections are tracked so that they can be made to fail. This takes one more file
    /// descriptor per connection, so tests with very many connections turn it off.
    pub holds_connections: bool,
}

impl Default for FrontOptions {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), holds_connections: true }
    }
}

/// `Port` is the state of a stand-in's port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Port {
    /// The port accepts connections.
    Open,
    /// The port stays bound, and connections are refused.
    Refusing,
    /// The port is released.
    Released,
}

/// `Front` is a handle on a running server and its fault switches. Clones control the same server.
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

/// `Binding` is a bound listener that is not served yet.
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

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the fault switches of answers.
    pub fn switches(&self) -> &Switches {
        &self.switches
    }

    /// Returns the open connections.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Refuses new connections, as if no process listened, or accepts them again. Returns when the
    /// change has taken effect. Open connections are not affected.
    pub async fn refuse_connections(&self, refuse: bool) {
        self.set_port(if refuse { Port::Refusing } else { Port::Open }).await;
    }

    /// Pauses the server, like a stopped process or one behind a network partition, or resumes it.
    /// A paused server accepts connections and answers nothing.
    pub fn pause(&self, pause: bool) {
        self.paused.send_replace(pause);
    }

    /// Waits while the server is paused.
    pub(crate) async fn wait_while_paused(&self) {
        if *self.paused.borrow() {
            // The sender lives in `self`, so the channel cannot close during the wait.
            let _ = self.paused.subscribe().wait_for(|paused| !*paused).await;
        }
    }

    /// Imitates a killed process: resets the open connections and refuses new ones.
    pub async fn crash(&self) {
        self.refuse_connections(true).await;
        self.connections.reset_all();
    }

    /// Stops the server, closes its connections and frees the port.
    pub async fn stop(&self) {
        self.set_port(Port::Released).await;
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
            let changes = *wanted != port && *wanted != Port::Released;
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

    /// Serves the router on a separate task until the front is stopped.
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
        let pausing = front.clone();
        let incoming = FaultyIncoming {
            socket: Socket::Listening(self.listener),
            wanted: front.wanted.subscribe(),
            front: self.front,
            holds_connections: self.holds_connections,
        };
        tokio::spawn(async move {
            tokio::select! {
                ended = Server::new(router).layer(PauseLayer(pausing)).run(incoming) => {
                    if let Err(err) = ended {
                        log::error!("the stand-in's server terminated: {err}");
                    }
                }
                () = stopped.reached(Phase::Closed) => {}
            }
        });
        front
    }
}

/// `Socket` is the socket bound to the port.
#[derive(Debug)]
enum Socket {
    Listening(TcpListener),
    /// Bound without listening, so that the kernel refuses connections and assigns the port to no
    /// other process.
    Reserving(TcpSocket),
    None,
}

/// `FaultyIncoming` accepts connections while the port is open.
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
    /// Accepts the next connection, or returns `None` when another state of the port is requested.
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

    /// Changes the port to the requested state.
    fn change(&mut self) -> io::Result<()> {
        let wanted = *self.wanted.borrow_and_update();
        let before = std::mem::replace(&mut self.socket, Socket::None);
        self.socket = match (wanted, before) {
            (Port::Released, _) => Socket::None,
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
                        log::error!("{self:?}: cannot change the state of the port: {err}");
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
    // Without this, open connections of the port would make the bind fail.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// `PauseLayer` delays requests while the server is paused, and blocks those on silent connections.
#[derive(Clone, Debug)]
struct PauseLayer<S>(S);

/// `PauseService` is the service created by `PauseLayer`.
#[derive(Clone, Debug)]
struct PauseService<S> {
    front: Front,
    inner: S,
}

impl<S> Layer<S> for PauseLayer<Front> {
    type Service = PauseService<S>;

    fn layer(self, inner: S) -> PauseService<S> {
        PauseService { front: self.0, inner }
    }
}

impl<S> Service<ServerContext, Request> for PauseService<S>
where
    S: Service<ServerContext, Request> + Send + Sync,
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, cx: &mut ServerContext, req: Request) -> Result<S::Response, S::Error> {
        self.front.wait_while_paused().await;
        let peer = cx.rpc_info().caller().address();
        if let Some(connection) = peer.and_then(|peer| self.front.connections.find(peer_of(&peer)))
        {
            connection.block_if_silent().await;
        }
        self.inner.call(cx, req).await
    }
}
