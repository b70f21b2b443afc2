//! Changes of the configuration, and the rules that each must keep.

use serde::{Deserialize, Serialize};

use super::references::{self, Reference};
use super::{Configuration, Kind, ResourceKey, Spec, identities};
use crate::errors::{Error, Result};
use crate::names::PoolName;
use crate::units::Revision;

/// `Change` is one resource declared, replaced or deleted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The resource.
    pub key: ResourceKey,
    /// What is done to it.
    pub action: Action,
}

/// `Action` is what a change does to its resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Declares it, or replaces its spec.
    Put(Spec),
    /// Deletes it.
    Delete,
}

/// `Expected` is what a change expects to find, for compare-and-set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expected {
    /// No such resource.
    Absent,
    /// The resource in any version.
    Present,
    /// The resource as this revision wrote it.
    Version(Revision),
}

impl Expected {
    /// Returns whether what stands is what the change expects.
    pub fn matches(self, standing: Option<Revision>) -> bool {
        match self {
            Expected::Absent => standing.is_none(),
            Expected::Present => standing.is_some(),
            Expected::Version(version) => standing == Some(version),
        }
    }
}

impl Change {
    /// Checks that the change keeps every rule when it is applied to `base`.
    ///
    /// # Errors
    ///
    /// `Error::BadField` for a field of the change's own spec that breaks a rule or names something
    /// that is not declared or that something else claims already, and `Error::StillNeeded` if something else would lose what it needs.
    pub fn check(&self, base: &Configuration) -> Result<()> {
        let after = base.with_change(base.revision(), self);
        if let Action::Put(spec) = &self.action {
            spec.check()?;
            if let Some(standing) = base.get(&self.key) {
                spec.check_replacing(&standing.spec)?;
            }
            check_own_references(spec, &after)?;
            identities::check(&self.key, spec, &after)?;
        }
        let stranded = self.stranded(base, &after);
        if stranded.is_empty() {
            return Ok(());
        }
        Err(Error::still_needed(&self.key, stranded))
    }

    /// Lists what stood firm before the change and does not after it.
    fn stranded(&self, base: &Configuration, after: &Configuration) -> Vec<String> {
        let others = after.resources().filter(|resource| resource.key() != self.key);
        let mut stranded = Vec::new();
        for resource in others {
            let lost = references::of(&resource.spec).into_iter().filter(Reference::is_lasting);
            let mut lost = lost.filter(|wanted| wanted.holds(base) && !wanted.holds(after));
            let first = lost.next();
            stranded.extend(first.map(|wanted| format!("{} ({})", resource.key(), wanted.field)));
        }
        stranded.extend(short_pools(base, after));
        stranded
    }
}

fn check_own_references(spec: &Spec, after: &Configuration) -> Result<()> {
    match references::of(spec).into_iter().find(|wanted| !wanted.holds(after)) {
        Some(missing) => Err(Error::bad_field(&missing.field, missing.to_string())),
        None => Ok(()),
    }
}

/// Lists the pools that a change takes below the number of engines that must go on serving. A pool
/// that has not reached its number yet is still being declared and does not count.
fn short_pools(base: &Configuration, after: &Configuration) -> Vec<String> {
    let mut short = Vec::new();
    for resource in after.of_kind(Kind::EnginePool) {
        let Spec::EnginePool(pool) = &resource.spec else { continue };
        let Ok(name) = PoolName::try_new(resource.name.as_str()) else { continue };
        let min = pool.min_serving as usize;
        let now = engines_of(base, &name);
        let then = engines_of(after, &name);
        if then < now && then < min {
            short.push(format!("{} (spec.min_serving is {min}, left {then})", resource.key()));
        }
    }
    short
}

fn engines_of(cfg: &Configuration, pool: &PoolName) -> usize {
    let engines = cfg.of_kind(Kind::Engine);
    engines
        .filter(|engine| matches!(&engine.spec, Spec::Engine(spec) if spec.pool == *pool))
        .count()
}
