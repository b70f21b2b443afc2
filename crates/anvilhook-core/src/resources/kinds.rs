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

/// `Kind` tells the kinds of resources apart.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// A caller's account with its credentials and limits.
    Account,
    /// What callers ask for.
    Service,
    /// Engines that share models and a role policy.
    EnginePool,
    /// One model engine.
    Engine,
    /// How many engines of a pool may hold a role.
    Role,
    /// A version of a model and where its weights are.
    ModelVersion,
    /// A plan to take engines out of service.
    DrainPlan,
}

impl Kind {
    /// All kinds, in an order in which each refers only to kinds before it or to itself.
    pub const ALL: [Kind; 7] = [
        Kind::Account,
        Kind::ModelVersion,
        Kind::EnginePool,
        Kind::Engine,
        Kind::Role,
        Kind::Service,
        Kind::DrainPlan,
    ];

    /// Returns the kind's name as it stands in YAML and in paths.
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
    /// What callers ask for.
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

    /// Reads the spec of a kind from any self-describing format.
    ///
    /// # Errors
    ///
    /// `Error::BadField` with the path of the first field that does not fit, such as
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

    /// Checks the rules that the spec must keep by itself, whatever else is declared.
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

    /// Checks the rules between the spec and the one whose place it takes.
    pub(super) fn check_replacing(&self, standing: &Spec) -> Result<()> {
        match (self, standing) {
            (Spec::Engine(spec), Spec::Engine(standing)) => spec.check_replacing(standing),
            _ => Ok(()),
        }
    }
}

fn decode_fields<'de, T: Deserialize<'de>, D: Deserializer<'de>>(de: D) -> Result<T> {
    serde_path_to_error::deserialize(de).map_err(|err| {
        let path = err.path().to_string();
        let place = if path == "." { "spec".to_owned() } else { format!("spec.{path}") };
        let message = err.inner().to_string();
        match missing_field(&message) {
            Some(field) => Error::bad_field(format!("{place}.{field}"), "a value"),
            None => Error::bad_field(place, format!("another value: {message}")),
        }
    })
}

/// Returns the name of the field that is missing. Its path ends where the field should be, so only
/// the message of `serde::de::Error::missing_field` has the name.
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

/// `Resource` is a declared thing: what it should be, and what is known of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resource {
    /// The name within the kind.
    pub name: ResourceName,
    /// The version, for compare-and-set: the revision of the change that wrote the resource last.
    /// Zero stands for a resource that has not been stored yet.
    #[serde(default)]
    pub version: Revision,
    /// The desired state.
    #[serde(flatten)]
    pub spec: Spec,
    /// What is known of the actual state.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub status: Vec<Condition>,
}

impl Resource {
    /// Returns the resource's key.
    pub fn key(&self) -> ResourceKey {
        ResourceKey { kind: self.spec.kind(), name: self.name.clone() }
    }
}
