//! Verifier of a key.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::ParseScramError;
use crate::bundle::ScramSecret;
use crate::names::KeyId;

/// Verifier of a key, in the form in which PostgreSQL stores SCRAM secrets.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyVerifier {
    /// Public identifier of the key.
    pub id: KeyId,
    /// Text `SCRAM-SHA-256$iterations:salt$stored:server`, in base64 as in PostgreSQL's `pg_authid`.
    pub verifier: String,
}

impl KeyVerifier {
    /// Returns the parsed verifier.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a SCRAM-SHA-256 verifier.
    pub fn secret(&self) -> Result<ScramSecret, ParseScramError> {
        self.verifier.parse()
    }
}

impl fmt::Debug for KeyVerifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyVerifier")
            .field("id", &self.id)
            .field("verifier", &"***")
            .finish()
    }
}
