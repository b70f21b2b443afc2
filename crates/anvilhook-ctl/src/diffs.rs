//! Shows the changes of a spec as a line-based diff.

use anvilhook_core::resources::{ResourceKey, Spec};
use similar::TextDiff;

use crate::exits::{Failure, Result};

/// Returns the difference between the current and the declared spec as a unified diff of their YAML.
pub(crate) fn show(key: &ResourceKey, old: Option<&Spec>, new: Option<&Spec>) -> Result<String> {
    let old_text = old.map(to_yaml).transpose()?.unwrap_or_default();
    let new_text = new.map(to_yaml).transpose()?.unwrap_or_default();
    let diff = TextDiff::from_lines(&old_text, &new_text);
    let side =
        |spec: Option<&Spec>| if spec.is_some() { key.to_string() } else { "none".to_owned() };
    Ok(diff.unified_diff().header(&side(old), &side(new)).to_string())
}

/// Returns a spec as YAML, in the format of a file for `apply`.
pub(crate) fn to_yaml(spec: &Spec) -> Result<String> {
    serde_saphyr::to_string(spec).map_err(Failure::output)
}
