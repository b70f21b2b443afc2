//! What would change, line by line.

use anvilhook_core::resources::{ResourceKey, Spec};
use similar::TextDiff;

use crate::exits::{Failure, Result};

/// Shows the difference between what stands and what is wanted, as a patch of their YAML.
pub(crate) fn show(key: &ResourceKey, old: Option<&Spec>, new: Option<&Spec>) -> Result<String> {
    let old_text = old.map(to_yaml).transpose()?.unwrap_or_default();
    let new_text = new.map(to_yaml).transpose()?.unwrap_or_default();
    let diff = TextDiff::from_lines(&old_text, &new_text);
    let side =
        |spec: Option<&Spec>| if spec.is_some() { key.to_string() } else { "none".to_owned() };
    Ok(diff.unified_diff().header(&side(old), &side(new)).to_string())
}

/// Writes a spec as it stands in a file.
pub(crate) fn to_yaml(spec: &Spec) -> Result<String> {
    serde_saphyr::to_string(spec).map_err(Failure::output)
}
