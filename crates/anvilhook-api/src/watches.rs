//! Watches changes as they are accepted.

use anvilhook_core::resources::{Resource, ResourceKey};
use anvilhook_core::units::Revision;
use anvilhook_http::{CallError, Stage};
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::client::sse::SseReader;

use crate::errors::{Error, Result};

/// `WatchEvent` is one event of a watch. In the event stream, its type is the event's name and its
/// revision the event's id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "type")]
pub enum WatchEvent {
    /// A resource was declared or replaced.
    Put {
        /// The revision of the change.
        revision: Revision,
        /// The resource.
        resource: Box<Resource>,
    },
    /// A resource was deleted.
    Delete {
        /// The revision of the change.
        revision: Revision,
        /// The deleted resource.
        key: ResourceKey,
    },
    /// All changes up to this revision have been sent. A later watch can start here.
    Bookmark {
        /// The revision.
        revision: Revision,
    },
    /// The watcher has fallen behind the retained changes. It must list the resources and watch from
    /// the list's revision.
    TooOld {
        /// The revision after which changes are missing.
        revision: Revision,
    },
}

impl WatchEvent {
    /// Returns the event's name on the wire.
    pub fn name(&self) -> &'static str {
        match self {
            WatchEvent::Put { .. } => "put",
            WatchEvent::Delete { .. } => "delete",
            WatchEvent::Bookmark { .. } => "bookmark",
            WatchEvent::TooOld { .. } => "too-old",
        }
    }

    /// Returns the revision of the event.
    pub fn revision(&self) -> Revision {
        match self {
            WatchEvent::Put { revision, .. }
            | WatchEvent::Delete { revision, .. }
            | WatchEvent::Bookmark { revision }
            | WatchEvent::TooOld { revision } => *revision,
        }
    }
}

/// `WatchReader` reads the events of a watch.
pub struct WatchReader {
    events: SseReader<Body>,
}

impl WatchReader {
    pub(crate) fn new(events: SseReader<Body>) -> Self {
        Self { events }
    }

    /// Returns the next event, or `None` if the instance has ended the watch because it stops or
    /// because the watcher was too slow. A new watch from the last revision continues.
    ///
    /// # Errors
    ///
    /// `Error::Call` if the connection failed and `Error::BadAnswer` for an event that cannot be
    /// decoded.
    pub async fn next(&mut self) -> Result<Option<WatchEvent>> {
        loop {
            let read = self.events.read().await;
            let event = read.map_err(|err| Error::Call(CallError::broken(Stage::Body, err)))?;
            let Some(event) = event else { return Ok(None) };
            // An event without data only keeps the connection alive.
            if let Some(data) = event.data() {
                return serde_json::from_str(data).map(Some).map_err(Error::bad_answer);
            }
        }
    }
}
