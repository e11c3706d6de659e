//! Text that commands print.

use mustardbay_policy::bundle::Key;
use mustardbay_policy::bundle::KeyVerifier;
use mustardbay_policy::bundle::SignerId;
use serde::Serialize;

use crate::error::CliError;

/// Result of one command as text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report(String);

impl Report {
    /// Shows a new key and its verifier; the text of the key appears nowhere else.
    #[must_use]
    pub fn key(key: &Key, verifier: &KeyVerifier) -> Self {
        Self(format!(
            "key, shown only now:\n{}\n\nentry for the account's keys in the bundle:\n\
             - id: {}\n  verifier: \"{}\"",
            key.reveal(),
            verifier.id,
            verifier.verifier,
        ))
    }

    /// Shows the public key of a new signer as an entry for the settings.
    #[must_use]
    pub fn signer(id: &SignerId) -> Self {
        Self(format!("entry for signers in every steward.yaml:\n- {id}"))
    }

    /// Shows a value as indented JSON.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialised.
    pub fn json(value: &impl Serialize) -> Result<Self, CliError> {
        match serde_json::to_string_pretty(value) {
            Ok(text) => Ok(Self(text)),
            Err(e) => Err(CliError::Render(e.to_string())),
        }
    }

    /// Shows a value as YAML.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialised.
    pub fn yaml(value: &impl Serialize) -> Result<Self, CliError> {
        match serde_saphyr::to_string(value) {
            Ok(text) => Ok(Self(text)),
            Err(e) => Err(CliError::Render(e.to_string())),
        }
    }

    /// Shows plain text.
    pub fn text(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Prints the text on standard output, without trailing blanks.
    pub(crate) fn print(&self) {
        println!("{}", self.0.trim_end());
    }
}
