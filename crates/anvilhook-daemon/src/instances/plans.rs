//! Derives the desired state of pools and engines from the configuration.

use anvilhook_authority::{DeclaredDrain, EnginePlan, PoolPlan};
use anvilhook_core::names::{PoolName, UpstreamName};
use anvilhook_core::orders::{Order, Role};
use anvilhook_core::resources::{
    Configuration, EnginePoolSpec, Kind, Resource, ServiceBackend, Spec,
};
use anvilhook_core::roles::RoleBounds;

use super::roles::{PoolDeclaration, RolePlanners};

/// Returns the plan of each declared pool.
pub(super) fn pool_plans(cfg: &Configuration, planners: &RolePlanners) -> Vec<PoolPlan> {
    cfg.of_kind(Kind::EnginePool)
        .filter_map(|resource| pool_plan(cfg, planners, resource))
        .collect()
}

/// Returns the names of all upstreams of plain services, which are in the platform's list in
/// addition to the instances.
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

fn pool_plan(
    cfg: &Configuration,
    planners: &RolePlanners,
    resource: &Resource,
) -> Option<PoolPlan> {
    let Spec::EnginePool(spec) = &resource.spec else { return None };
    let pool = PoolName::try_new(resource.name.as_str()).ok()?;
    let engines = cfg.of_kind(Kind::Engine);
    let engines: Vec<EnginePlan> =
        engines.filter_map(|engine| engine_plan(&pool, spec, planners, engine)).collect();
    let drains = cfg.of_kind(Kind::DrainPlan).filter_map(|plan| declared_drain(&pool, plan));
    Some(PoolPlan {
        min_serving: spec.min_serving,
        max_changing: max_changing(spec, engines.len()),
        drains: drains.collect(),
        engines,
        pool,
    })
}

/// Returns how many engines may change at once: the declared share, but at least one, because
/// otherwise a small pool could never change.
fn max_changing(spec: &EnginePoolSpec, engines: usize) -> usize {
    let share = spec.roles.max_changing_share * engines as f64;
    (share as usize).max(1)
}

fn engine_plan(
    pool: &PoolName,
    spec: &EnginePoolSpec,
    planners: &RolePlanners,
    resource: &Resource,
) -> Option<EnginePlan> {
    let Spec::Engine(engine) = &resource.spec else { return None };
    if engine.pool != *pool {
        return None;
    }
    let name = UpstreamName::try_new(resource.name.as_str()).ok()?;
    // If roles are automatic, the declared role is only the initial one.
    let role = match spec.roles.automatic {
        true => planners.wanted(pool, &name),
        false => Some(engine.role),
    };
    Some(EnginePlan {
        name,
        address: engine.address,
        zone: engine.zone.clone(),
        fencing: engine.fencing,
        desired: desired(spec, role),
        declared_at: resource.version,
    })
}

fn desired(spec: &EnginePoolSpec, role: Option<Role>) -> Vec<Order> {
    let mut orders = vec![Order::LoadModel { model: spec.model.clone() }];
    orders.extend(role.map(|role| Order::SetRole { role }));
    orders
}

/// Returns the declaration of each pool whose roles are automatic.
pub(super) fn planned_pools(cfg: &Configuration) -> Vec<(PoolName, PoolDeclaration)> {
    let planned = cfg.of_kind(Kind::EnginePool).filter_map(|resource| {
        let Spec::EnginePool(spec) = &resource.spec else { return None };
        let pool = PoolName::try_new(resource.name.as_str()).ok()?;
        let bounds = role_bounds(cfg, &pool);
        let policy = spec.roles.clone();
        policy.automatic.then_some((pool, PoolDeclaration { policy, bounds }))
    });
    planned.collect()
}

fn role_bounds(cfg: &Configuration, pool: &PoolName) -> RoleBounds {
    let mut bounds = RoleBounds::default();
    for resource in cfg.of_kind(Kind::Role) {
        let Spec::Role(spec) = &resource.spec else { continue };
        if spec.pool == *pool {
            bounds.min.set(spec.role, spec.min_engines as usize);
            bounds.max.set(spec.role, spec.max_engines as usize);
        }
    }
    bounds
}

/// Returns the names of a pool's declared engines.
pub(super) fn engines_of(cfg: &Configuration, pool: &PoolName) -> Vec<UpstreamName> {
    let engines = cfg.of_kind(Kind::Engine).filter_map(|resource| {
        let Spec::Engine(engine) = &resource.spec else { return None };
        let name = UpstreamName::try_new(resource.name.as_str()).ok()?;
        (engine.pool == *pool).then_some(name)
    });
    engines.collect()
}

fn declared_drain(pool: &PoolName, resource: &Resource) -> Option<DeclaredDrain> {
    let Spec::DrainPlan(spec) = &resource.spec else { return None };
    let is_of_pool = spec.pool == *pool;
    is_of_pool.then(|| DeclaredDrain { name: resource.name.clone(), spec: spec.clone() })
}
