//! Runs the background tasks of an instance and waits for their end.

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
    /// Creates an empty set of tasks.
    pub fn new(shutdown: Shutdown) -> Self {
        Self { shutdown, running: JoinSet::new() }
    }

    /// Starts a task, which must end by itself once the phase is `Closed`.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        self.running.spawn(async move {
            task.await;
            name
        });
    }

    /// Starts a task that is dropped at its current await when the phase reaches `until`.
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
                Err(err) => log::error!("background task failed: {err}"),
            }
        }
    }
}

/// Sleeps between two iterations of a background task.
pub(super) async fn sleep_for(pause: Millis) {
    tokio::time::sleep(pause.as_duration()).await;
}
