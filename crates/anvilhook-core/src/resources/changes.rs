//! Changes of the configuration, and the rules that each change must follow.

use serde::{Deserialize, Serialize};

use super::references::{self, Reference};
use super::{Configuration, Kind, ResourceKey, Spec, identities};
use crate::errors::{Error, Result};
use crate::names::PoolName;
use crate::units::Revision;

/// `Change` declares, replaces or deletes one resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The resource.
    pub key: ResourceKey,
    /// What the change does to it.
    pub action: Action,
}

/// `Action` is what a change does to its resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Declares the resource, or replaces its spec.
    Put(Spec),
    /// Deletes the resource.
    Delete,
}

/// `Expected` is the state of a resource that a change expects, for compare-and-set.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expected {
    /// The resource does not exist.
    Absent,
    /// The resource exists in any version.
    Present,
    /// The resource exists as this revision wrote it.
    Version(Revision),
}

impl Expected {
    /// Returns whether the current version of the resource is the expected one.
    pub fn matches(self, current: Option<Revision>) -> bool {
        match self {
            Expected::Absent => current.is_none(),
            Expected::Present => current.is_some(),
            Expected::Version(version) => current == Some(version),
        }
    }
}

impl Change {
    /// Checks that the change follows every rule when it is applied to `base`.
    ///
    /// # Errors
    ///
    /// `Error::BadField` for a field of the change's own spec that breaks a rule, names a resource that
    /// is not declared, or claims an identity that another resource has. `Error::StillNeeded` if another
    /// resource would lose something that it refers to.
    pub fn check(&self, base: &Configuration) -> Result<()> {
        let after = base.with_change(base.revision(), self);
        if let Action::Put(spec) = &self.action {
            spec.check()?;
            if let Some(current) = base.get(&self.key) {
                spec.check_replacing(&current.spec)?;
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

    /// Lists the resources whose references hold before the change but not after it, and the pools that
    /// are left with too few engines.
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

/// Lists the pools that a change takes below the number of engines that must go on serving. The check
/// does not apply to a pool whose engine count does not fall, since it may still be in the course of
/// being declared.
fn short_pools(base: &Configuration, after: &Configuration) -> Vec<String> {
    let mut short = Vec::new();
    for resource in after.of_kind(Kind::EnginePool) {
        let Spec::EnginePool(pool) = &resource.spec else { continue };
        let Ok(name) = PoolName::try_new(resource.name.as_str()) else { continue };
        let min = pool.min_serving as usize;
        let now = engines_of(base, &name);
        let left = engines_of(after, &name);
        if left < now && left < min {
            short.push(format!("{} (spec.min_serving is {min}, left {left})", resource.key()));
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
