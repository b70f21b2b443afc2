//! What one client holds: its connection, its request and the body of it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Waker;

use anvilhook_core::body_memory::SMALL_BODY_BYTES;
use anvilhook_core::client_bounds::{PROGRESS_BYTES, REQUEST_BYTES, Stage, is_large};
use anvilhook_core::units::Millis;
use bytes::Bytes;
use http::Extensions;
use volo_http::body::Body;

use crate::bodies::counted;
use crate::client_budgets::{Client, ClientBudget, Command};
use crate::collecting::{BodyBounds, CollectError, Room, Unlimited, collect_body_within};

/// `ClientConnection` counts one connection until it is dropped.
#[derive(Debug)]
pub struct ClientConnection {
    id: u64,
    hold: ClientHold,
}

impl ClientConnection {
    pub(crate) fn new(id: u64, hold: ClientHold) -> Self {
        Self { id, hold }
    }

    /// Returns a handle to what the client holds.
    pub fn hold(&self) -> &ClientHold {
        &self.hold
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let ClientHold { budget, client } = &self.hold;
        budget.disconnect(self.id, client);
    }
}

/// `ClientHold` is a handle to what one client holds. Clones refer to the same client.
#[derive(Clone, Debug)]
pub struct ClientHold {
    budget: ClientBudget,
    client: Arc<Client>,
}

impl ClientHold {
    pub(crate) fn new(budget: &ClientBudget, client: Arc<Client>) -> Self {
        Self { budget: budget.clone(), client }
    }

    /// Returns a handle that belongs to no connection. It takes from `budget` but is never evicted.
    pub fn detached(budget: &ClientBudget) -> Self {
        let client = Client::new(budget.now());
        client.bytes.store(0, Ordering::Release);
        client.stage.store(Stage::Serving as u8, Ordering::Release);
        Self { budget: budget.clone(), client: Arc::new(client) }
    }

    /// Begins to collect the body of the client's request.
    pub fn body_room(&self) -> BodyRoom {
        BodyRoom { hold: self.clone(), bytes: 0 }
    }

    pub(crate) fn stage(&self) -> Stage {
        self.client.stage()
    }

    pub(crate) fn command(&self) -> Command {
        self.client.command()
    }

    pub(crate) fn now(&self) -> Millis {
        self.budget.now()
    }

    /// Returns since when the client has sent nothing substantial, or has been idle.
    pub(crate) fn since(&self) -> Millis {
        Millis(self.client.since.load(Ordering::Acquire))
    }

    /// Returns when the first byte of the head arrived.
    pub(crate) fn head_since(&self) -> Millis {
        Millis(self.client.head_since.load(Ordering::Acquire))
    }

    pub(crate) fn enter(&self, stage: Stage) {
        self.client.enter(stage, self.now());
    }

    /// Wakes `waker` when the command changes.
    pub(crate) fn wake_by_commands(&self, waker: &Waker) {
        self.client.waker.register(waker);
    }

    /// Records bytes that the client has sent or read.
    pub(crate) fn record_progress(&self, bytes: usize) {
        if self.client.unmarked.fetch_add(bytes, Ordering::AcqRel) + bytes >= PROGRESS_BYTES {
            self.client.unmarked.store(0, Ordering::Release);
            self.client.since.store(self.now().0, Ordering::Release);
        }
    }

    /// Records whether a part of an answer waits for the client to read.
    pub(crate) fn set_writing(&self, is_writing: bool) {
        self.client.is_writing.store(is_writing, Ordering::Release);
    }

    /// Records the first byte of a head. Returns false if there is no room for a request.
    pub(crate) fn begin_head(&self) -> bool {
        let now = self.now();
        self.client.head_since.store(now.0, Ordering::Release);
        self.client.enter(Stage::Head, now);
        self.try_take(self.budget.bounds().queue_bytes())
    }

    /// Records that a head is complete. Returns false if there is no room for the request.
    pub(crate) fn begin_request(&self, has_body: bool) -> bool {
        self.enter(if has_body { Stage::Body } else { Stage::Serving });
        self.try_take(REQUEST_BYTES)
    }

    /// Records that the request has been answered, and gives back what it took, except for its body.
    pub(crate) fn end_request(&self) {
        if self.stage() != Stage::Closing {
            self.enter(Stage::Idle);
        }
        let mut state = self.budget.state();
        let released = self.client.request_bytes.swap(0, Ordering::AcqRel);
        state.subtract(&self.client, released);
    }

    /// Takes bytes until the request ends. Returns false if there is no room.
    pub(crate) fn try_take(&self, bytes: usize) -> bool {
        let (bounds, now) = (*self.budget.bounds(), self.budget.now());
        let mut state = self.budget.state();
        if self.client.is_evicted() || !state.make_room(&bounds, bytes, now) {
            return false;
        }
        state.add(&self.client, bytes);
        self.client.request_bytes.fetch_add(bytes, Ordering::AcqRel);
        true
    }
}

/// `BodyRoom` is what one body takes, until it is dropped.
#[derive(Debug)]
pub struct BodyRoom {
    hold: ClientHold,
    bytes: usize,
}

/// Returns the part of a body's bytes that counts as large.
fn large_part(bytes: usize) -> usize {
    if is_large(bytes) { bytes } else { 0 }
}

impl BodyRoom {
    fn return_bytes(&mut self, bytes: usize) {
        let left = self.bytes - bytes;
        let mut state = self.hold.budget.state();
        state.subtract(&self.hold.client, bytes);
        state.bodies -= bytes;
        state.large -= large_part(self.bytes) - large_part(left);
        self.bytes = left;
    }
}

impl Room for BodyRoom {
    fn try_take(&mut self, bytes: usize) -> bool {
        let ClientHold { budget, client } = &self.hold;
        let (bounds, now) = (*budget.bounds(), budget.now());
        let more_large = large_part(self.bytes + bytes) - large_part(self.bytes);
        let mut state = budget.state();
        if client.is_evicted() {
            return false;
        }
        let excess = (state.large + more_large).saturating_sub(bounds.large_bodies());
        let has_room = more_large == 0
            || excess == 0
            || state.evict_others(&bounds, excess, SMALL_BODY_BYTES, now);
        if !has_room || !state.make_room(&bounds, bytes, now) {
            return false;
        }
        state.add(client, bytes);
        state.bodies += bytes;
        state.large += more_large;
        self.bytes += bytes;
        true
    }

    fn give_back(&mut self, bytes: usize) {
        self.return_bytes(bytes);
    }

    fn is_revoked(&self) -> bool {
        self.hold.client.is_evicted()
    }

    fn complete(&mut self) {
        if self.hold.stage() == Stage::Body {
            self.hold.enter(Stage::Serving);
        }
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.return_bytes(self.bytes);
    }
}

/// Collects the body of a request, whose room is given back when the bytes are dropped. `extensions` are those of the
/// request; one that did not come through a server of this crate takes no room.
///
/// # Errors
///
/// Any [`CollectError`].
pub async fn collect_request(
    extensions: &Extensions,
    body: Body,
    bounds: &BodyBounds,
) -> Result<Bytes, CollectError> {
    let Some(hold) = extensions.get::<ClientHold>() else {
        return collect_body_within(body, bounds, &mut Unlimited).await;
    };
    let mut room = hold.body_room();
    let body = collect_body_within(body, bounds, &mut room).await?;
    Ok(counted(body, room))
}
