//! Key of an account, which a caller presents as its password.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::CryptoRng;

use crate::bundle::KeyVerifier;
use crate::bundle::ScramSecret;
use crate::names::KeyId;

/// Random bytes of a key.
const KEY_BYTES: usize = 32;
/// Random bytes of a key's identifier.
const ID_BYTES: usize = 5;
/// PBKDF2 iterations of a verifier: the minimum of RFC 7677, as the key is random.
const ITERATIONS: u32 = 4_096;

/// Random key of an account; shown to the operator once and never stored.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    id: KeyId,
    text: String,
}

impl Key {
    /// Creates a random key with a random identifier.
    pub fn generate(rng: &mut impl CryptoRng) -> Self {
        let mut id = [0; ID_BYTES];
        let mut secret = [0; KEY_BYTES];
        rng.fill_bytes(&mut id);
        rng.fill_bytes(&mut secret);
        Self {
            id: format!("k{}", hex::encode(id)).into(),
            text: URL_SAFE_NO_PAD.encode(secret),
        }
    }

    /// Returns the public identifier.
    #[must_use]
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// Returns the secret text that the caller presents as its password.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// Creates a verifier of the key with a random salt.
    pub fn verifier(&self, rng: &mut impl CryptoRng) -> KeyVerifier {
        KeyVerifier {
            id: self.id.clone(),
            verifier: ScramSecret::create(&self.text, ITERATIONS, rng).reveal(),
        }
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .field("text", &"***")
            .finish()
    }
}
