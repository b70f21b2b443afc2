//! Follows the configuration. The revision that is applied on this instance never goes back.

use std::sync::{Arc, Mutex, PoisonError};

use anvilhook_core::resources::{AuditEntry, Configuration};
use anvilhook_core::units::Revision;
use anvilhook_platform::Table;
use arc_swap::{ArcSwap, Guard};
use tokio::sync::watch;

use crate::changes::{Accepted, ChangeRequest};
use crate::configurations::ConfigurationStore;
use crate::errors::{Error, Result};
use crate::histories::History;

/// The number of changes that an instance retains in memory for watchers.
const HISTORY_ENTRIES: usize = 1_024;

/// `Adoption` is the outcome for a configuration that was read or offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// It is newer than the applied one and has replaced it. This is its revision.
    Adopted(Revision),
    /// It is not newer. This is the revision that stays applied.
    Kept(Revision),
}

/// `ConfigurationFollower` stores the newest configuration that this instance has received, which is
/// the applied one. Clones share it.
///
/// It receives configurations from the table, from peers and from the changes that it makes, in any
/// order. A lower revision than the applied one is never adopted, so a lagging peer or a poll that was
/// answered late cannot undo a change.
#[derive(Debug)]
pub struct ConfigurationFollower<T> {
    shared: Arc<Shared<T>>,
}

#[derive(Debug)]
struct Shared<T> {
    store: ConfigurationStore<T>,
    current: ArcSwap<Configuration>,
    revisions: watch::Sender<Revision>,
    /// Locked while adopting, so that comparing and replacing are atomic. Readers do not lock it.
    history: Mutex<History>,
}

impl<T> Clone for ConfigurationFollower<T> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared) }
    }
}

impl<T: Table> ConfigurationFollower<T> {
    /// Creates a follower with the empty configuration of revision zero.
    pub fn new(store: ConfigurationStore<T>) -> Self {
        Self {
            shared: Arc::new(Shared {
                store,
                current: ArcSwap::default(),
                revisions: watch::Sender::new(Revision::default()),
                history: Mutex::new(History::new(HISTORY_ENTRIES)),
            }),
        }
    }

    /// Returns the store that is followed.
    pub fn store(&self) -> &ConfigurationStore<T> {
        &self.shared.store
    }

    /// Returns the applied configuration.
    pub fn current(&self) -> Arc<Configuration> {
        self.shared.current.load_full()
    }

    /// Returns the applied configuration for short use, without incrementing its reference count. This
    /// is for the request path.
    pub fn load(&self) -> Guard<Arc<Configuration>> {
        self.shared.current.load()
    }

    /// Returns the applied revision.
    pub fn revision(&self) -> Revision {
        self.load().revision()
    }

    /// Returns a receiver that watches the applied revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.shared.revisions.subscribe()
    }

    /// Reads and adopts changes from the table that are not applied here yet. This reads only one row
    /// while nothing changes.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be read and `Error::Reverted` if it is behind. The applied
    /// configuration stays in both cases.
    pub async fn poll_once(&self) -> Result<Adoption> {
        let caught_up = self.shared.store.catch_up(&self.current()).await?;
        Ok(self.adopt(caught_up.configuration, &caught_up.entries))
    }

    /// Adopts a peer's configuration if it is newer. In this way an instance that starts while the
    /// table is down gets the highest revision among its peers.
    pub fn offer(&self, cfg: Configuration) -> Adoption {
        self.adopt(Arc::new(cfg), &[])
    }

    /// Makes a change, which is applied on this instance when this returns.
    ///
    /// # Errors
    ///
    /// The same as for `ConfigurationStore::change`.
    pub async fn change(&self, req: &ChangeRequest) -> Result<Accepted> {
        let accepted = self.shared.store.change(&self.current(), req).await?;
        self.adopt(Arc::clone(&accepted.configuration), &accepted.entries);
        Ok(accepted)
    }

    /// Returns up to `limit` changes after a revision, from memory if they are retained there and
    /// otherwise from the table.
    ///
    /// # Errors
    ///
    /// `Error::TooOld` if some of them are only in the archive, `Error::Platform` if the table is
    /// needed and cannot be read.
    pub async fn changes_since(&self, after: Revision, limit: usize) -> Result<Vec<AuditEntry>> {
        let held = self.lock_history().since(after, limit);
        match held {
            Some(entries) => Ok(entries),
            None => self.shared.store.changes_since(after, limit).await,
        }
    }

    fn adopt(&self, cfg: Arc<Configuration>, entries: &[AuditEntry]) -> Adoption {
        let mut history = self.lock_history();
        let applied = self.revision();
        let revision = cfg.revision();
        if revision <= applied {
            return Adoption::Kept(applied);
        }
        history.record(entries, revision);
        self.shared.current.store(cfg);
        drop(history);
        self.shared.revisions.send_if_modified(|seen| {
            let is_newer = revision > *seen;
            if is_newer {
                *seen = revision;
            }
            is_newer
        });
        log::info!("configuration {revision} is applied");
        Adoption::Adopted(revision)
    }

    fn lock_history(&self) -> std::sync::MutexGuard<'_, History> {
        // A panic during `record` can only leave a history that is too short, so poisoning is ignored.
        self.shared.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Error {
    /// Returns whether the error is an outage of the platform, so that a retry may soon succeed.
    pub fn is_outage(&self) -> bool {
        matches!(self, Error::Platform(_) | Error::NotAccepted { .. })
    }
}
