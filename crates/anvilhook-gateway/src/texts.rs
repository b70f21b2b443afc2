//! Bounds the length of external texts in logs.

/// The maximum length of an external text in a log line, in bytes.
const MAX_EXTERNAL_BYTES: usize = 300;

/// Returns the beginning of a text from outside this process. A row may contain a name of any length, and a
/// log line with all of it would displace many others.
pub(crate) fn bounded(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_EXTERNAL_BYTES)]
}
