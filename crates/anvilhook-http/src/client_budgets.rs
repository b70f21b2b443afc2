//! Counts what the clients of a listener make the process hold, before it is taken.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::client_bounds::{
    CONNECTION_BYTES, Holding, ListenerBounds, Stage, clients_to_evict,
};
use anvilhook_core::units::Millis;
use futures_util::task::AtomicWaker;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::client_holds::{ClientConnection, ClientHold};

/// The share of the bounds that evicted clients may hold beyond the bounds until they have left, as a divisor.
const EVICTED_SHARE: usize = 16;

/// `ClientBudget` counts what the clients of one listener hold. Clones share it.
///
/// ```
/// use anvilhook_core::client_bounds::{CONNECTION_BYTES, ListenerBounds};
/// use anvilhook_http::ClientBudget;
///
/// let bounds = ListenerBounds { memory: 10 * CONNECTION_BYTES, connections: 2 };
/// let budget = ClientBudget::new(bounds);
/// let connections = [budget.connect(), budget.connect()];
/// assert!(connections.iter().all(Option::is_some));
/// assert!(budget.connect().is_none());
/// ```
#[derive(Clone, Debug)]
pub struct ClientBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    bounds: ListenerBounds,
    started_at: Instant,
    state: Mutex<State>,
    /// Notified when the last client has left.
    emptied: Notify,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    next: u64,
    clients: HashMap<u64, Arc<Client>>,
    /// The bytes of all clients, without those that have been evicted.
    used: usize,
    /// The bytes of bodies, and of those that are large.
    pub bodies: usize,
    pub large: usize,
    /// The evicted clients that have not left yet, and their bytes.
    evicted: usize,
    evicted_bytes: usize,
}

/// `Client` is one connection and what it holds. The counts change only under the lock of the state.
#[derive(Debug)]
pub(crate) struct Client {
    pub stage: AtomicU8,
    /// Since when nothing substantial has been sent, and the bytes since then.
    pub since: AtomicU64,
    pub unmarked: AtomicUsize,
    /// When the first byte of the head has been received.
    pub head_since: AtomicU64,
    pub bytes: AtomicUsize,
    /// The part of `bytes` that is given back when the request ends.
    pub request_bytes: AtomicUsize,
    /// Whether a part of an answer waits for the client to read. The request has ended for the library by then.
    pub is_writing: AtomicBool,
    command: AtomicU8,
    pub waker: AtomicWaker,
}

/// `Command` is what a connection has to do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Command {
    /// It goes on.
    Serve,
    /// It closes after the request that is being served, if there is one.
    Close,
    /// It gives up what it holds, as another client needs it.
    Evict,
}

const STAGES: [Stage; 5] = [Stage::Idle, Stage::Head, Stage::Body, Stage::Serving, Stage::Closing];
const COMMANDS: [Command; 3] = [Command::Serve, Command::Close, Command::Evict];

impl Client {
    pub fn new(now: Millis) -> Self {
        Self {
            stage: AtomicU8::new(Stage::Idle as u8),
            since: AtomicU64::new(now.0),
            unmarked: AtomicUsize::new(0),
            head_since: AtomicU64::new(now.0),
            bytes: AtomicUsize::new(CONNECTION_BYTES),
            request_bytes: AtomicUsize::new(0),
            is_writing: AtomicBool::new(false),
            command: AtomicU8::new(Command::Serve as u8),
            waker: AtomicWaker::new(),
        }
    }

    pub fn stage(&self) -> Stage {
        STAGES[usize::from(self.stage.load(Ordering::Acquire))]
    }

    pub fn command(&self) -> Command {
        COMMANDS[usize::from(self.command.load(Ordering::Acquire))]
    }

    pub fn is_evicted(&self) -> bool {
        self.command() == Command::Evict
    }

    fn holding(&self) -> Holding {
        // An evicted client can't be evicted again.
        let is_excepted = self.is_evicted() || self.is_writing.load(Ordering::Acquire);
        Holding {
            stage: if is_excepted { Stage::Serving } else { self.stage() },
            since: Millis(self.since.load(Ordering::Acquire)),
            bytes: self.bytes.load(Ordering::Acquire),
        }
    }

    fn set_command(&self, command: Command) {
        self.command.fetch_max(command as u8, Ordering::AcqRel);
        self.waker.wake();
    }

    pub fn enter(&self, stage: Stage, now: Millis) {
        self.since.store(now.0, Ordering::Release);
        self.unmarked.store(0, Ordering::Release);
        self.stage.store(stage as u8, Ordering::Release);
    }
}

impl State {
    /// Makes room for a client's `bytes` more bytes. Returns false if there is none.
    pub fn make_room(&mut self, bounds: &ListenerBounds, bytes: usize, now: Millis) -> bool {
        let missing = (self.used + bytes).saturating_sub(bounds.memory);
        missing == 0 || self.evict_others(bounds, missing, 0, now)
    }

    /// Evicts clients that hold more than `at_least` bytes, `needed` bytes together. Returns false if too few may be evicted.
    pub fn evict_others(
        &mut self,
        bounds: &ListenerBounds,
        needed: usize,
        at_least: usize,
        now: Millis,
    ) -> bool {
        let is_slow_to_leave = self.evicted > bounds.connections / EVICTED_SHARE
            || self.evicted_bytes > bounds.memory / EVICTED_SHARE;
        if is_slow_to_leave {
            return false;
        }
        let eligible = || self.clients.values().filter(|one| one.holding().bytes > at_least);
        let Some(chosen) = clients_to_evict(eligible().map(|one| one.holding()), needed, now)
        else {
            return false;
        };
        let chosen = chosen.into_iter().filter_map(|at| eligible().nth(at).cloned());
        for client in chosen.collect::<Vec<Arc<Client>>>() {
            let bytes = client.holding().bytes;
            self.used -= bytes;
            self.evicted_bytes += bytes;
            self.evicted += 1;
            client.set_command(Command::Evict);
        }
        true
    }

    pub fn add(&mut self, client: &Client, bytes: usize) {
        client.bytes.fetch_add(bytes, Ordering::AcqRel);
        if client.is_evicted() {
            self.evicted_bytes += bytes;
        } else {
            self.used += bytes;
        }
    }

    pub fn subtract(&mut self, client: &Client, bytes: usize) {
        client.bytes.fetch_sub(bytes, Ordering::AcqRel);
        if client.is_evicted() {
            self.evicted_bytes -= bytes;
        } else {
            self.used -= bytes;
        }
    }
}

impl ClientBudget {
    /// Creates the budget of a listener whose clients hold nothing yet.
    pub fn new(bounds: ListenerBounds) -> Self {
        let state = Mutex::default();
        let emptied = Notify::new();
        Self(Arc::new(Shared { bounds, started_at: Instant::now(), state, emptied }))
    }

    /// Returns the budget of a listener that only trusted clients can reach.
    pub fn unbounded() -> Self {
        Self::new(ListenerBounds { memory: usize::MAX / 2, connections: usize::MAX / 2 })
    }

    /// Takes a new connection. Returns `None` if there are too many, or no memory is left, and no client may be evicted.
    pub fn connect(&self) -> Option<ClientConnection> {
        let (bounds, now) = (self.0.bounds, self.now());
        let mut state = self.state();
        let is_full = state.clients.len() - state.evicted >= bounds.connections;
        if is_full && !state.evict_others(&bounds, 1, 0, now) {
            return None;
        }
        if !state.make_room(&bounds, CONNECTION_BYTES, now) {
            return None;
        }
        let id = state.next;
        state.next += 1;
        let client = Arc::new(Client::new(now));
        state.used += CONNECTION_BYTES;
        state.clients.insert(id, Arc::clone(&client));
        Some(ClientConnection::new(id, ClientHold::new(self, client)))
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> &ListenerBounds {
        &self.0.bounds
    }

    /// Returns the bytes of the bodies that are held.
    pub fn body_bytes(&self) -> usize {
        self.state().bodies
    }

    /// Returns all bytes that are held.
    pub fn used_bytes(&self) -> usize {
        let state = self.state();
        state.used + state.evicted_bytes
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.state().clients.len()
    }

    /// Makes all connections close once their requests have been served.
    pub(crate) fn close(&self) {
        for client in self.state().clients.values() {
            client.set_command(Command::Close);
        }
    }

    /// Waits until no connection is left.
    pub(crate) async fn emptied(&self) {
        loop {
            let emptied = self.0.emptied.notified();
            if self.connections() == 0 {
                return;
            }
            emptied.await;
        }
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(self.0.started_at.elapsed().as_millis() as u64)
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes a connection that has ended.
    pub(crate) fn disconnect(&self, id: u64, client: &Client) {
        let mut state = self.state();
        let released = client.request_bytes.swap(0, Ordering::AcqRel) + CONNECTION_BYTES;
        state.subtract(client, released);
        // From here on a body that outlives its connection is counted, but can't be evicted.
        state.clients.remove(&id);
        state.evicted -= usize::from(client.is_evicted());
        if state.clients.is_empty() {
            self.0.emptied.notify_waiters();
        }
    }
}
