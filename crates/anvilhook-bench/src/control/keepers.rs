//! One instance's part in the authority over engines, wired as in the daemon.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvilhook_authority::{
    AckSchedule, DrainHint, Follower, Keeper, KeeperOptions, PeerHints, PoolPlan, Services,
    TermHint,
};
use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Clock, Millis, SystemClock, WallTime};
use anvilhook_engine::{ControlOptions, HttpEngineControl};
use anvilhook_http::{ClientOptions, HttpClient};
use anvilhook_peer::PeerHandle;
use anvilhook_peer::gossip::{AckSection, DrainAck, TermAck};
use anvilhook_platform::HttpPlatform;
use anvilhook_store::instances::poll_interval;
use rand::SeedableRng;
use rand::rngs::SysRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

/// The time between two steps of a keeper.
const STEP: Duration = Duration::from_millis(250);

/// The fleet's reads of the marks of drains in a second, and the bounds of one instance's pause.
const FLEET_READS_PER_S: u64 = 200;
const MARK_PAUSES: std::ops::RangeInclusive<Millis> = Millis(500)..=Millis(5_000);

type HttpKeeper = Keeper<HttpPlatform, HttpEngineControl, HttpPlatform, SystemClock>;

/// `AckBoard` holds what one instance acknowledges.
#[derive(Debug)]
pub(super) struct AckBoard {
    peers: PeerHandle,
    section: Mutex<AckSection>,
    // The generation of a drain that the bench has every instance acknowledge; zero for none.
    drill: AtomicU64,
}

impl AckBoard {
    pub(super) fn new(peers: PeerHandle) -> Self {
        Self { peers, section: Mutex::default(), drill: AtomicU64::new(0) }
    }

    /// Replaces what the keeper and the follower acknowledge.
    fn set(&self, section: AckSection) {
        *self.section.lock().unwrap_or_else(PoisonError::into_inner) = section;
        self.publish();
    }

    /// Acknowledges a drain of the bench's own.
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

/// `KeeperTask` runs an instance's keeper and its follower of drains.
pub(super) struct KeeperTask {
    pub(super) me: InstanceName,
    pub(super) platform: HttpPlatform,
    pub(super) clock: SystemClock,
    pub(super) peers: PeerHandle,
    pub(super) acks: Arc<AckBoard>,
    pub(super) plans: watch::Receiver<Arc<Vec<PoolPlan>>>,
    pub(super) instances: usize,
    pub(super) stopping: watch::Receiver<bool>,
}

impl KeeperTask {
    /// Runs until it is told to stop, and then gives up what it holds.
    pub(super) async fn run(mut self) -> eyre::Result<()> {
        let client = HttpClient::try_new(&ClientOptions::default())?;
        let mut rng = ChaCha8Rng::try_from_rng(&mut SysRng)?;
        let options = KeeperOptions::default();
        let timeout = options.lease.call_timeout();
        let bounds = ControlOptions { timeout, ..ControlOptions::default() };
        let services = Services {
            table: self.platform.clone(),
            engines: HttpEngineControl::new(client, bounds, &mut rng),
            instances: self.platform.clone(),
            clock: self.clock,
        };
        let mut keeper = Keeper::new(self.me.clone(), services, options);
        let mut follower =
            Follower::new(self.me.clone(), self.platform.clone(), AckSchedule::default());
        let mut beat = tokio::time::interval(STEP);
        let pause = poll_interval(self.instances, FLEET_READS_PER_S, MARK_PAUSES);
        let mut polled_at: Option<Millis> = None;
        loop {
            tokio::select! {
                _ = beat.tick() => {}
                _ = self.stopping.wait_for(|stopping| *stopping) => break,
            }
            let now = self.clock.now();
            if polled_at.is_none_or(|at| now - at >= pause) {
                polled_at = Some(now);
                // What is known of the marks holds on when the table cannot be read.
                let _ = follower.poll().await;
                let _ = follower.acknowledge(now, |_| 0).await;
            }
            let plans = Arc::clone(&self.plans.borrow());
            let hints = self.hints();
            keeper.step(&plans, &hints, WallTime::default()).await;
            self.acks.set(self.section(&keeper, &follower));
        }
        keeper.stop().await?;
        Ok(())
    }

    /// Returns what has come over the peer link.
    fn hints(&self) -> PeerHints {
        let news = self.peers.news();
        let mut hints = PeerHints::default();
        for (instance, heard) in news.acks.iter() {
            hints.drains.extend(heard.body.drains.iter().map(|ack| DrainHint {
                instance: instance.clone(),
                pool: ack.pool.clone(),
                engine: ack.engine.clone(),
                since: ack.generation,
            }));
            hints.terms.extend(heard.body.terms.iter().map(|ack| TermHint {
                instance: instance.clone(),
                pool: ack.pool.clone(),
                term: ack.term,
            }));
        }
        hints
    }

    /// Returns what this instance acknowledges now.
    fn section(&self, keeper: &HttpKeeper, follower: &Follower<HttpPlatform>) -> AckSection {
        let mut section = AckSection::default();
        for (pool, engines) in follower.current(|_| 0).pools {
            section.drains.extend(engines.into_iter().map(|(engine, generation)| DrainAck {
                pool: pool.clone(),
                engine,
                generation,
            }));
        }
        let term = |(pool, term)| TermAck { pool, term, holder: self.me.clone() };
        section.terms = keeper.terms().into_iter().map(term).collect();
        section
    }
}
