//! Queries to other instances for the origin of a stream.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use anvilhook_core::stream_origins::StreamOrigin;
use tokio::sync::Notify;

/// The maximum number of lookups at the same time. Beyond it, origins count as unknown.
const MAX_LOOKUPS: usize = 4_096;

/// `Lookups` holds the queries that wait for answers.
#[derive(Debug, Default)]
pub(super) struct Lookups(Mutex<Numbered>);

#[derive(Debug, Default)]
struct Numbered {
    next: u32,
    running: HashMap<u32, Arc<LookupState>>,
}

/// `LookupState` is what a query has found so far.
#[derive(Debug)]
struct LookupState {
    progress: Mutex<Progress>,
    answered: Notify,
}

/// `Progress` is the state of a query.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// The instances that have not answered.
    pub waiting_for: Vec<SocketAddr>,
    /// The number of instances that keep any origin of the request.
    pub keepers: usize,
    /// These origins.
    pub origins: Vec<StreamOrigin>,
}

impl Progress {
    /// Adds the origins that an instance keeps.
    pub fn add(&mut self, origins: &[StreamOrigin]) {
        self.keepers += usize::from(!origins.is_empty());
        self.origins.extend_from_slice(origins);
    }
}

/// `Lookup` is a query until it is dropped.
#[derive(Debug)]
pub(super) struct Lookup<'a> {
    lookups: &'a Lookups,
    state: Arc<LookupState>,
    /// Its number, which the answers carry.
    pub number: u32,
}

impl Lookups {
    fn lock(&self) -> MutexGuard<'_, Numbered> {
        self.0.lock().expect("no panic under this lock")
    }

    /// Begins a query to the given instances, `None` if there are too many already.
    pub fn begin(&self, queried: Vec<SocketAddr>) -> Option<Lookup<'_>> {
        let mut numbered = self.lock();
        if numbered.running.len() >= MAX_LOOKUPS {
            return None;
        }
        numbered.next = numbered.next.wrapping_add(1);
        let number = numbered.next;
        let progress = Progress { waiting_for: queried, ..Progress::default() };
        let state =
            Arc::new(LookupState { progress: Mutex::new(progress), answered: Notify::new() });
        numbered.running.insert(number, Arc::clone(&state));
        Some(Lookup { lookups: self, state, number })
    }

    /// Adds the answer of an instance to its query. An answer of an instance that was not queried, or that has answered
    /// already, is ignored.
    pub fn add_answer(&self, number: u32, from: SocketAddr, origins: &[StreamOrigin]) {
        let Some(state) = self.lock().running.get(&number).cloned() else { return };
        let mut progress = state.progress.lock().expect("no panic under this lock");
        let Some(at) = progress.waiting_for.iter().position(|address| *address == from) else {
            return;
        };
        progress.waiting_for.swap_remove(at);
        progress.add(origins);
        drop(progress);
        state.answered.notify_one();
    }
}

impl Lookup<'_> {
    /// Returns the state of the query.
    pub fn progress(&self) -> Progress {
        self.state.progress.lock().expect("no panic under this lock").clone()
    }

    /// Waits until an instance answers.
    pub async fn answered(&self) {
        self.state.answered.notified().await;
    }
}

impl Drop for Lookup<'_> {
    fn drop(&mut self) {
        self.lookups.lock().running.remove(&self.number);
    }
}
