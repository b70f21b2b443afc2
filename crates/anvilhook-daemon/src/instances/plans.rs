//! What is wanted of the engines, from the configuration.

use anvilhook_authority::{DeclaredDrain, EnginePlan, PoolPlan};
use anvilhook_core::names::{PoolName, UpstreamName};
use anvilhook_core::orders::Order;
use anvilhook_core::resources::{
    Configuration, EnginePoolSpec, EngineSpec, Kind, Resource, ServiceBackend, Spec,
};

/// Returns what is wanted of each declared pool.
pub(super) fn pool_plans(cfg: &Configuration) -> Vec<PoolPlan> {
    cfg.of_kind(Kind::EnginePool).filter_map(|resource| pool_plan(cfg, resource)).collect()
}

/// Returns the names of all upstreams of plain services, which the platform lists beside instances.
pub(super) fn plain_upstreams(cfg: &Configuration) -> Vec<UpstreamName> {
    let mut names = Vec::new();
    for resource in cfg.of_kind(Kind::Service) {
        let Spec::Service(service) = &resource.spec else { continue };
        if let ServiceBackend::Plain { upstreams, .. } = &service.backend {
            names.extend(upstreams.iter().map(|upstream| upstream.name.clone()));
        }
    }
    names
}

fn pool_plan(cfg: &Configuration, resource: &Resource) -> Option<PoolPlan> {
    let Spec::EnginePool(spec) = &resource.spec else { return None };
    let pool = PoolName::try_new(resource.name.as_str()).ok()?;
    let engines = cfg.of_kind(Kind::Engine);
    let engines: Vec<EnginePlan> =
        engines.filter_map(|engine| engine_plan(&pool, spec, engine)).collect();
    let drains = cfg.of_kind(Kind::DrainPlan).filter_map(|plan| declared_drain(&pool, plan));
    Some(PoolPlan {
        min_serving: spec.min_serving,
        max_changing: max_changing(spec, engines.len()),
        drains: drains.collect(),
        engines,
        pool,
    })
}

/// Returns how many engines may change at once: the declared share, but one at least, because a
/// small pool could never change otherwise.
fn max_changing(spec: &EnginePoolSpec, engines: usize) -> usize {
    let share = spec.roles.max_changing_share * engines as f64;
    (share as usize).max(1)
}

fn engine_plan(pool: &PoolName, spec: &EnginePoolSpec, resource: &Resource) -> Option<EnginePlan> {
    let Spec::Engine(engine) = &resource.spec else { return None };
    if engine.pool != *pool {
        return None;
    }
    Some(EnginePlan {
        name: UpstreamName::try_new(resource.name.as_str()).ok()?,
        address: engine.address,
        zone: engine.zone.clone(),
        fencing: engine.fencing,
        desired: desired(spec, engine),
        declared_at: resource.version,
    })
}

fn desired(spec: &EnginePoolSpec, engine: &EngineSpec) -> Vec<Order> {
    let mut orders = vec![Order::LoadModel { model: spec.model.clone() }];
    // Where the planner decides, the declared role is only the one to start with.
    if !spec.roles.automatic {
        orders.push(Order::SetRole { role: engine.role });
    }
    orders
}

fn declared_drain(pool: &PoolName, resource: &Resource) -> Option<DeclaredDrain> {
    let Spec::DrainPlan(spec) = &resource.spec else { return None };
    let is_of_pool = spec.pool == *pool;
    is_of_pool.then(|| DeclaredDrain { name: resource.name.clone(), spec: spec.clone() })
}
