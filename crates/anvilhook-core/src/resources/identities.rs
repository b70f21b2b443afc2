//! Checks identities that only one resource may claim, such as an address or a token.

use std::fmt;
use std::net::SocketAddr;

use super::{Configuration, ResourceKey, Spec};
use crate::errors::{Error, Result};
use crate::names::PoolName;
use crate::orders::{ModelRef, Role};

/// `Identity` is a real object that a resource represents. Only one resource may claim it.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Identity<'a> {
    /// The engine at an address. If it were declared in two pools, it would have two authorities and
    /// receive conflicting orders.
    Engine(SocketAddr),
    /// A version of a model. If it were declared twice, it would have two sets of weights.
    Model(&'a ModelRef),
    /// The bounds of a role in a pool. If they were declared twice, they could contradict each other.
    Role(&'a PoolName, Role),
    /// The bearer of a token. If two accounts had it, its requests could belong to either.
    Token(&'a str),
}

impl fmt::Display for Identity<'_> {
    /// Writes what is expected in the field that holds the identity.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Identity::Engine(_) => "an address that no other engine has",
            Identity::Model(_) => "a model and version that are not declared yet",
            Identity::Role(..) => "a role that has no bounds in the pool yet",
            Identity::Token(_) => "a token that no other account has",
        })
    }
}

/// Checks that no other resource claims an identity that the spec claims.
pub(super) fn check(key: &ResourceKey, spec: &Spec, after: &Configuration) -> Result<()> {
    for (field, identity) in of(spec) {
        let others = after.of_kind(key.kind).filter(|other| other.name != key.name);
        let mut claims =
            others.filter(|other| of(&other.spec).iter().any(|(_, own)| *own == identity));
        if let Some(claimer) = claims.next() {
            let expected = format!("{identity}, but {} has it", claimer.key());
            return Err(Error::bad_field(field, expected));
        }
    }
    Ok(())
}

/// Lists the identities that a spec claims, each with the field that holds it.
fn of(spec: &Spec) -> Vec<(String, Identity<'_>)> {
    match spec {
        Spec::Engine(engine) => vec![("spec.address".to_owned(), Identity::Engine(engine.address))],
        Spec::ModelVersion(spec) => vec![("spec.model".to_owned(), Identity::Model(&spec.model))],
        Spec::Role(spec) => {
            vec![("spec.role".to_owned(), Identity::Role(&spec.pool, spec.role))]
        }
        Spec::Account(account) => {
            let tokens = account.token_sha256.iter().enumerate();
            tokens
                .map(|(i, token)| (format!("spec.token_sha256[{i}]"), Identity::Token(token)))
                .collect()
        }
        Spec::Service(_) | Spec::EnginePool(_) | Spec::DrainPlan(_) => Vec::new(),
    }
}
