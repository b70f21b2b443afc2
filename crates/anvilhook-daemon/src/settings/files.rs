//! Reading the settings file, and the one error of it.

use std::fmt;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use super::Settings;

/// The largest settings file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// `SettingsError` says where a settings file is wrong, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1, if the error lies at one.
    pub line: Option<u64>,
    /// The path of the field, such as `limits.open_requests`, if the error lies at one.
    pub field: Option<String>,
    /// What is wrong.
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
/// A `SettingsError` if the file cannot be read or breaks a rule.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let text = read_bounded(file).map_err(|err| SettingsError {
        file: file.to_owned(),
        line: None,
        field: None,
        message: format!("cannot be read: {err}"),
    })?;
    parse(file, &text)
}

/// Reads a file of a sound size. One without end would take all memory, and the process with it.
fn read_bounded(file: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(file)?.take(MAX_FILE_BYTES + 1).read_to_string(&mut text)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        let message = format!("expected at most {MAX_FILE_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(text)
}

/// Checks the text of a settings file. The file's name only stands in the error.
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
    // Without its excerpt of the file the message is one line and shows no secret.
    let rendered = err.without_snippet().render_with_formatter(&serde_saphyr::UserMessageFormatter);
    let first_line = rendered.lines().next().unwrap_or("cannot be parsed");

    // The library ends its message with the place, which stands at the beginning here.
    let place = err.location().map(|at| format!(" at line {}, column {}", at.line(), at.column()));
    let message = place.and_then(|place| first_line.strip_suffix(&place)).unwrap_or(first_line);

    SettingsError {
        file: file.to_owned(),
        line: err.location().map(|at| at.line()),
        field: field.and_then(|path| known_part(&path)),
        message: explain(message),
    }
}

/// Returns the part of a field's path that is known; `?` stands for a part that is not, and `.` for
/// the whole file.
fn known_part(path: &str) -> Option<String> {
    let known = path.trim_end_matches('?').trim_end_matches('.');
    (!known.is_empty()).then(|| known.to_owned())
}

/// Puts the library's terse message on numbers into words.
fn explain(message: &str) -> String {
    match message {
        "invalid u32" | "invalid u64" => "expected a whole number of at least 0".to_owned(),
        "invalid f64" => "expected a number".to_owned(),
        other => other.to_owned(),
    }
}
