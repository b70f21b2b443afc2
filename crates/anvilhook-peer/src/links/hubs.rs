//! What all connections of one instance share, on the link's thread.

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

/// The messages that may wait on a link. A node sends one update and one pull at a time; what does
/// not fit is lost, and the node sends it again.
const LINK_QUEUE: usize = 8;

/// `Direction` says which end connected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Direction {
    /// This instance did.
    Dialed,
    /// The other did.
    Accepted,
}

/// `LinkGuard` is what a connection's task holds of its link. Dropping it closes the link, so that no
/// link stands without a task, whenever that is cancelled.
#[derive(Debug)]
pub(crate) struct LinkGuard<C: Clock> {
    hub: Rc<Hub<C>>,
    pub(crate) link: LinkId,
    pub(crate) outgoing: mpsc::Receiver<Message>,
    /// Ends when the link is to be closed.
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
        // The answer of a call is the confirmation.
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

/// `Hub` connects the pure node with the connections and with the handle.
#[derive(Debug)]
pub(crate) struct Hub<C> {
    pub(crate) options: PeerOptions,
    pub(crate) received: Arc<Received>,
    clock: C,
    state: RefCell<State>,
}

impl<C: Clock> Hub<C> {
    /// Makes a hub without connections.
    pub(crate) fn new(options: PeerOptions, received: Arc<Received>, clock: C) -> Rc<Self> {
        let node = GossipNode::new(options.name.clone(), options.gossip);
        let state = State { node, links: Links::default(), last_link: 0, links_changed: false };
        Rc::new(Self { options, received, clock, state: RefCell::new(state) })
    }

    /// Opens a link to an instance that has proved itself.
    ///
    /// Two instances may connect to each other at the same time. Both keep the connection that the
    /// smaller name made, so that they do not close one each.
    ///
    /// # Errors
    ///
    /// `Error::LinkRejected` if another link to it stands or all places are taken.
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
                // The other side has given the standing one up.
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

    /// Closes a link, if it still stands.
    pub(crate) fn close(&self, link: LinkId) {
        self.remove(&mut self.state.borrow_mut(), link);
    }

    /// Returns the instances that links stand to, with the links that this instance made.
    pub(crate) fn linked(&self) -> BTreeMap<InstanceName, (LinkId, Direction)> {
        let state = self.state.borrow();
        let entries = state.links.0.iter();
        entries.map(|(link, entry)| (entry.name.clone(), (*link, entry.direction))).collect()
    }

    /// Takes a message from a partner.
    ///
    /// # Errors
    ///
    /// `Error::LinkRejected` if the link has been closed meanwhile; what the node returns otherwise.
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

    /// Answers a partner's pull.
    ///
    /// # Errors
    ///
    /// `Error::LinkRejected` if the link has been closed meanwhile; what the node returns otherwise.
    pub(crate) fn answer_pull(&self, link: LinkId, have: Revision) -> Result<Option<Transfer>> {
        let mut state = self.state.borrow_mut();
        if !state.links.0.contains_key(&link) {
            return Err(Error::LinkRejected);
        }
        state.node.answer_pull(have)
    }

    /// Sends what is due and publishes what has changed.
    pub(crate) fn tick(&self) {
        self.with_node(|_| ());
    }

    /// Changes the node and sends what has become due.
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
