//! Settings files in YAML; every error names the file and the key or position in it.

mod address;
mod count;
mod not_allowed;
mod number;
mod scalar;
mod time_span;

use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use thiserror::Error;

pub use crate::settings::address::check_address;
pub use crate::settings::address::deserialize_address;
pub use crate::settings::address::deserialize_some_address;
pub use crate::settings::count::deserialize_count;
pub use crate::settings::count::deserialize_count_up_to;
pub use crate::settings::count::deserialize_some_count;
pub use crate::settings::not_allowed::NotAllowed;
pub use crate::settings::number::deserialize_number;
pub use crate::settings::time_span::Milliseconds;
pub use crate::settings::time_span::TimeSpan;

/// Key under which programs have their passwords.
const LOGIN_KEY: &str = "login";

/// Error of loading a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings file {path}: cannot be read: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid YAML, or does not match the settings' keys and types.
    #[error("settings file {path}: key {key}: {message}")]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Key that was being read, with its levels separated by dots; `.` is the whole file.
        key: String,
        /// Position and cause.
        message: String,
    },
    /// A value has the right type but is not allowed.
    #[error("settings file {path}: key {key}: {value:?} is not allowed; allowed: {allowed}")]
    Value {
        /// Path of the file.
        path: PathBuf,
        /// Key, with its levels separated by dots.
        key: String,
        /// Value in the file or the environment.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

/// Settings value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// Key, with its levels separated by dots.
    pub key: String,
    /// Value in the file or the environment.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl InvalidValue {
    /// Creates the error for a value of `key`.
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

/// Settings that a program loads from its file.
pub trait Settings: DeserializeOwned {
    /// Applies overrides from the environment and checks every value.
    ///
    /// # Errors
    ///
    /// Returns the first value that is not allowed.
    fn check(&mut self) -> Result<(), InvalidValue>;
}

/// Loads settings from a YAML file and checks them.
///
/// # Errors
///
/// Fails if the file cannot be read, is not valid YAML, or has an unknown key or an invalid value.
pub fn load<S: Settings>(path: impl AsRef<Path>) -> Result<S, SettingsError> {
    let path = path.as_ref().to_path_buf();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(SettingsError::Read { path, source }),
    };
    let mut settings: S = match read(&text) {
        Ok(settings) => settings,
        Err((key, message)) => return Err(SettingsError::Parse { path, key, message }),
    };
    match settings.check() {
        Ok(()) => Ok(settings),
        Err(InvalidValue {
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

/// Reads settings from YAML; an error is the key that was being read, with position, cause and line.
fn read<S: DeserializeOwned>(text: &str) -> Result<S, (String, String)> {
    let mut key = None;
    let read = serde_saphyr::with_deserializer_from_str(text, |yaml| {
        serde_path_to_error::deserialize(yaml).map_err(|e| {
            key = Some(e.path().to_string());
            e.into_inner()
        })
    });
    read.map_err(|e| {
        let cause = e.without_snippet();
        let line = shown_line(text, key.as_deref(), cause).unwrap_or_default();
        (
            key.unwrap_or_else(|| ".".to_owned()),
            format!("{cause}{line}"),
        )
    })
}

/// Returns the line of an error, if it is that of a known key that has no password.
fn shown_line(text: &str, key: Option<&str>, cause: &serde_saphyr::Error) -> Option<String> {
    let key = key.filter(|key| *key != "." && !key.contains('?'))?;
    let is_unknown = cause.to_string().contains("unknown field");
    let number = usize::try_from(cause.location()?.line()).ok()?;
    let line = text.lines().nth(number.checked_sub(1)?)?;
    (!is_unknown && !key.starts_with(LOGIN_KEY)).then(|| format!(": {:?}", line.trim()))
}

/// Checks that a name is not empty; vms without one could not be told apart.
///
/// # Errors
///
/// Names the key if it is.
pub fn check_name(key: &str, value: &str) -> Result<(), InvalidValue> {
    if value.is_empty() {
        return Err(InvalidValue::new(key, value, "a name that is not empty"));
    }
    Ok(())
}

/// Replaces `value` with the value of an environment variable, if it is set to valid Unicode.
pub fn override_from_env(value: &mut String, variable: &str) {
    if let Ok(text) = std::env::var(variable) {
        *value = text;
    }
}
