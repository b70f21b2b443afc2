//! Texts for logs.

/// The longest part of a foreign text in a line of the log, in bytes.
const MAX_FOREIGN_BYTES: usize = 300;

/// Returns the beginning of a text that somebody else wrote. A row may hold a name of any length, and the
/// line that tells of it would take the place of many others.
pub(crate) fn bounded(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_FOREIGN_BYTES)]
}
