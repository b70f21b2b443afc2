//! The names of suspected prompt parts.

use std::collections::VecDeque;

use anvilhook_core::fingerprints::Fingerprint;

use crate::prompts::SharedPart;

/// The maximum number of parts whose names are stored. Beyond it, the oldest one is forgotten.
const MAX_NAMES: usize = 256;

/// `PartNames` holds the names of suspected parts. Instances publish parts by their fingerprints only, so each learns
/// the names from its own requests.
#[derive(Debug, Default)]
pub(super) struct PartNames(VecDeque<SharedPart>);

impl PartNames {
    /// Stores the name of a part. Returns whether it was unknown.
    pub fn record(&mut self, part: &SharedPart) -> bool {
        if self.get(part.fingerprint).is_some() {
            return false;
        }
        if self.0.len() >= MAX_NAMES {
            self.0.pop_front();
        }
        self.0.push_back(part.clone());
        true
    }

    /// Returns the part with this fingerprint, if its name is known.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&SharedPart> {
        self.0.iter().find(|part| part.fingerprint == fingerprint)
    }
}
