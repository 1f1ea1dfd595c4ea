//! Reads settings from JSON text and files.

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::check::check_settings;
use crate::schema::EntrySettings;

/// Why settings cannot be used; displayed as `path: problem` on one line.
#[derives::value]
pub struct SettingsError {
    path: String,
    problem: String,
}

impl SettingsError {
    /// Creates an error about the member at `path`, `.` for the whole file. Line breaks in
    /// `problem` become spaces.
    #[must_use]
    pub fn new(path: &str, problem: &str) -> Self {
        Self {
            path: path.to_owned(),
            problem: problem.replace('\n', " "),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// Parses settings of any type from JSON text without checking their values.
///
/// # Errors
///
/// Returns an error with the path of the first member that is unknown, missing or of the wrong
/// type. The path is `.` if no single member is the cause.
pub fn parse_unchecked<F: DeserializeOwned>(text: &str) -> Result<F, SettingsError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        // serde_path_to_error reports `?` as the path if the text ends early.
        let path = if path == "?" { "." } else { &path };
        SettingsError::new(path, &error.inner().to_string())
    })?;
    reader
        .end()
        .map_err(|error| SettingsError::new(".", &error.to_string()))?;
    Ok(value)
}

/// Reads a settings file as text.
///
/// # Errors
///
/// Returns an error with the path `.` if the file cannot be read or is not UTF-8.
pub fn read_file(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file)
        .map_err(|error| SettingsError::new(".", &format!("cannot read the file: {error}")))
}

/// Parses and checks settings from JSON text.
///
/// # Errors
///
/// Returns an error with the path of the first member that is unknown, missing, of the wrong type
/// or out of range.
pub fn parse_settings(text: &str) -> Result<EntrySettings, SettingsError> {
    let settings = parse_unchecked(text)?;
    check_settings(&settings)?;
    Ok(settings)
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The errors of [`read_file`] and [`parse_settings`].
pub fn load_settings(file: &Path) -> Result<EntrySettings, SettingsError> {
    parse_settings(&read_file(file)?)
}

/// Returns the JSON schema of [`EntrySettings`] as indented text.
///
/// # Panics
///
/// Panics if the schema cannot be serialized to JSON, which does not happen for a generated schema.
#[must_use]
pub fn settings_schema() -> String {
    let schema = schemars::schema_for!(EntrySettings);
    serde_json::to_string_pretty(&schema).expect("a generated schema can be serialized")
}
