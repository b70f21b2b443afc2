//! Following the configuration: what is in force on this instance never goes back.

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

/// The number of changes that an instance holds for those who watch.
const HISTORY_ENTRIES: usize = 1_024;

/// `Adoption` is what became of a configuration that was found or offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// It is newer than what was in force, and in force now.
    Adopted(Revision),
    /// It is not newer. What is in force stays.
    Kept(Revision),
}

/// `ConfigurationFollower` keeps the newest configuration that this instance has heard of. Clones
/// share it.
///
/// It hears of configurations from the table, from peers and from the changes that it makes. They
/// may come in any order; a lower revision than the one in force is never adopted, so a lagging
/// peer or a poll that was answered late cannot undo a change.
#[derive(Debug)]
pub struct ConfigurationFollower<T> {
    shared: Arc<Shared<T>>,
}

#[derive(Debug)]
struct Shared<T> {
    store: ConfigurationStore<T>,
    current: ArcSwap<Configuration>,
    revisions: watch::Sender<Revision>,
    /// Held while adopting, so that comparing and replacing are one step. Readers do not take it.
    history: Mutex<History>,
}

impl<T> Clone for ConfigurationFollower<T> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared) }
    }
}

impl<T: Table> ConfigurationFollower<T> {
    /// Starts with the empty configuration of revision zero.
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

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        self.shared.current.load_full()
    }

    /// Returns the configuration in force for a short look, without counting a reference. This is
    /// for the path of a request.
    pub fn load(&self) -> Guard<Arc<Configuration>> {
        self.shared.current.load()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.load().revision()
    }

    /// Watches the revision in force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.shared.revisions.subscribe()
    }

    /// Reads what the table has that is not in force here yet, and adopts it. While nothing changes
    /// this reads one row.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the table cannot be read and `Error::Reverted` if it is behind. What is
    /// in force stays either way.
    pub async fn poll_once(&self) -> Result<Adoption> {
        let caught_up = self.shared.store.catch_up(&self.current()).await?;
        Ok(self.adopt(caught_up.configuration, &caught_up.entries))
    }

    /// Takes a configuration that a peer holds. An instance that starts while the table is down
    /// takes the highest revision among its peers in this way.
    pub fn offer(&self, cfg: Configuration) -> Adoption {
        self.adopt(Arc::new(cfg), &[])
    }

    /// Makes a change, and has it in force on this instance when it returns.
    ///
    /// # Errors
    ///
    /// As `ConfigurationStore::change`.
    pub async fn change(&self, req: &ChangeRequest) -> Result<Accepted> {
        let accepted = self.shared.store.change(&self.current(), req).await?;
        self.adopt(Arc::clone(&accepted.configuration), &accepted.entries);
        Ok(accepted)
    }

    /// Returns up to `limit` changes after a revision, from memory if they are held there and from
    /// the table if not.
    ///
    /// # Errors
    ///
    /// `Error::TooOld` if some of them are only in the archive, `Error::Platform` if the table has
    /// to be read and cannot be.
    pub async fn changes_since(&self, after: Revision, limit: usize) -> Result<Vec<AuditEntry>> {
        let held = self.lock_history().since(after, limit);
        match held {
            Some(entries) => Ok(entries),
            None => self.shared.store.changes_since(after, limit).await,
        }
    }

    fn adopt(&self, cfg: Arc<Configuration>, entries: &[AuditEntry]) -> Adoption {
        let mut history = self.lock_history();
        let in_force = self.revision();
        let revision = cfg.revision();
        if revision <= in_force {
            return Adoption::Kept(in_force);
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
        log::info!("configuration {revision} is in force");
        Adoption::Adopted(revision)
    }

    fn lock_history(&self) -> std::sync::MutexGuard<'_, History> {
        // A panic while recording leaves a history that is at worst too short.
        self.shared.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Error {
    /// Returns whether following the table may be tried again soon.
    pub fn is_outage(&self) -> bool {
        matches!(self, Error::Platform(_) | Error::NotAccepted { .. })
    }
}
