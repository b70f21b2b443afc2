//! The resources that operators declare, and the configuration that they form.

mod accounts;
mod audits;
mod changes;
mod checks;
mod conditions;
mod configurations;
mod drain_plans;
mod engine_pools;
mod engines;
mod identities;
mod kinds;
mod model_versions;
mod references;
mod roles;
mod services;

pub use accounts::AccountSpec;
pub use audits::AuditEntry;
pub use changes::{Action, Change, Expected};
pub use conditions::{Condition, ConditionState};
pub use configurations::Configuration;
pub use drain_plans::{DrainPlanSpec, DrainTarget};
pub use engine_pools::{EnginePoolSpec, RolePolicy};
pub use engines::{EngineSpec, Fencing};
pub use kinds::{Kind, Resource, ResourceKey, Spec};
pub use model_versions::ModelVersionSpec;
pub use roles::RoleSpec;
pub use services::{CallSpec, PlainUpstream, ServiceBackend, ServiceSpec};
