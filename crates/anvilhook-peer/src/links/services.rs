//! Serves the calls of partners.

use std::rc::Rc;
use std::sync::Arc;

use anvilhook_core::units::{Clock, Revision};

use super::hubs::Hub;
use crate::codecs;
use crate::errors::Error;
use crate::gossip::{LinkId, Message};
use crate::peer_capnp::peer;

/// `PeerService` serves the calls on one link.
pub(crate) struct PeerService<C> {
    pub(crate) hub: Rc<Hub<C>>,
    pub(crate) link: LinkId,
}

impl<C: Clock> peer::Server for PeerService<C> {
    async fn push(
        self: Rc<Self>,
        params: peer::PushParams,
        _results: peer::PushResults,
    ) -> capnp::Result<()> {
        let update = codecs::read_update(params.get()?.get_update()?).map_err(to_capnp)?;
        let message = Message::Update { seq: 0, update: Arc::new(update) };
        self.hub.receive(self.link, message).map_err(to_capnp)
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> capnp::Result<()> {
        let have = Revision(params.get()?.get_have());
        if let Some(transfer) = self.hub.answer_pull(self.link, have).map_err(to_capnp)? {
            codecs::write_transfer(&transfer, results.get().init_transfer());
        }
        Ok(())
    }
}

/// Converts an error to the library's error type.
pub(crate) fn to_capnp(err: Error) -> capnp::Error {
    capnp::Error::failed(err.to_string())
}
