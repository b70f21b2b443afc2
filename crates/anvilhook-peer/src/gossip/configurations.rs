//! Caches the newest configuration and a few earlier ones, and creates the transfers that bring a
//! partner up to date.

use std::collections::VecDeque;
use std::sync::Arc;

use anvilhook_core::resources::{Configuration, Resource, ResourceKey};
use anvilhook_core::units::Revision;
use serde::{Deserialize, Serialize};

use super::messages::Transfer;
use crate::errors::{Error, Result};

/// How many configurations are retained, so that a pull can be answered with a change. They share
/// their resources.
const RETAINED_REVISIONS: usize = 16;

/// `ConfigurationCache` holds the newest known configuration and some earlier ones. Its revision
/// never decreases.
#[derive(Debug, Default)]
pub struct ConfigurationCache {
    // The newest configuration is last.
    retained: VecDeque<Arc<Configuration>>,
    // The transfer of the complete newest configuration, encoded on first use.
    full: Option<Transfer>,
}

/// `Change` holds the difference between two configurations.
#[derive(Deserialize, Serialize)]
struct Change {
    put: Vec<Arc<Resource>>,
    deleted: Vec<ResourceKey>,
}

impl ConfigurationCache {
    /// Returns the newest revision, or zero if there is no configuration.
    pub fn revision(&self) -> Revision {
        self.newest().map_or(Revision(0), |newest| newest.revision())
    }

    /// Returns the newest configuration.
    pub fn newest(&self) -> Option<&Arc<Configuration>> {
        self.retained.back()
    }

    /// Stores a configuration if it is newer than the newest known, and returns whether it was.
    pub fn offer(&mut self, offered: Arc<Configuration>) -> bool {
        if offered.revision() <= self.revision() {
            return false;
        }
        self.retained.push_back(offered);
        if self.retained.len() > RETAINED_REVISIONS {
            self.retained.pop_front();
        }
        self.full = None;
        true
    }

    /// Returns the transfer for a partner that has revision `have`, or `None` if the partner is up to
    /// date.
    ///
    /// # Errors
    ///
    /// `Error::Codec` if the configuration cannot be encoded.
    pub fn answer(&mut self, have: Revision) -> Result<Option<Transfer>> {
        let Some(newest) = self.newest().cloned().filter(|newest| newest.revision() > have) else {
            return Ok(None);
        };
        let base = self.retained.iter().find(|retained| retained.revision() == have);
        if let Some(base) = base {
            let json = encode(&change_between(base, &newest))?;
            return Ok(Some(Transfer { base: have, revision: newest.revision(), json }));
        }
        if self.full.is_none() {
            let json = encode(newest.as_ref())?;
            self.full = Some(Transfer { base: Revision(0), revision: newest.revision(), json });
        }
        Ok(self.full.clone())
    }

    /// Applies a transfer if it is newer than the newest known configuration, and returns whether it
    /// was.
    ///
    /// # Errors
    ///
    /// `Error::Codec` if the transfer cannot be decoded; `Error::UnknownBase` if it is a change based
    /// on a revision that is not retained, so that the complete configuration must be requested.
    pub fn apply(&mut self, transfer: &Transfer) -> Result<bool> {
        if transfer.revision <= self.revision() {
            return Ok(false);
        }
        let next = if transfer.base == Revision(0) {
            serde_json::from_slice(&transfer.json).map_err(Error::codec)?
        } else {
            let base = self.retained.iter().find(|retained| retained.revision() == transfer.base);
            let base = base.ok_or(Error::UnknownBase { base: transfer.base })?;
            let change: Change = serde_json::from_slice(&transfer.json).map_err(Error::codec)?;
            base.changed(transfer.revision, change.put, &change.deleted)
        };
        if next.revision() != transfer.revision {
            return Err(Error::codec("the configuration's revision differs from the transfer's"));
        }
        Ok(self.offer(Arc::new(next)))
    }
}

fn change_between(base: &Configuration, newest: &Configuration) -> Change {
    let is_new = |resource: &&Arc<Resource>| {
        let old = base.get(&resource.key());
        old.is_none_or(|old| !Arc::ptr_eq(old, resource) && old != *resource)
    };
    let put = newest.resources().filter(is_new).cloned().collect();
    let keys = base.resources().map(|resource| resource.key());
    let deleted = keys.filter(|key| newest.get(key).is_none()).collect();
    Change { put, deleted }
}

fn encode<T: Serialize>(value: &T) -> Result<Arc<[u8]>> {
    serde_json::to_vec(value).map(Arc::from).map_err(Error::codec)
}
