//! The engines that the instances control: one pool that checks fencing numbers, and one that
//! ignores them.

use std::sync::Arc;

use anvilhook_authority::{EnginePlan, PoolPlan};
use anvilhook_core::orders::{Order, OrderReply, Term};
use anvilhook_core::resources::Fencing;
use anvilhook_core::units::Revision;
use anvilhook_standin::engines::{EngineOptions, EngineServer, EngineServerOptions};
use tokio::sync::watch;

/// The number of engines in a pool.
const ENGINES: usize = 6;

/// `EnginePool` holds engines that treat fencing numbers alike.
pub(super) struct EnginePool {
    pub(super) fencing: Fencing,
    engines: Vec<EngineServer>,
    adapters: u32,
}

impl EnginePool {
    /// Starts a pool's engines on the current runtime.
    async fn start(fencing: Fencing) -> eyre::Result<Self> {
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            let checks_fencing = fencing == Fencing::Checks;
            let engine = EngineOptions { checks_fencing, ..EngineOptions::default() };
            let options = EngineServerOptions { engine, ..EngineServerOptions::default() };
            engines.push(EngineServer::start(options).await?);
        }
        Ok(Self { fencing, engines, adapters: 0 })
    }

    /// Returns the pool's name.
    pub(super) fn name(&self) -> &'static str {
        match self.fencing {
            Fencing::Checks => "pool-checks",
            Fencing::Ignores => "pool-ignores",
        }
    }

    /// Returns the highest term whose order every engine has accepted.
    pub(super) fn ordered_term(&self) -> Term {
        let highest = |engine: &EngineServer| {
            let orders = engine.orders();
            let accepted = orders.iter().filter(|record| record.reply == OrderReply::Accepted);
            accepted.map(|record| record.order.stamp.term).max().unwrap_or_default()
        };
        self.engines.iter().map(highest).min().unwrap_or_default()
    }

    /// Returns the number of adapters that every engine has been ordered to load.
    pub(super) fn ordered_adapters(&self) -> usize {
        let accepted = |engine: &EngineServer| {
            let orders = engine.orders();
            orders.iter().filter(|record| record.reply == OrderReply::Accepted).count()
        };
        self.engines.iter().map(accepted).min().unwrap_or_default()
    }

    fn plan(&self) -> eyre::Result<PoolPlan> {
        // An adapter is loaded alongside the model without a drain, so the time to the order is the
        // time of the take-over alone.
        let adapter = |number: u32| -> eyre::Result<Order> {
            Ok(Order::LoadAdapter { adapter: format!("adapter-{number}").parse()? })
        };
        let desired = (1..=self.adapters).map(adapter).collect::<eyre::Result<Vec<_>>>()?;
        let mut engines = Vec::new();
        for (at, engine) in self.engines.iter().enumerate() {
            engines.push(EnginePlan {
                name: format!("{}-{at}", self.name()).parse()?,
                address: engine.address(),
                zone: "zone-0".parse()?,
                fencing: self.fencing,
                desired: desired.clone(),
                declared_at: Revision(1),
            });
        }
        Ok(PoolPlan {
            pool: self.name().parse()?,
            engines,
            min_serving: 1,
            max_changing: ENGINES,
            drains: Vec::new(),
        })
    }
}

/// `Engines` holds the pools and the plans for them.
pub(super) struct Engines {
    pub(super) pools: [EnginePool; 2],
    plans: watch::Sender<Arc<Vec<PoolPlan>>>,
}

impl Engines {
    /// Starts both pools on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the socket's error if an address cannot be bound.
    pub(super) async fn start() -> eyre::Result<Self> {
        let checks = EnginePool::start(Fencing::Checks).await?;
        let ignores = EnginePool::start(Fencing::Ignores).await?;
        let engines = Self { pools: [checks, ignores], plans: watch::Sender::default() };
        engines.publish()?;
        Ok(engines)
    }

    /// Returns a receiver of the plans that all instances follow.
    pub(super) fn plans(&self) -> watch::Receiver<Arc<Vec<PoolPlan>>> {
        self.plans.subscribe()
    }

    /// Adds one more adapter to the plan of every engine.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is invalid.
    pub(super) fn add_adapter(&mut self) -> eyre::Result<()> {
        for pool in &mut self.pools {
            pool.adapters += 1;
        }
        self.publish()
    }

    /// Returns whether every engine has accepted the orders for all its planned adapters.
    pub(super) fn are_settled(&self) -> bool {
        self.pools.iter().all(|pool| pool.ordered_adapters() >= pool.adapters as usize)
    }

    fn publish(&self) -> eyre::Result<()> {
        let plans = self.pools.iter().map(EnginePool::plan).collect::<eyre::Result<Vec<_>>>()?;
        self.plans.send_replace(Arc::new(plans));
        Ok(())
    }
}
