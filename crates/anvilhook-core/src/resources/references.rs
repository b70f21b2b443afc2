//! References from one resource to others, and the check that they hold.

use std::fmt;

use super::{
    Configuration, DrainPlanSpec, DrainTarget, EnginePoolSpec, Kind, Resource, ResourceKey,
    ServiceBackend, ServiceSpec, Spec,
};
use crate::names::{ModelName, PoolName, ResourceName, UpstreamName};
use crate::orders::ModelRef;

/// `Reference` is one requirement of a resource on others, with the field that contains it.
#[derive(Clone, Debug)]
pub(super) struct Reference {
    /// The field's path, such as `spec.pool`.
    pub field: String,
    target: Target,
}

/// `Target` is what a reference points to.
#[derive(Clone, Debug)]
enum Target {
    /// A declared pool.
    Pool(PoolName),
    /// A declared version of a model.
    ModelVersion(ModelRef),
    /// A pool that serves any version of a model.
    ServedModel(PoolName, ModelName),
    /// An engine of a pool. A drain plan may outlive the engine that it drained. Otherwise the plan
    /// would have to be deleted before the engine, which would put the engine back into service.
    PoolEngine(PoolName, UpstreamName),
}

impl Reference {
    fn new(field: impl Into<String>, target: Target) -> Self {
        Self { field: field.into(), target }
    }

    /// Returns whether the reference must still hold after its resource has been declared.
    pub(super) fn is_lasting(&self) -> bool {
        !matches!(self.target, Target::PoolEngine(..))
    }

    /// Returns whether the configuration contains the target of the reference.
    pub(super) fn holds(&self, cfg: &Configuration) -> bool {
        match &self.target {
            Target::Pool(pool) => find_pool(cfg, pool).is_some(),
            Target::ModelVersion(model) => cfg.of_kind(Kind::ModelVersion).any(
                |found| matches!(&found.spec, Spec::ModelVersion(spec) if spec.model == *model),
            ),
            Target::ServedModel(pool, model) => {
                find_pool(cfg, pool).is_some_and(|found| found.model.model == *model)
            }
            Target::PoolEngine(pool, engine) => matches!(
                find(cfg, Kind::Engine, engine.as_str()).map(|found| &found.spec),
                Some(Spec::Engine(spec)) if spec.pool == *pool
            ),
        }
    }
}

impl fmt::Display for Reference {
    /// Writes what is expected in the field.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.target {
            Target::Pool(pool) => write!(f, "a declared EnginePool, but there is no {pool}"),
            Target::ModelVersion(ModelRef { model, version }) => {
                write!(f, "a declared ModelVersion, but there is none of {model} version {version}")
            }
            Target::ServedModel(pool, model) => {
                write!(f, "the model of EnginePool/{pool}, which is not {model}")
            }
            Target::PoolEngine(pool, engine) => {
                write!(f, "engines of EnginePool/{pool}, which has no {engine}")
            }
        }
    }
}

/// Lists the references of a spec.
pub(super) fn of(spec: &Spec) -> Vec<Reference> {
    let pool = |pool: &PoolName| Reference::new("spec.pool", Target::Pool(pool.clone()));
    match spec {
        Spec::Account(_) | Spec::ModelVersion(_) => Vec::new(),
        Spec::EnginePool(EnginePoolSpec { model, .. }) => {
            vec![Reference::new("spec.model", Target::ModelVersion(model.clone()))]
        }
        Spec::Engine(engine) => vec![pool(&engine.pool)],
        Spec::Role(role) => vec![pool(&role.pool)],
        Spec::Service(service) => of_service(service),
        Spec::DrainPlan(plan) => {
            let mut references = vec![pool(&plan.pool)];
            references.extend(of_drained_engines(plan));
            references
        }
    }
}

fn of_service(service: &ServiceSpec) -> Vec<Reference> {
    let ServiceBackend::Model { pool, model } = &service.backend else { return Vec::new() };
    let served = Target::ServedModel(pool.clone(), model.clone());
    vec![
        Reference::new("spec.backend.pool", Target::Pool(pool.clone())),
        Reference::new("spec.backend.model", served),
    ]
}

fn of_drained_engines(plan: &DrainPlanSpec) -> impl Iterator<Item = Reference> + '_ {
    let engines: &[UpstreamName] = match &plan.target {
        DrainTarget::Engines(engines) => engines,
        DrainTarget::Zones(_) => &[],
    };
    engines.iter().enumerate().map(|(i, engine)| {
        let target = Target::PoolEngine(plan.pool.clone(), engine.clone());
        Reference::new(format!("spec.target.engines[{i}]"), target)
    })
}

fn find<'a>(cfg: &'a Configuration, kind: Kind, name: &str) -> Option<&'a Resource> {
    let name = ResourceName::try_new(name).ok()?;
    cfg.get(&ResourceKey { kind, name }).map(|found| &**found)
}

fn find_pool<'a>(cfg: &'a Configuration, pool: &PoolName) -> Option<&'a EnginePoolSpec> {
    match find(cfg, Kind::EnginePool, pool.as_str()).map(|found| &found.spec) {
        Some(Spec::EnginePool(spec)) => Some(spec),
        _ => None,
    }
}
