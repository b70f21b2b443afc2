//! Helpers that check a rule on one field.

use crate::errors::{Error, Result};

/// Returns an error that names the field below `spec`, unless the rule holds.
pub(super) fn require(holds: bool, field: &str, expected: &str) -> Result<()> {
    if holds { Ok(()) } else { Err(Error::bad_field(format!("spec.{field}"), expected)) }
}

/// Returns an error that names the first duplicate entry of a list, if there is one.
pub(super) fn require_distinct<T: PartialEq>(list: &[T], field: &str) -> Result<()> {
    for (i, entry) in list.iter().enumerate() {
        let is_new = !list[..i].contains(entry);
        require(is_new, &format!("{field}[{i}]"), "an entry that is not listed before")?;
    }
    Ok(())
}
