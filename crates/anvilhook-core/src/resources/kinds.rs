//! The kinds of resources and the envelope that they share.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize};

use super::{
    AccountSpec, Condition, DrainPlanSpec, EnginePoolSpec, EngineSpec, ModelVersionSpec, RoleSpec,
    ServiceSpec,
};
use crate::errors::{Error, Result};
use crate::names::ResourceName;
use crate::units::Revision;

/// `Kind` is the kind of a resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// A caller's account, with its credentials and limits.
    Account,
    /// A service that callers send requests to.
    Service,
    /// Engines that share models and a role policy.
    EnginePool,
    /// One model engine.
    Engine,
    /// The bounds on how many engines of a pool may hold a role.
    Role,
    /// A version of a model, and the location of its weights.
    ModelVersion,
    /// A plan to take engines out of service.
    DrainPlan,
}

impl Kind {
    /// All kinds, ordered so that each refers only to itself and to kinds before it.
    pub const ALL: [Kind; 7] = [
        Kind::Account,
        Kind::ModelVersion,
        Kind::EnginePool,
        Kind::Engine,
        Kind::Role,
        Kind::Service,
        Kind::DrainPlan,
    ];

    /// Returns the kind's name as used in YAML and in paths.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Account => "Account",
            Kind::Service => "Service",
            Kind::EnginePool => "EnginePool",
            Kind::Engine => "Engine",
            Kind::Role => "Role",
            Kind::ModelVersion => "ModelVersion",
            Kind::DrainPlan => "DrainPlan",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let found = Kind::ALL.into_iter().find(|kind| kind.as_str().eq_ignore_ascii_case(text));
        found.ok_or_else(|| {
            let names: Vec<&str> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
            Error::bad_field("kind", format!("one of {}", names.join(", ")))
        })
    }
}

/// `Spec` is the desired state of a resource, by kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", content = "spec")]
pub enum Spec {
    /// A caller's account.
    Account(AccountSpec),
    /// A service that callers send requests to.
    Service(ServiceSpec),
    /// A pool of engines.
    EnginePool(EnginePoolSpec),
    /// One engine.
    Engine(EngineSpec),
    /// The bounds of a role within a pool.
    Role(RoleSpec),
    /// A version of a model.
    ModelVersion(ModelVersionSpec),
    /// A plan to take engines out of service.
    DrainPlan(DrainPlanSpec),
}

impl Spec {
    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Account(_) => Kind::Account,
            Spec::Service(_) => Kind::Service,
            Spec::EnginePool(_) => Kind::EnginePool,
            Spec::Engine(_) => Kind::Engine,
            Spec::Role(_) => Kind::Role,
            Spec::ModelVersion(_) => Kind::ModelVersion,
            Spec::DrainPlan(_) => Kind::DrainPlan,
        }
    }

    /// Decodes the spec of a kind from any self-describing format.
    ///
    /// # Errors
    ///
    /// `Error::BadField` with the path of the first field that cannot be decoded, such as
    /// `spec.address`.
    ///
    /// ```
    /// use anvilhook_core::resources::{Kind, Spec};
    ///
    /// let json = serde_json::json!({"pool": "main", "address": "here", "zone": "piraeus"});
    /// let err = Spec::decode(Kind::Engine, json).unwrap_err();
    /// assert!(err.to_string().starts_with("spec.address: expected "));
    /// ```
    pub fn decode<'de, D: Deserializer<'de>>(kind: Kind, de: D) -> Result<Self> {
        Ok(match kind {
            Kind::Account => Spec::Account(decode_fields(de)?),
            Kind::Service => Spec::Service(decode_fields(de)?),
            Kind::EnginePool => Spec::EnginePool(decode_fields(de)?),
            Kind::Engine => Spec::Engine(decode_fields(de)?),
            Kind::Role => Spec::Role(decode_fields(de)?),
            Kind::ModelVersion => Spec::ModelVersion(decode_fields(de)?),
            Kind::DrainPlan => Spec::DrainPlan(decode_fields(de)?),
        })
    }

    /// Checks the rules on the spec that do not depend on other resources.
    ///
    /// # Errors
    ///
    /// `Error::BadField` for the first field that breaks its rule.
    pub fn check(&self) -> Result<()> {
        match self {
            Spec::Account(spec) => spec.check(),
            Spec::Service(spec) => spec.check(),
            Spec::EnginePool(spec) => spec.check(),
            Spec::Engine(spec) => spec.check(),
            Spec::Role(spec) => spec.check(),
            Spec::ModelVersion(spec) => spec.check(),
            Spec::DrainPlan(spec) => spec.check(),
        }
    }

    /// Checks the rules between the spec and the current one that it replaces.
    pub(super) fn check_replacing(&self, current: &Spec) -> Result<()> {
        match (self, current) {
            (Spec::Engine(spec), Spec::Engine(current)) => spec.check_replacing(current),
            _ => Ok(()),
        }
    }
}

fn decode_fields<'de, T: Deserialize<'de>, D: Deserializer<'de>>(de: D) -> Result<T> {
    serde_path_to_error::deserialize(de).map_err(|err| {
        let path = err.path().to_string();
        let field = if path == "." { "spec".to_owned() } else { format!("spec.{path}") };
        let message = err.inner().to_string();
        match missing_field(&message) {
            Some(missing) => Error::bad_field(format!("{field}.{missing}"), "a value"),
            None => Error::bad_field(field, format!("another value: {message}")),
        }
    })
}

/// Returns the name of the missing field, if the message is about one. The path of such an error ends
/// at the parent, so only the message of `serde::de::Error::missing_field` contains the name.
fn missing_field(message: &str) -> Option<&str> {
    let rest = message.strip_prefix("missing field `")?;
    rest.split('`').next()
}

/// `ResourceKey` identifies a resource.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ResourceKey {
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: ResourceName,
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// `Resource` is a declared resource with its desired state and the known actual state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resource {
    /// The name within the kind.
    pub name: ResourceName,
    /// The version for compare-and-set: the revision of the change that last wrote the resource. Zero
    /// means that the resource has not been stored yet.
    #[serde(default)]
    pub version: Revision,
    /// The desired state.
    #[serde(flatten)]
    pub spec: Spec,
    /// The known conditions of the actual state.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub status: Vec<Condition>,
}

impl Resource {
    /// Returns the resource's key.
    pub fn key(&self) -> ResourceKey {
        ResourceKey { kind: self.spec.kind(), name: self.name.clone() }
    }
}
