//! Runs one instance's part of the authority over engines, wired as in the daemon.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvilhook_authority::{
    AckSchedule, Controller, ControllerOptions, Follower, PoolPlan, Services,
};
use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Clock, SystemClock, WallTime};
use anvilhook_daemon::instances::{mark_pause, peer_hints};
use anvilhook_engine::{ControlOptions, HttpEngineControl};
use anvilhook_http::{ClientOptions, HttpClient};
use anvilhook_peer::PeerHandle;
use anvilhook_peer::gossip::{AckSection, DrainAck, TermAck};
use anvilhook_platform::HttpPlatform;
use rand::SeedableRng;
use rand::rngs::SysRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

/// The interval between two steps of a controller.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// `AckBoard` holds the acknowledgements of one instance and publishes them to its peers.
#[derive(Debug)]
pub(super) struct AckBoard {
    peers: PeerHandle,
    section: Mutex<AckSection>,
    // The generation of the drain that the bench makes every instance acknowledge, or zero for
    // none.
    drill: AtomicU64,
}

impl AckBoard {
    pub(super) fn new(peers: PeerHandle) -> Self {
        Self { peers, section: Mutex::default(), drill: AtomicU64::new(0) }
    }

    /// Changes the acknowledgements of the controller or the follower and publishes them.
    fn change(&self, change: impl FnOnce(&mut AckSection)) {
        change(&mut self.section.lock().unwrap_or_else(PoisonError::into_inner));
        self.publish();
    }

    /// Acknowledges the drain that the bench uses for its measurement.
    pub(super) fn drill(&self, generation: u64) {
        self.drill.store(generation, Ordering::SeqCst);
        self.publish();
    }

    fn publish(&self) {
        let mut section = self.section.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let generation = self.drill.load(Ordering::SeqCst);
        if generation > 0 {
            let pool = "drill".parse().expect("a name");
            let engine = "drill-1".parse().expect("a name");
            section.drains.push(DrainAck { pool, engine, generation });
        }
        self.peers.publish_acks(section);
    }
}

/// `DrainTask` runs an instance's follower of drains. It is a separate task, as in the daemon,
/// because each poll runs into its timeout while the table is unreachable, and the controller must
/// not wait for that.
pub(super) struct DrainTask {
    pub(super) me: InstanceName,
    pub(super) platform: HttpPlatform,
    pub(super) clock: SystemClock,
    pub(super) acks: Arc<AckBoard>,
    pub(super) instances: usize,
}

impl DrainTask {
    /// Runs until it is dropped.
    pub(super) async fn run(self) {
        let mut follower = Follower::new(self.me, self.platform, AckSchedule::default());
        let pause = mark_pause(self.instances);
        loop {
            // The known drain marks stay valid while the table cannot be read.
            let _ = follower.poll().await;
            let _ = follower.acknowledge(self.clock.now(), |_| 0).await;
            let mut drains = Vec::new();
            for (pool, engines) in follower.current(|_| 0).pools {
                drains.extend(engines.into_iter().map(|(engine, generation)| DrainAck {
                    pool: pool.clone(),
                    engine,
                    generation,
                }));
            }
            self.acks.change(|section| section.drains = drains);
            tokio::time::sleep(pause.as_duration()).await;
        }
    }
}

/// `ControllerTask` runs an instance's controller.
pub(super) struct ControllerTask {
    pub(super) me: InstanceName,
    pub(super) platform: HttpPlatform,
    pub(super) clock: SystemClock,
    pub(super) peers: PeerHandle,
    pub(super) acks: Arc<AckBoard>,
    pub(super) plans: watch::Receiver<Arc<Vec<PoolPlan>>>,
    pub(super) stopping: watch::Receiver<bool>,
}

impl ControllerTask {
    /// Runs until it is signalled to stop, and then releases the pools that it holds.
    pub(super) async fn run(mut self) -> eyre::Result<()> {
        let client = HttpClient::try_new(&ClientOptions::default())?;
        let mut rng = ChaCha8Rng::try_from_rng(&mut SysRng)?;
        let options = ControllerOptions::default();
        let timeout = options.lease.call_timeout();
        let bounds = ControlOptions { timeout, ..ControlOptions::default() };
        let services = Services {
            table: self.platform.clone(),
            engines: HttpEngineControl::new(client, bounds, &mut rng),
            instances: self.platform.clone(),
            clock: self.clock,
        };
        let mut controller = Controller::new(self.me.clone(), services, options);
        let mut ticker = tokio::time::interval(STEP_INTERVAL);
        loop {
            tokio::select! {
                _ = ticker.tick() => {}
                _ = self.stopping.wait_for(|stopping| *stopping) => break,
            }
            let plans = Arc::clone(&self.plans.borrow());
            let hints = peer_hints(&self.peers);
            controller.step(&plans, &hints, WallTime::default()).await;
            let term = |(pool, term)| TermAck { pool, term, holder: self.me.clone() };
            let terms = controller.terms().into_iter().map(term).collect();
            self.acks.change(|section| section.terms = terms);
        }
        controller.stop().await?;
        Ok(())
    }
}
