//! Establishes and serves a single connection.

use std::net::SocketAddr;
use std::rc::Rc;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Clock, Millis};
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_util::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::hubs::Hub;
use super::meters::{Meter, Metered};
use crate::authentication::{EstablishedLink, Gate, call_gate};
use crate::codecs;
use crate::errors::{Error, Result};
use crate::gossip::{LinkId, Message};
use crate::peer_capnp::{gate, peer};

/// The size of a message word in bytes.
const WORD_BYTES: usize = 8;

/// Connects to an instance and opens a link to it. The returned task serves the link.
///
/// # Errors
///
/// The reason why no link was established.
pub(crate) async fn dial<C: Clock>(
    hub: Rc<Hub<C>>,
    address: SocketAddr,
    expected: InstanceName,
) -> Result<JoinHandle<Error>> {
    let limit = hub.options.connect_timeout.as_duration();
    let connecting = async {
        let stream = TcpStream::connect(address).await.map_err(Error::broken)?;
        let meter = Meter::new(&hub.options, hub.received.clone());
        let network = network(&hub, stream, &meter, Side::Client)?;
        let mut rpc_system = RpcSystem::new(Box::new(network), None);
        let gate: gate::Client = rpc_system.bootstrap(Side::Server);
        let driver = Driver::spawn(rpc_system);
        let established = call_gate(&hub, &gate, &expected, &meter).await?;
        Ok::<_, Error>((driver, established))
    };
    let (driver, established) = timeout(limit, connecting).await.map_err(|_| Error::Timeout)??;
    Ok(tokio::task::spawn_local(run(hub, driver, established)))
}

/// Authenticates an accepted connection and opens its link.
///
/// # Errors
///
/// The reason why no link was established.
pub(crate) async fn accept<C: Clock>(
    hub: Rc<Hub<C>>,
    stream: TcpStream,
) -> Result<(Driver, EstablishedLink<C>)> {
    let meter = Meter::new(&hub.options, hub.received.clone());
    let network = network(&hub, stream, &meter, Side::Server)?;
    let (tx, established) = oneshot::channel();
    let gate: gate::Client = capnp_rpc::new_client(Gate::new(Rc::clone(&hub), meter, tx));
    let driver = Driver::spawn(RpcSystem::new(Box::new(network), Some(gate.client)));
    let limit = hub.options.connect_timeout.as_duration();
    let established = timeout(limit, established).await.map_err(|_| Error::Timeout)?;
    Ok((driver, established.map_err(|_| Error::NotAuthentic)?))
}

/// Sends a link's messages until the link closes, and returns the reason.
pub(crate) async fn run<C: Clock>(
    hub: Rc<Hub<C>>,
    driver: Driver,
    established: EstablishedLink<C>,
) -> Error {
    let EstablishedLink { mut guard, partner } = established;
    let link = guard.link;
    let limit = hub.options.gossip.answer_timeout;
    let ended = loop {
        tokio::select! {
            _ = &mut guard.closed => break Error::LinkRejected,
            message = guard.outgoing.recv() => {
                let Some(message) = message else {
                    break Error::LinkRejected;
                };
                // A heartbeat is due every second, so a link that stops responding is detected by
                // the heartbeat that gets no response.
                if let Err(err) = send(&hub, &partner, link, message, limit).await {
                    break err;
                }
            }
        }
    };
    drop(driver);
    ended
}

/// Sends one message to the partner and passes the response to the node.
async fn send<C: Clock>(
    hub: &Hub<C>,
    partner: &peer::Client,
    link: LinkId,
    message: Message,
    limit: Millis,
) -> Result<()> {
    let limit = limit.as_duration();
    match message {
        Message::Update { seq, update } => {
            let mut req = partner.push_request();
            codecs::write_update(&update, req.get().init_update());
            timeout(limit, req.send().promise).await.map_err(|_| Error::Timeout)??;
            hub.receive(link, Message::Confirm { seq })
        }
        Message::Pull { have } => {
            let mut req = partner.configuration_request();
            req.get().set_have(have.0);
            let answer = timeout(limit, req.send().promise).await.map_err(|_| Error::Timeout)??;
            let transfer = codecs::read_transfer(answer.get()?.get_transfer()?)?;
            hub.receive(link, Message::Transfer(transfer))
        }
        // The responses to calls replace these messages.
        Message::Confirm { .. } | Message::Transfer(_) => Ok(()),
    }
}

/// `Driver` runs a connection's RPC system. Dropping it closes the connection.
pub(crate) struct Driver(JoinHandle<()>);

impl Driver {
    fn spawn(rpc_system: RpcSystem<Side>) -> Self {
        Self(tokio::task::spawn_local(async move {
            // The calls in flight report the failure of the connection.
            let _ = rpc_system.await;
        }))
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn network<C: Clock>(
    hub: &Hub<C>,
    stream: TcpStream,
    meter: &Rc<Meter>,
    side: Side,
) -> Result<VatNetwork<impl futures_util::AsyncRead + Unpin + use<C>>> {
    stream.set_nodelay(true).map_err(Error::broken)?;
    let (reader, writer) = stream.into_split();
    let reader = Metered::new(reader.compat(), Rc::clone(meter));
    let writer = Metered::new(writer.compat_write(), Rc::clone(meter));
    let mut options = ReaderOptions::new();
    // The library refuses a longer message before it allocates memory for it.
    options.traversal_limit_in_words(Some(hub.options.max_message_bytes / WORD_BYTES));
    Ok(VatNetwork::new(BufReader::new(reader), BufWriter::new(writer), side, options))
}
