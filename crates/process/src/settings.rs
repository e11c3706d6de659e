//! Settings in YAML: unknown keys are errors, and every error names file and place.

use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings file {path}: cannot be read: {source}")]
    Read {
        /// File that was asked for.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is no valid YAML for these settings.
    #[error("settings file {path}: {message}")]
    Parse {
        /// File that was read.
        path: PathBuf,
        /// Place and cause.
        message: String,
    },
    /// A value is of the right type but not allowed.
    #[error("settings file {path}: key {key}: {value:?} is not allowed; allowed: {allowed}")]
    Value {
        /// File that was read.
        path: PathBuf,
        /// Key, with dots between levels.
        key: String,
        /// Value that was found.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}

/// Value that its settings do not allow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadValue {
    /// Key, with dots between levels.
    pub key: String,
    /// Value that was found.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl BadValue {
    /// Describes a value that is not allowed.
    pub fn new(
        key: impl Into<String>,
        value: &(impl ToString + ?Sized),
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            key: key.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }
}

/// Settings of one program.
pub trait Settings: DeserializeOwned {
    /// Applies the environment and checks every value.
    ///
    /// # Errors
    ///
    /// Returns the first value that is not allowed.
    fn check(&mut self) -> Result<(), BadValue>;
}

/// Loads settings from a YAML file and checks them.
///
/// # Errors
///
/// Fails if the file cannot be read, does not parse, has unknown keys or holds a bad value.
pub fn load<S: Settings>(path: impl AsRef<Path>) -> Result<S, SettingsError> {
    let path = path.as_ref().to_path_buf();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(SettingsError::Read { path, source }),
    };
    let mut settings: S = match serde_saphyr::from_str(&text) {
        Ok(settings) => settings,
        Err(e) => {
            return Err(SettingsError::Parse {
                path,
                message: e.to_string(),
            });
        }
    };
    match settings.check() {
        Ok(()) => Ok(settings),
        Err(BadValue {
            key,
            value,
            allowed,
        }) => Err(SettingsError::Value {
            path,
            key,
            value,
            allowed,
        }),
    }
}

/// Replaces `value` by an environment variable's, if it is set.
pub fn override_from_env(value: &mut String, variable: &str) {
    if let Ok(text) = std::env::var(variable) {
        *value = text;
    }
}
