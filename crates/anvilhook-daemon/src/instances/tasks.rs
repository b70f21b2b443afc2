//! The background tasks of an instance, and their common end.

use std::future::Future;

use anvilhook_core::units::Millis;
use anvilhook_http::{Phase, Shutdown};
use tokio::task::JoinSet;

/// `Tasks` holds the background tasks of an instance. Dropping it ends them at once.
#[derive(Debug)]
pub struct Tasks {
    shutdown: Shutdown,
    running: JoinSet<&'static str>,
}

impl Tasks {
    /// Holds no task yet.
    pub fn new(shutdown: Shutdown) -> Self {
        Self { shutdown, running: JoinSet::new() }
    }

    /// Starts a task that ends by itself when the phase is `Closed`.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        self.running.spawn(async move {
            task.await;
            name
        });
    }

    /// Starts a task that is dropped at an await when the phase is `until` or later.
    pub fn spawn_until(
        &mut self,
        name: &'static str,
        until: Phase,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let shutdown = self.shutdown.clone();
        self.spawn(name, async move {
            tokio::select! {
                () = task => {}
                () = shutdown.reached(until) => {}
            }
        });
    }

    /// Waits for the end of all tasks.
    pub async fn join(mut self) {
        while let Some(ended) = self.running.join_next().await {
            match ended {
                Ok(name) => log::debug!("task {name} ended"),
                Err(err) => log::error!("a task failed: {err}"),
            }
        }
    }
}

/// Waits between two turns of a task that does the same again and again.
pub(super) async fn rest(pause: Millis) {
    tokio::time::sleep(pause.as_duration()).await;
}
