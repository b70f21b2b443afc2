//! Decides what clients may make an instance hold, before it is taken: connections, heads and bodies.
//!
//! Designed for: clients that an operator doesn't control. Many at once send heads or bodies that never end, or send
//! nothing at all, and stay connected. Each kind within a bound of its own still exceeds the memory together with the
//! others, so everything is taken from the same bounds of a listener. If they are reached, clients that have sent nothing
//! for a while are evicted for those that arrive; requests that are being served never are.

use crate::body_memory::{BodyMemoryBounds, DEFAULT_MEMORY, SMALL_BODY_BYTES};
use crate::units::Millis;

/// The bytes that a connection takes until it is closed: its task, the state of the HTTP library and its first buffer.
pub const CONNECTION_BYTES: usize = 12 << 10;

/// The bytes that a request takes once its head is complete, without its head and body.
pub const REQUEST_BYTES: usize = 32 << 10;

/// How many bytes each byte of a head takes beyond the first buffer, which grows by doubling.
pub const HEAD_FACTOR: usize = 2;

/// How long a client must have sent nothing substantial to count as stalled, and to be evicted for another one.
pub const STALL_TIME: Millis = Millis(250);

/// How many bytes a client must send to count as not stalled. Single bytes from time to time don't retain what it holds.
pub const PROGRESS_BYTES: usize = 4 << 10;

/// The maximum number of clients that are evicted for another one.
const MAX_EVICTED: usize = 16;

/// The number of connections that wait to be accepted.
const BACKLOG: usize = 1_024;

/// The share of a listener's memory that the kernel's queues of those connections may take, and the limits of one queue in
/// bytes. A smaller one would slow down ordinary bodies; a larger one is needed by no client within 100 ms.
const BACKLOG_SHARE: f64 = 0.5;
const MIN_QUEUE: usize = 8 << 10;
const MAX_QUEUE: usize = 32 << 10;

/// The share of a listener's memory that bodies larger than [`SMALL_BODY_BYTES`] may take. The rest is for ordinary
/// requests.
const LARGE_SHARE: f64 = 0.875;

/// The descriptors of an instance whose settings don't name them.
const DEFAULT_DESCRIPTORS: u64 = 4_096;

/// The descriptors that are not available for sockets, at most a quarter of all.
const FILE_DESCRIPTORS: u64 = 200;

/// The shares of the memory for what instances and operators make an instance hold. Callers have the share of the bodies
/// of requests.
const INSTANCE_MEMORY: f64 = 0.06;
const OPERATOR_MEMORY: f64 = 0.01;

/// The least memory for what operators make an instance hold, in bytes: a change of the configuration of 1 MiB must fit.
const MIN_OPERATOR_MEMORY: usize = 2_000_000;

/// The shares of the sockets that clients may take. The rest is for the calls of the instance itself.
const CALLER_SOCKETS: f64 = 0.5;
const INSTANCE_SOCKETS: f64 = 0.1;
const OPERATOR_SOCKETS: f64 = 0.02;

/// `ListenerBounds` bounds what the clients of one listener may make an instance hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerBounds {
    /// The memory, in bytes.
    pub memory: usize,
    /// The number of connections.
    pub connections: usize,
}

impl ListenerBounds {
    /// Returns the size of the kernel's queue of received bytes of each connection, which a connection takes from the first
    /// byte of a request.
    ///
    /// ```
    /// use anvilhook_core::client_bounds::ClientBounds;
    ///
    /// let of = |memory| ClientBounds::of(Some(memory), None).callers.queue_bytes();
    /// assert_eq!((of(64_000_000), of(260_000_000)), (12_500, 32_768));
    /// ```
    pub fn queue_bytes(&self) -> usize {
        let most = (self.memory as f64 * BACKLOG_SHARE) as usize / BACKLOG;
        most.clamp(MIN_QUEUE, MAX_QUEUE)
    }

    /// Returns the memory for bodies larger than [`SMALL_BODY_BYTES`], in bytes.
    pub fn large_bodies(&self) -> usize {
        (self.memory as f64 * LARGE_SHARE) as usize
    }
}

/// `ClientBounds` bounds what the clients of each kind of listener may make an instance hold. Together with the answers
/// that are held whole they leave a quarter of the memory to everything else.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientBounds {
    /// The bounds for callers.
    pub callers: ListenerBounds,
    /// The bounds for other instances.
    pub instances: ListenerBounds,
    /// The bounds of each listener for operators and probes.
    pub operators: ListenerBounds,
}

impl ClientBounds {
    /// Returns the bounds for an instance with the given memory in bytes and number of descriptors, if they are known.
    ///
    /// ```
    /// use anvilhook_core::client_bounds::ClientBounds;
    ///
    /// let bounds = ClientBounds::of(Some(260_000_000), Some(4_100));
    /// assert_eq!(bounds.callers.memory, 104_000_000);
    /// assert_eq!(bounds.callers.connections, 1_950);
    /// ```
    pub fn of(memory: Option<u64>, descriptors: Option<u64>) -> Self {
        let callers = BodyMemoryBounds::of(memory).requests;
        let memory = memory.unwrap_or(DEFAULT_MEMORY) as f64;
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors - FILE_DESCRIPTORS.min(descriptors / 4);
        let share = |memory: usize, share: f64| ListenerBounds {
            memory,
            connections: ((sockets as f64 * share) as usize).max(1),
        };
        Self {
            callers: share(callers, CALLER_SOCKETS),
            instances: share((memory * INSTANCE_MEMORY) as usize, INSTANCE_SOCKETS),
            operators: share(
                ((memory * OPERATOR_MEMORY) as usize).max(MIN_OPERATOR_MEMORY),
                OPERATOR_SOCKETS,
            ),
        }
    }
}

/// `Stage` is what a client's connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It waits for the next request.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// A request has been received whole and is being served.
    Serving,
    /// It has been answered for the last time, and what its client still sends is discarded.
    Closing,
}

/// `Holding` is what one client makes an instance hold.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    /// What its connection is used for.
    pub stage: Stage,
    /// Since when it has sent nothing substantial.
    pub since: Millis,
    /// The bytes that it holds.
    pub bytes: usize,
}

impl Holding {
    /// Returns whether the client may be evicted for another one at `now`.
    fn may_be_evicted(&self, now: Millis) -> bool {
        self.stage != Stage::Serving && now - self.since >= STALL_TIME
    }

    /// Returns the order in which clients are evicted: what no request depends on any more, then by time without progress.
    fn order(&self) -> (bool, Millis) {
        (self.stage != Stage::Closing, self.since)
    }
}

/// Returns the positions of the clients to evict so that `needed` bytes and one connection become free, in order. Returns
/// `None` if too few may be evicted.
///
/// ```
/// use anvilhook_core::client_bounds::{Holding, Stage, clients_to_evict};
/// use anvilhook_core::units::Millis;
///
/// let holding = |stage, since| Holding { stage, since: Millis(since), bytes: 100 };
/// let holdings = [holding(Stage::Serving, 0), holding(Stage::Body, 20), holding(Stage::Head, 10)];
/// assert_eq!(clients_to_evict(holdings.into_iter(), 150, Millis(1_000)), Some(vec![2, 1]));
/// assert_eq!(clients_to_evict(holdings.into_iter(), 250, Millis(1_000)), None);
/// ```
pub fn clients_to_evict(
    holdings: impl Iterator<Item = Holding> + Clone,
    needed: usize,
    now: Millis,
) -> Option<Vec<usize>> {
    let mut chosen = Vec::new();
    let mut free = 0;
    while chosen.len() < MAX_EVICTED {
        let may_be_evicted =
            holdings.clone().enumerate().filter(|(_, holding)| holding.may_be_evicted(now));
        let others = may_be_evicted.filter(|(at, _)| !chosen.contains(at));
        let (at, holding) = others.min_by_key(|(_, holding)| holding.order())?;
        chosen.push(at);
        free += holding.bytes;
        if free >= needed {
            return Some(chosen);
        }
    }
    None
}

/// Returns whether a body is larger than those that may always use the memory that is left.
pub fn is_large(bytes: usize) -> bool {
    bytes > SMALL_BODY_BYTES
}
