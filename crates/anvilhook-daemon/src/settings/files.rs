//! Reads the settings file and reports errors with their place in it.

use std::fmt;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use super::Settings;

/// The maximum size of a settings file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The section that contains a secret, its only field, and the message about any other field there.
const SECRET_SECTION: &str = "peers";
const SECRET_FIELD: &str = "key";
const UNKNOWN_IN_SECRET_SECTION: &str = "unknown field, expected one of key";

/// `SettingsError` describes an error in a settings file and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// The line of the error, counted from 1, if it has one.
    pub line: Option<u64>,
    /// The path of the invalid field, such as `limits.open_requests`, if there is one.
    pub field: Option<String>,
    /// The description of the error.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(field) = &self.field {
            write!(f, ": {field}")?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks a settings file.
///
/// # Errors
///
/// A `SettingsError` if the file can't be read or breaks a rule.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let text = read_bounded(file).map_err(|err| SettingsError {
        file: file.to_owned(),
        line: None,
        field: None,
        message: format!("cannot be read: {err}"),
    })?;
    parse(file, &text)
}

/// Reads a file up to the maximum size. An endless file, such as `/dev/zero`, would otherwise use
/// up all memory.
fn read_bounded(file: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(file)?.take(MAX_FILE_BYTES + 1).read_to_string(&mut text)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        let message = format!("expected at most {MAX_FILE_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(text)
}

/// Parses and checks the text of a settings file. The file's name is used only in errors.
///
/// # Errors
///
/// A `SettingsError` if the text breaks a rule.
///
/// ```
/// use std::path::Path;
///
/// use anvilhook_daemon::settings::parse;
///
/// let err = parse(Path::new("a.yaml"), "instance: {name_prefix: Entry, zone: z}").unwrap_err();
/// assert!(err.to_string().starts_with("a.yaml:1: instance.name_prefix: "));
/// ```
pub fn parse(file: &Path, text: &str) -> Result<Settings, SettingsError> {
    let mut field = None;
    let parsed = serde_saphyr::with_deserializer_from_str(text, |de| {
        serde_path_to_error::deserialize(de).map_err(|err| {
            field = Some(err.path().to_string());
            err.into_inner()
        })
    });
    parsed.map_err(|err| describe(file, &err, field))
}

fn describe(file: &Path, err: &serde_saphyr::Error, field: Option<String>) -> SettingsError {
    // Without the excerpt of the file, the message is one line and contains no secret.
    let rendered = err.without_snippet().render_with_formatter(&serde_saphyr::UserMessageFormatter);
    let first_line = rendered.lines().next().unwrap_or("cannot be parsed");

    // The library puts the place at the end of its message; here it is shown at the beginning.
    let place = err.location().map(|at| format!(" at line {}, column {}", at.line(), at.column()));
    let message = place.and_then(|place| first_line.strip_suffix(&place)).unwrap_or(first_line);

    let (field, message) = match field.and_then(|path| known_part(&path)) {
        Some(path) if is_unknown_in_secret_section(&path) => {
            (Some(SECRET_SECTION.to_owned()), UNKNOWN_IN_SECRET_SECTION.to_owned())
        }
        path => (path, explain(message)),
    };
    SettingsError {
        file: file.to_owned(),
        line: err.location().map(|at| at.line()),
        field,
        message,
    }
}

/// Returns whether a path names an unknown field in the section that contains the secret. If the
/// colon after the key is missing, the secret becomes part of the field's name, and an error with
/// that name would put the secret into logs.
fn is_unknown_in_secret_section(path: &str) -> bool {
    let name = path.strip_prefix(SECRET_SECTION).and_then(|rest| rest.strip_prefix('.'));
    name.is_some_and(|name| name != SECRET_FIELD)
}

/// Returns the known part of a field's path, if any. In the library's paths, `?` stands for an
/// unknown part and `.` for the whole file.
fn known_part(path: &str) -> Option<String> {
    let known = path.trim_end_matches('?').trim_end_matches('.');
    (!known.is_empty()).then(|| known.to_owned())
}

/// Replaces the library's terse messages about numbers with descriptions of the expected value.
fn explain(message: &str) -> String {
    match message {
        "invalid u32" | "invalid u64" => "expected a whole number of at least 0".to_owned(),
        "invalid f64" => "expected a number".to_owned(),
        other => other.to_owned(),
    }
}
