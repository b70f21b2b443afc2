//! Versions of models.

use serde::{Deserialize, Serialize};

use super::checks::require;
use crate::errors::Result;
use crate::orders::ModelRef;

/// `ModelVersionSpec` declares one version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersionSpec {
    /// The model and version.
    pub model: ModelRef,
    /// The key of its weights in the weight store.
    pub weights: String,
    /// The size of its weights, in bytes.
    pub weight_bytes: u64,
    /// The size of its KV cache for one token, in bytes.
    pub kv_bytes_per_token: u64,
}

impl ModelVersionSpec {
    /// Checks the rules on the model version's own fields.
    pub(super) fn check(&self) -> Result<()> {
        require(self.model.version > 0, "model.version", "a version from 1")?;
        require(!self.weights.is_empty(), "weights", "the key of the weights in the weight store")?;
        require(self.weight_bytes > 0, "weight_bytes", "at least 1 byte")?;
        require(self.kv_bytes_per_token > 0, "kv_bytes_per_token", "at least 1 byte")
    }
}
