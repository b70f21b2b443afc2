//! The state that all connections of one instance share on the link's thread.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Clock, Revision};
use tokio::sync::{mpsc, oneshot};

use crate::errors::{Error, Result};
use crate::gossip::{GossipNode, LinkId, Message, Transfer, Transport};
use crate::handles::{PeerView, Received};
use crate::options::{PeerAddress, PeerOptions};

/// The maximum number of messages queued on a link. A node sends one update and one pull at a time.
/// A message that does not fit is lost, and the node resends it.
const LINK_QUEUE: usize = 8;

/// `Direction` indicates which end opened the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Direction {
    /// This instance connected.
    Dialed,
    /// The other instance connected.
    Accepted,
}

/// `LinkGuard` ties a link to the task of its connection. Dropping it closes the link, so that no link
/// stays open after its task is cancelled.
#[derive(Debug)]
pub(crate) struct LinkGuard<C: Clock> {
    hub: Rc<Hub<C>>,
    pub(crate) link: LinkId,
    pub(crate) outgoing: mpsc::Receiver<Message>,
    /// Completes when the link is to be closed.
    pub(crate) closed: oneshot::Receiver<()>,
}

impl<C: Clock> Drop for LinkGuard<C> {
    fn drop(&mut self) {
        self.hub.close(self.link);
    }
}

#[derive(Debug)]
struct LinkEntry {
    name: InstanceName,
    direction: Direction,
    outgoing: mpsc::Sender<Message>,
    // Dropping it closes the link.
    _close: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct Links(BTreeMap<LinkId, LinkEntry>);

impl Transport for Links {
    fn send(&mut self, link: LinkId, message: Message) {
        // The response to a call serves as the confirmation.
        if matches!(message, Message::Confirm { .. }) {
            return;
        }
        if let Some(entry) = self.0.get(&link) {
            let _ = entry.outgoing.try_send(message);
        }
    }
}

#[derive(Debug)]
struct State {
    node: GossipNode,
    links: Links,
    last_link: u64,
    links_changed: bool,
}

/// `Hub` connects the gossip node with the connections and the handle.
#[derive(Debug)]
pub(crate) struct Hub<C> {
    pub(crate) options: PeerOptions,
    pub(crate) received: Arc<Received>,
    clock: C,
    state: RefCell<State>,
}

impl<C: Clock> Hub<C> {
    /// Creates a hub without connections.
    pub(crate) fn new(options: PeerOptions, received: Arc<Received>, clock: C) -> Rc<Self> {
        let node = GossipNode::new(options.name.clone(), options.gossip);
        let state = State { node, links: Links::default(), last_link: 0, links_changed: false };
        Rc::new(Self { options, received, clock, state: RefCell::new(state) })
    }

    /// Opens a link to an authenticated instance.
    ///
    /// Two instances may connect to each other at the same time. Both retain the connection that the
    /// instance with the smaller name opened. Otherwise each could close a different connection, and
    /// none would remain.
    ///
    /// # Errors
    ///
    /// `Error::LinkRejected` if another link to the instance is preferred or the limit on links is
    /// reached.
    pub(crate) fn open(
        self: &Rc<Self>,
        name: InstanceName,
        direction: Direction,
    ) -> Result<LinkGuard<C>> {
        let mut state = self.state.borrow_mut();
        let existing = state.links.0.iter().find(|(_, entry)| entry.name == name);
        if let Some((&link, entry)) = existing {
            let own_name_first = self.options.name < name;
            let wanted = match (entry.direction, direction) {
                (Direction::Dialed, Direction::Accepted) => !own_name_first,
                (Direction::Accepted, Direction::Dialed) => own_name_first,
                // The other side has abandoned the existing link.
                (Direction::Accepted, Direction::Accepted) => true,
                (Direction::Dialed, Direction::Dialed) => false,
            };
            if !wanted {
                return Err(Error::LinkRejected);
            }
            self.remove(&mut state, link);
        } else if state.links.0.len() >= self.options.max_links {
            return Err(Error::LinkRejected);
        }
        state.last_link += 1;
        let link = LinkId(state.last_link);
        let (tx, outgoing) = mpsc::channel(LINK_QUEUE);
        let (close, closed) = oneshot::channel();
        let entry = LinkEntry { name, direction, outgoing: tx, _close: close };
        state.links.0.insert(link, entry);
        state.links_changed = true;
        state.node.connect(link);
        self.received.counters.links_opened.fetch_add(1, Ordering::Relaxed);
        Ok(LinkGuard { hub: Rc::clone(self), link, outgoing, closed })
    }

    /// Closes a link if it is still open.
    pub(crate) fn close(&self, link: LinkId) {
        self.remove(&mut self.state.borrow_mut(), link);
    }

    /// Returns the instances with an open link, with the link and its direction.
    pub(crate) fn linked(&self) -> BTreeMap<InstanceName, (LinkId, Direction)> {
        let state = self.state.borrow();
        let entries = state.links.0.iter();
        entries.map(|(link, entry)| (entry.name.clone(), (*link, entry.direction))).collect()
    }

    /// Passes a message from a partner to the node and publishes the changes.
    ///
    /// # Errors
    ///
    /// `Error::LinkRejected` if the link has been closed meanwhile; otherwise any error of the node.
    pub(crate) fn receive(&self, link: LinkId, message: Message) -> Result<()> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { node, links, .. } = &mut *state;
        if !links.0.contains_key(&link) {
            return Err(Error::LinkRejected);
        }
        node.receive(link, message, now, links)?;
        drop(state);
        self.publish_changes();
        Ok(())
    }

    /// Returns the transfer that answers a partner's pull, or `None` if the partner is up to date.
    ///
    /// # Errors
    ///
    /// `Error::LinkRejected` if the link has been closed meanwhile; otherwise any error of the node.
    pub(crate) fn answer_pull(&self, link: LinkId, have: Revision) -> Result<Option<Transfer>> {
        let mut state = self.state.borrow_mut();
        if !state.links.0.contains_key(&link) {
            return Err(Error::LinkRejected);
        }
        state.node.answer_pull(have)
    }

    /// Runs the node's pending work and publishes the changes.
    pub(crate) fn tick(&self) {
        self.with_node(|_| ());
    }

    /// Changes the node, runs its pending work and publishes the changes.
    pub(crate) fn with_node(&self, change: impl FnOnce(&mut GossipNode)) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { node, links, .. } = &mut *state;
        change(node);
        node.tick(now, links);
        drop(state);
        self.publish_changes();
    }

    /// Sets the announced instances.
    pub(crate) fn set_announced(&self, announced: &[PeerAddress]) {
        let names: BTreeSet<InstanceName> =
            announced.iter().map(|peer| peer.name.clone()).collect();
        self.with_node(|node| node.set_announced(names));
    }

    /// Replaces the own acknowledgements.
    pub(crate) fn write_acks(&self, acks: crate::gossip::AckSection) {
        let now = self.clock.now();
        self.with_node(|node| node.write_acks(acks, now));
    }

    fn remove(&self, state: &mut State, link: LinkId) {
        if state.links.0.remove(&link).is_some() {
            state.node.disconnect(link);
            state.links_changed = true;
            self.received.counters.links_closed.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn publish_changes(&self) {
        let mut state = self.state.borrow_mut();
        let changes = state.node.take_changes();
        let links_changed = std::mem::take(&mut state.links_changed);
        if changes.configuration {
            self.received.configuration.send_replace(state.node.configuration().cloned());
        }
        if !(changes.acks || changes.load || changes.demand || links_changed) {
            return;
        }
        let mut next = PeerView::clone(&self.received.view.load());
        if changes.acks {
            next.acks = Arc::new(state.node.acks());
        }
        if changes.load {
            next.load = Arc::new(state.node.load());
        }
        if changes.demand {
            next.demand = Arc::new(state.node.demand());
        }
        if links_changed {
            let names = state.links.0.values().map(|entry| entry.name.clone());
            next.linked = Arc::new(names.collect());
        }
        self.received.view.store(Arc::new(next));
        self.received.changes.send_modify(|number| *number += 1);
    }
}
