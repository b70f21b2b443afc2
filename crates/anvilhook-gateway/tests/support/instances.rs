//! Gateways that exchange datagrams and forward calls for each other.

use std::net::SocketAddr;

use anvilhook_core::units::{Millis, SystemClock};
use anvilhook_gateway::configs::Config;
use anvilhook_gateway::fleets::Entry;
use anvilhook_gateway::forwarding::forwarding_router;
use anvilhook_gateway::peers::exchange;
use anvilhook_http::Shutdown;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;

use super::fronts::{Front, ample_budget, start};
use super::until;

/// `Instance` is a gateway that exchanges digests with others.
pub struct Instance {
    pub front: Front,
    /// The address for the other instances.
    pub peer: SocketAddr,
    /// What listens for the calls of others, if nothing serves them.
    pub port: Option<TcpListener>,
    exchanging: JoinHandle<()>,
}

impl Instance {
    /// Stops the exchange of datagrams, as the end of the process would.
    pub fn end_exchange(&self) {
        self.exchanging.abort();
    }
}

/// Starts an instance. With `forwards` false it does not serve the calls of others, like an earlier build.
pub async fn instance(
    number: u64,
    config: &impl Fn() -> Config,
    entries: Vec<Entry>,
    forwards: bool,
) -> Instance {
    let front = start(Some(config()), entries, ample_budget()).await;
    let (socket, listener) = sockets().await;
    let peer = socket.local_addr().expect("an address");
    let gateway = front.gateway.clone();
    let mut port = None;
    if !forwards {
        port = Some(listener);
    } else {
        let router = forwarding_router(gateway.clone());
        tokio::spawn(anvilhook_http::serve(listener, router, Shutdown::new()));
    }
    let rng = ChaCha8Rng::seed_from_u64(number);
    let exchanging = tokio::spawn(exchange(socket, number, rng, gateway, SystemClock::new()));
    Instance { front, peer, port, exchanging }
}

/// Returns a socket for datagrams and a listener at the same port.
pub async fn sockets() -> (UdpSocket, TcpListener) {
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let peer = socket.local_addr().expect("an address");
        if let Ok(listener) = TcpListener::bind(peer).await {
            return (socket, listener);
        }
    }
}

/// Adds instances to each other's peers, and waits until each has received a digest of all others.
pub async fn connect(instances: &[&Instance]) {
    for one in instances {
        for other in instances.iter().filter(|other| other.peer != one.peer) {
            one.front.gateway.peers().add(other.peer);
        }
    }
    let others = instances.len() - 1;
    let has_all = |one: &&Instance| one.front.gateway.peers().live_peers(Millis::ZERO) >= others;
    until(|| instances.iter().all(has_all)).await;
}
