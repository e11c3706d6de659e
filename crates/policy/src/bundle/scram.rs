//! SCRAM-SHA-256 secrets (RFC 5802, RFC 7677) in PostgreSQL's text form.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use rand::CryptoRng;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Name of the mechanism, with which a secret's text starts.
const MECHANISM: &str = "SCRAM-SHA-256";
/// Length of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;
/// Length of a generated salt.
const SALT_BYTES: usize = 16;
/// Minimum number of iterations by RFC 7677.
const MIN_ITERATIONS: u32 = 4_096;
/// Maximum number of iterations, which bounds the CPU time of one password check.
const MAX_ITERATIONS: u32 = 1_000_000;

/// Secret that a server stores instead of a password.
#[derive(Clone, PartialEq, Eq)]
pub struct ScramSecret {
    /// Iterations of the key derivation.
    pub iterations: u32,
    /// Salt of the key derivation.
    pub salt: Vec<u8>,
    stored_key: [u8; DIGEST_BYTES],
    server_key: [u8; DIGEST_BYTES],
}

impl ScramSecret {
    /// Creates the secret of a password with a random salt.
    pub fn create(password: &str, iterations: u32, rng: &mut impl CryptoRng) -> Self {
        let mut salt = vec![0; SALT_BYTES];
        rng.fill_bytes(&mut salt);
        Self::derive(password, iterations, salt)
    }

    /// Derives the secret of a password with a given salt.
    #[must_use]
    pub fn derive(password: &str, iterations: u32, salt: Vec<u8>) -> Self {
        let salted: [u8; DIGEST_BYTES] = pbkdf2::pbkdf2_hmac_array::<Sha256, DIGEST_BYTES>(
            password.as_bytes(),
            &salt,
            iterations,
        );
        let client_key = mac(&salted, b"Client Key");
        Self {
            iterations,
            salt,
            stored_key: Sha256::digest(client_key).into(),
            server_key: mac(&salted, b"Server Key"),
        }
    }

    /// Checks a password against the secret, with a constant-time comparison.
    #[must_use]
    pub fn matches(&self, password: &str) -> bool {
        let other = Self::derive(password, self.iterations, self.salt.clone());
        self.stored_key.ct_eq(&other.stored_key).into()
    }

    /// Checks a client's proof over `auth_message`, with a constant-time comparison.
    #[must_use]
    pub fn proves(&self, auth_message: &str, proof: &[u8]) -> bool {
        let signature = mac(&self.stored_key, auth_message.as_bytes());
        if proof.len() != signature.len() {
            return false;
        }
        let client_key: Vec<u8> = proof.iter().zip(signature).map(|(p, s)| p ^ s).collect();
        let stored: [u8; DIGEST_BYTES] = Sha256::digest(&client_key).into();
        self.stored_key.ct_eq(&stored).into()
    }

    /// Returns the signature over `auth_message` with which the server authenticates itself.
    #[must_use]
    pub fn server_signature(&self, auth_message: &str) -> [u8; DIGEST_BYTES] {
        mac(&self.server_key, auth_message.as_bytes())
    }

    /// Returns the secret as text, `SCRAM-SHA-256$iterations:salt$stored:server`.
    #[must_use]
    pub fn reveal(&self) -> String {
        format!(
            "{MECHANISM}${}:{}${}:{}",
            self.iterations,
            STANDARD.encode(&self.salt),
            STANDARD.encode(self.stored_key),
            STANDARD.encode(self.server_key),
        )
    }
}

impl fmt::Debug for ScramSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ScramSecret")
            .field("iterations", &self.iterations)
            .field("keys", &"***")
            .finish_non_exhaustive()
    }
}

fn mac(key: &[u8], message: &[u8]) -> [u8; DIGEST_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(message);
    mac.finalize().into_bytes().into()
}

/// Error for text that is not a SCRAM-SHA-256 secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ParseScramError {
    /// The text does not have the required format.
    #[error("verifier is not of the form SCRAM-SHA-256$iterations:salt$stored:server")]
    Form,
    /// A part is not base64 of the right length.
    #[error("verifier part {0} is not base64 of the right length")]
    Part(&'static str),
    /// The number of iterations is out of range.
    #[error("verifier has {0} iterations; {MIN_ITERATIONS} to {MAX_ITERATIONS} are allowed")]
    Iterations(u32),
}

impl FromStr for ScramSecret {
    type Err = ParseScramError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = split(text).ok_or(ParseScramError::Form)?;
        let iterations = parts[0]
            .parse()
            .map_err(|_not_a_number| ParseScramError::Form)?;
        if !(MIN_ITERATIONS..=MAX_ITERATIONS).contains(&iterations) {
            return Err(ParseScramError::Iterations(iterations));
        }
        let salt = decode(parts[1], "salt")?;
        if salt.is_empty() {
            return Err(ParseScramError::Part("salt"));
        }
        Ok(Self {
            iterations,
            salt,
            stored_key: digest(parts[2], "stored")?,
            server_key: digest(parts[3], "server")?,
        })
    }
}

fn split(text: &str) -> Option<[&str; 4]> {
    let rest = text.strip_prefix(MECHANISM)?.strip_prefix('$')?;
    let (derivation, keys) = rest.split_once('$')?;
    let (iterations, salt) = derivation.split_once(':')?;
    let (stored, server) = keys.split_once(':')?;
    Some([iterations, salt, stored, server])
}

fn decode(text: &str, part: &'static str) -> Result<Vec<u8>, ParseScramError> {
    STANDARD
        .decode(text)
        .map_err(|_not_base64| ParseScramError::Part(part))
}

fn digest(text: &str, part: &'static str) -> Result<[u8; DIGEST_BYTES], ParseScramError> {
    decode(text, part)?
        .try_into()
        .map_err(|_wrong_length| ParseScramError::Part(part))
}
