//! Ed25519 keys with which operators sign bundles.

use std::fmt;
use std::str::FromStr;

use ed25519_dalek::Signature;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use ed25519_dalek::ed25519::signature::Signer as _;
use rand::CryptoRng;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Length of an ed25519 private or public key.
const KEY_BYTES: usize = 32;

/// Private key with which an operator signs bundles.
#[derive(Clone)]
pub struct Signer(SigningKey);

impl Signer {
    /// Creates a random key.
    pub fn generate(rng: &mut impl CryptoRng) -> Self {
        let mut seed = [0; KEY_BYTES];
        rng.fill_bytes(&mut seed);
        Self(SigningKey::from_bytes(&seed))
    }

    /// Returns the public key.
    #[must_use]
    pub fn id(&self) -> SignerId {
        SignerId(hex::encode(self.0.verifying_key().to_bytes()))
    }

    /// Returns the private key in hex, the content of a key file.
    #[must_use]
    pub fn reveal(&self) -> String {
        hex::encode(self.0.to_bytes())
    }

    pub(super) fn sign(&self, message: &[u8]) -> String {
        hex::encode(self.0.sign(message).to_bytes())
    }
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Signer({}, ***)", self.id())
    }
}

/// Error for text that is not an ed25519 key in hex.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("signer key is not 64 hexadecimal digits of an ed25519 key")]
pub struct ParseSignerError;

impl FromStr for Signer {
    type Err = ParseSignerError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut seed = [0; KEY_BYTES];
        hex::decode_to_slice(text.trim(), &mut seed).map_err(|_not_hex| ParseSignerError)?;
        Ok(Self(SigningKey::from_bytes(&seed)))
    }
}

/// Public key of an operator, in hex; identifies a signer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SignerId(String);

impl SignerId {
    /// Verifies that `signature` was made by this key over `message`.
    pub(super) fn verifies(&self, message: &[u8], signature: &str) -> bool {
        let Some(key) = self.key() else {
            return false;
        };
        let mut bytes = [0; Signature::BYTE_SIZE];
        if hex::decode_to_slice(signature, &mut bytes).is_err() {
            return false;
        }
        key.verify_strict(message, &Signature::from_bytes(&bytes))
            .is_ok()
    }

    fn key(&self) -> Option<VerifyingKey> {
        let mut bytes = [0; KEY_BYTES];
        hex::decode_to_slice(&self.0, &mut bytes).ok()?;
        VerifyingKey::from_bytes(&bytes).ok()
    }
}

impl FromStr for SignerId {
    type Err = ParseSignerError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let id = Self(text.trim().to_ascii_lowercase());
        if id.key().is_some() {
            Ok(id)
        } else {
            Err(ParseSignerError)
        }
    }
}

impl fmt::Display for SignerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
