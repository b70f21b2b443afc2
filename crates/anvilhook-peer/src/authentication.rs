//! Mutual authentication: each end of a connection proves that it holds the shared key.
//!
//! The caller sends its nonce. The callee responds with its own nonce and a proof over both. The
//! caller checks this proof and sends its own proof with its interface. The callee checks that proof
//! and responds with its interface. An end exposes its interface only after it has authenticated
//! the other end.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::Ordering;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::Clock;
use rand::TryRng;
use rand::rngs::SysRng;
use tokio::sync::oneshot;

use crate::codecs::read_name;
use crate::errors::{Error, Result};
use crate::keys::{Handshake, NONCE_BYTES, Side};
use crate::links::hubs::{Direction, Hub, LinkGuard};
use crate::links::meters::Meter;
use crate::links::services::{PeerService, to_capnp};
use crate::peer_capnp::{gate, peer};

/// `EstablishedLink` is an authenticated link with the remote side's interface.
pub(crate) struct EstablishedLink<C: Clock> {
    pub(crate) guard: LinkGuard<C>,
    pub(crate) partner: peer::Client,
}

/// Generates an unpredictable nonce.
fn draw_nonce() -> Vec<u8> {
    let mut buf = vec![0; NONCE_BYTES];
    // The system's random number generator does not fail once the machine has started.
    SysRng.try_fill_bytes(&mut buf).expect("the system's random numbers");
    buf
}

/// Authenticates this instance to the callee, and the callee to this instance.
///
/// # Errors
///
/// `Error::NotAuthentic` if the callee does not hold the key; `Error::LinkRejected` if it is not the
/// expected instance or another link to it is preferred; `Error::Broken` if the callee refuses.
pub(crate) async fn call_gate<C: Clock>(
    hub: &Rc<Hub<C>>,
    gate: &gate::Client,
    expected: &InstanceName,
    meter: &Meter,
) -> Result<EstablishedLink<C>> {
    let caller_nonce = draw_nonce();
    let mut req = gate.challenge_request();
    req.get().set_nonce(&caller_nonce);
    req.get().set_name(hub.options.name.as_str());
    let answer = req.send().promise.await?;
    let answer = answer.get()?;
    let handshake = Handshake {
        caller_nonce,
        caller: hub.options.name.clone(),
        callee_nonce: answer.get_nonce()?.to_vec(),
        callee: read_name(answer.get_name())?,
    };
    check(hub, Side::Callee, &handshake, answer.get_proof()?)?;
    if handshake.callee != *expected {
        return Err(Error::LinkRejected);
    }
    meter.set_authenticated();
    let guard = hub.open(handshake.callee.clone(), Direction::Dialed)?;
    let link = guard.link;
    let partner = finish_call(hub, gate, &handshake, link).await?;
    Ok(EstablishedLink { guard, partner })
}

async fn finish_call<C: Clock>(
    hub: &Rc<Hub<C>>,
    gate: &gate::Client,
    handshake: &Handshake,
    link: crate::gossip::LinkId,
) -> Result<peer::Client> {
    let mut req = gate.admit_request();
    req.get().set_proof(&hub.options.key.prove(Side::Caller, handshake));
    req.get().set_peer(capnp_rpc::new_client(PeerService { hub: Rc::clone(hub), link }));
    let answer = req.send().promise.await?;
    Ok(answer.get()?.get_peer()?)
}

/// `Gate` serves an accepted connection until the caller has authenticated itself.
pub(crate) struct Gate<C: Clock> {
    hub: Rc<Hub<C>>,
    meter: Rc<Meter>,
    // The handshake that awaits the caller's proof. It is valid for one attempt.
    pending: RefCell<Option<Handshake>>,
    established: RefCell<Option<oneshot::Sender<EstablishedLink<C>>>>,
}

impl<C: Clock> Gate<C> {
    /// Creates the gate of one connection. It sends the link over the channel once the link is
    /// established.
    pub(crate) fn new(
        hub: Rc<Hub<C>>,
        meter: Rc<Meter>,
        established: oneshot::Sender<EstablishedLink<C>>,
    ) -> Self {
        let established = RefCell::new(Some(established));
        Self { hub, meter, pending: RefCell::new(None), established }
    }
}

impl<C: Clock> gate::Server for Gate<C> {
    async fn challenge(
        self: Rc<Self>,
        params: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let handshake = Handshake {
            caller_nonce: params.get_nonce()?.to_vec(),
            caller: read_name(params.get_name()).map_err(to_capnp)?,
            callee_nonce: draw_nonce(),
            callee: self.hub.options.name.clone(),
        };
        if handshake.caller_nonce.len() != NONCE_BYTES || handshake.caller == handshake.callee {
            return Err(to_capnp(Error::NotAuthentic));
        }
        let mut answer = results.get();
        answer.set_nonce(&handshake.callee_nonce);
        answer.set_name(handshake.callee.as_str());
        answer.set_proof(&self.hub.options.key.prove(Side::Callee, &handshake));
        self.pending.replace(Some(handshake));
        Ok(())
    }

    async fn admit(
        self: Rc<Self>,
        params: gate::AdmitParams,
        mut results: gate::AdmitResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let handshake = self.pending.take().ok_or_else(|| to_capnp(Error::NotAuthentic))?;
        check(&self.hub, Side::Caller, &handshake, params.get_proof()?).map_err(to_capnp)?;
        let established = self.established.take().ok_or_else(|| to_capnp(Error::LinkRejected))?;
        let partner = params.get_peer()?;
        let guard = self.hub.open(handshake.caller, Direction::Accepted).map_err(to_capnp)?;
        self.meter.set_authenticated();
        let link = guard.link;
        let service = PeerService { hub: Rc::clone(&self.hub), link };
        results.get().set_peer(capnp_rpc::new_client(service));
        // If the connection's task was cancelled meanwhile, the link is dropped, which closes it.
        let _ = established.send(EstablishedLink { guard, partner });
        Ok(())
    }
}

fn check<C: Clock>(hub: &Hub<C>, side: Side, handshake: &Handshake, proof: &[u8]) -> Result<()> {
    let checked = hub.options.key.check(side, handshake, proof);
    if checked.is_err() {
        hub.received.counters.refused.fetch_add(1, Ordering::Relaxed);
    }
    checked
}
