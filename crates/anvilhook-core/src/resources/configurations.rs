//! The configuration contains all resources as of one change.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Action, Change, Kind, Resource, ResourceKey};
use crate::units::Revision;

/// `Configuration` is an immutable state of all resources. It is passed to the request path as a whole,
/// so that no request sees a partly applied change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    revision: Revision,
    resources: BTreeMap<ResourceKey, Arc<Resource>>,
}

impl Configuration {
    /// Creates the configuration of the given revision.
    pub fn new(revision: Revision, resources: impl IntoIterator<Item = Resource>) -> Self {
        let keyed = resources.into_iter().map(|resource| (resource.key(), Arc::new(resource)));
        Self { revision, resources: keyed.collect() }
    }

    /// Returns the configuration after resources were put and deleted. Unchanged resources are shared.
    pub fn changed(
        &self,
        revision: Revision,
        put: impl IntoIterator<Item = Arc<Resource>>,
        deleted: &[ResourceKey],
    ) -> Self {
        let mut resources = self.resources.clone();
        for key in deleted {
            resources.remove(key);
        }
        resources.extend(put.into_iter().map(|resource| (resource.key(), resource)));
        Self { revision, resources }
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the configuration after one more change. The change is not checked here.
    pub fn with_change(&self, revision: Revision, change: &Change) -> Self {
        let mut next = self.clone();
        next.apply(revision, change);
        next
    }

    /// Applies one more change. The change is not checked here.
    ///
    /// Applying changes that the configuration already contains, in order, changes only the revision.
    /// A scan that raced with changes is therefore corrected by applying those changes again.
    pub fn apply(&mut self, revision: Revision, change: &Change) {
        self.revision = revision;
        match &change.action {
            Action::Put(spec) => {
                let resource = Resource {
                    name: change.key.name.clone(),
                    version: revision,
                    spec: spec.clone(),
                    status: Vec::new(),
                };
                self.resources.insert(change.key.clone(), Arc::new(resource));
            }
            Action::Delete => {
                self.resources.remove(&change.key);
            }
        }
    }

    /// Returns a resource, if it is declared.
    pub fn get(&self, key: &ResourceKey) -> Option<&Arc<Resource>> {
        self.resources.get(key)
    }

    /// Returns all resources, ordered by kind and name.
    pub fn resources(&self) -> impl Iterator<Item = &Arc<Resource>> {
        self.resources.values()
    }

    /// Returns all resources of one kind, ordered by name.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Resource>> {
        self.resources.values().filter(move |resource| resource.spec.kind() == kind)
    }
}

/// `PlainConfiguration` is the serialized form of a configuration on peer links.
#[derive(Deserialize, Serialize)]
struct PlainConfiguration {
    revision: Revision,
    resources: Vec<Arc<Resource>>,
}

impl Serialize for Configuration {
    fn serialize<S: serde::Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        let resources = self.resources.values().cloned().collect();
        PlainConfiguration { revision: self.revision, resources }.serialize(ser)
    }
}

impl<'de> Deserialize<'de> for Configuration {
    fn deserialize<D: serde::Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        let plain = PlainConfiguration::deserialize(de)?;
        let keyed = plain.resources.into_iter().map(|resource| (resource.key(), resource));
        Ok(Self { revision: plain.revision, resources: keyed.collect() })
    }
}
