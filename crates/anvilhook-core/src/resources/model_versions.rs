//! Versions of models.

use serde::{Deserialize, Serialize};

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
