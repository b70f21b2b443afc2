//! Streams changes to watchers as they are accepted.
//!
//! All watchers read the instance's shared history, each at its own pace, and each has only a small
//! buffer of its own. A watcher whose buffer stays full is dropped. A watcher that lags behind the
//! retained history gets a `too-old` event and must start again.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use anvilhook_api::{Code, Refusal, WatchEvent};
use anvilhook_core::resources::{Action, AuditEntry, Resource};
use anvilhook_core::units::Revision;
use anvilhook_http::Phase;
use anvilhook_platform::{ObjectStore, Table};
use anvilhook_store::Error;
use futures_util::stream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use volo_http::server::IntoResponse;
use volo_http::server::response::sse::{Event, KeepAlive, Sse};

use super::endpoints::{Answer, Call};
use super::leases::LeaseSource;
use super::{OperatorApi, refusals};

/// The maximum number of changes read from the history at once.
const BATCH: usize = 256;

/// The header in which a reconnecting watcher sends the id of the last event that it received.
const LAST_EVENT_ID: &str = "last-event-id";

/// Answers with a stream of all changes after a revision, including future ones.
pub(super) async fn watch<T: Table, O: ObjectStore, L: LeaseSource>(
    api: Arc<OperatorApi<T, O, L>>,
    call: Call,
) -> Answer {
    let from = first_revision(&api, &call)?;
    let Ok(permit) = Arc::clone(&api.watchers).try_acquire_owned() else {
        let message = "the instance has reached its limit of watchers; watch at another one";
        return Err(Box::new(Refusal::new(Code::TooManyWatchers, message)));
    };
    // A watcher that is too far behind gets an error status here, before any event.
    api.follower.changes_since(from, 1).await.map_err(refusals::of_read)?;

    let (tx, rx) = mpsc::channel(api.options.watch_buffer);
    let keep_alive = KeepAlive::new().interval(api.options.watch_keep_alive.as_duration());
    tokio::spawn(Watcher { api, sent: from, tx, _permit: permit }.run());
    let events = stream::unfold(rx, |mut rx| async move {
        let event: WatchEvent = rx.recv().await?;
        Some((Ok::<_, Infallible>(encode(&event)), rx))
    });
    Ok(Sse::new(events).keep_alive(keep_alive).into_response())
}

fn first_revision<T: Table, O: ObjectStore, L: LeaseSource>(
    api: &OperatorApi<T, O, L>,
    call: &Call,
) -> Answer<Revision> {
    if let Some(seen) = call.header(LAST_EVENT_ID)? {
        let revision = seen.parse().map(Revision);
        return revision.map_err(|_| Box::new(Refusal::bad_field(LAST_EVENT_ID, "a revision")));
    }
    Ok(call.parameters.from.map_or_else(|| api.follower.revision(), Revision))
}

/// `Ended` means that a watch has ended and no further event is sent.
struct Ended;

/// `Watcher` sends events to one watcher.
struct Watcher<T, O, L> {
    api: Arc<OperatorApi<T, O, L>>,
    sent: Revision,
    tx: mpsc::Sender<WatchEvent>,
    /// Counts the watcher towards the limit until dropped.
    _permit: OwnedSemaphorePermit,
}

impl<T: Table, O: ObjectStore, L: LeaseSource> Watcher<T, O, L> {
    async fn run(mut self) {
        let api = Arc::clone(&self.api);
        let closed = self.tx.clone();
        tokio::select! {
            Ended = self.feed() => {}
            () = closed.closed() => {}
            // A watch never ends by itself and would delay the instance's stop.
            () = api.shutdown.reached(Phase::Draining) => {}
        }
    }

    async fn feed(&mut self) -> Ended {
        let mut revisions = self.api.follower.subscribe();
        loop {
            if let Err(ended) = self.catch_up().await {
                return ended;
            }
            let sent = self.sent;
            if revisions.wait_for(|revision| *revision > sent).await.is_err() {
                return Ended;
            }
        }
    }

    /// Sends all changes up to the applied revision, and then a bookmark, which confirms that the
    /// watcher has received everything up to there.
    async fn catch_up(&mut self) -> Result<(), Ended> {
        while self.sent < self.api.follower.revision() {
            match self.api.follower.changes_since(self.sent, BATCH).await {
                Ok(entries) if !entries.is_empty() => self.send_all(entries).await?,
                Err(Error::TooOld { .. }) => {
                    self.send(WatchEvent::TooOld { revision: self.sent }).await?;
                    return Err(Ended);
                }
                // The missing changes are in the table, which is unavailable or itself behind. The
                // watcher waits, because its state would stay incorrect if changes were skipped.
                waiting => {
                    log::warn!("watcher at {} waits for the table: {waiting:?}", self.sent);
                    tokio::time::sleep(self.api.options.watch_retry.as_duration()).await;
                }
            }
        }
        self.send(WatchEvent::Bookmark { revision: self.sent }).await
    }

    async fn send_all(&mut self, entries: Vec<AuditEntry>) -> Result<(), Ended> {
        for entry in entries {
            self.sent = entry.revision;
            self.send(to_event(entry)).await?;
        }
        Ok(())
    }

    async fn send(&self, event: WatchEvent) -> Result<(), Ended> {
        let limit: Duration = self.api.options.watch_wait_limit.as_duration();
        match tokio::time::timeout(limit, self.tx.send(event)).await {
            Ok(sent) => sent.map_err(|_| Ended),
            Err(_elapsed) => {
                log::warn!("watcher at {} dropped because it reads too slowly", self.sent);
                Err(Ended)
            }
        }
    }
}

fn to_event(entry: AuditEntry) -> WatchEvent {
    let revision = entry.revision;
    match entry.change.action {
        Action::Put(spec) => {
            let name = entry.change.key.name;
            let resource = Resource { name, version: revision, spec, status: Vec::new() };
            WatchEvent::Put { revision, resource: Box::new(resource) }
        }
        Action::Delete => WatchEvent::Delete { revision, key: entry.change.key },
    }
}

fn encode(event: &WatchEvent) -> Event {
    let id = event.revision().0.to_string();
    // Encoding names and specs does not fail; if it did, clients would skip the event without data.
    let data = serde_json::to_string(event).unwrap_or_default();
    Event::new().event(event.name()).id(id).data(data)
}
