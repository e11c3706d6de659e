//! Stored verifier of a key, in the format of PostgreSQL's `pg_authid`.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Size of a SHA-256 hash, in bytes.
const HASH_BYTES: usize = 32;
/// Largest iteration count of a verifier; bounds the work of one start-up.
const MAX_ITERATIONS: u32 = 1_000_000;

/// Verifier of one key: `SCRAM-SHA-256$iterations:salt$stored:server`.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Verifier {
    /// Iterations of the key derivation.
    pub iterations: u32,
    /// Salt of the key derivation.
    pub salt: Vec<u8>,
    /// Hash of the client key.
    pub stored_key: Vec<u8>,
    /// Key of the server signature.
    pub server_key: Vec<u8>,
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Verifier(***)")
    }
}

impl Verifier {
    /// Parses a verifier; `None` if its format or a value is invalid.
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix("SCRAM-SHA-256$")?;
        let (params, keys) = rest.split_once('$')?;
        let (iterations, salt) = params.split_once(':')?;
        let (stored, server) = keys.split_once(':')?;
        let verifier = Self {
            iterations: iterations.parse().ok()?,
            salt: STANDARD.decode(salt).ok()?,
            stored_key: STANDARD.decode(stored).ok()?,
            server_key: STANDARD.decode(server).ok()?,
        };
        let is_valid = (1..=MAX_ITERATIONS).contains(&verifier.iterations)
            && verifier.stored_key.len() == HASH_BYTES
            && verifier.server_key.len() == HASH_BYTES;
        is_valid.then_some(verifier)
    }

    /// Reports whether the verifier was made from `key`.
    pub fn accepts(&self, key: &str) -> bool {
        let mut salted = [0; HASH_BYTES];
        pbkdf2::pbkdf2_hmac::<Sha256>(key.as_bytes(), &self.salt, self.iterations, &mut salted);
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&salted) else {
            return false;
        };
        mac.update(b"Client Key");
        let client_key = mac.finalize().into_bytes();
        let stored = Sha256::digest(client_key);
        stored.as_slice().ct_eq(&self.stored_key).into()
    }
}
