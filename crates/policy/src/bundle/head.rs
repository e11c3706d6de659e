//! Signed record that says which bundle is in force.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::BundleVersion;
use super::ChunkHash;
use super::Signer;
use super::SignerId;

/// Separates signatures over heads from any other use of an operator's key.
const CONTEXT: &[u8] = b"mustardbay bundle head v1\0";
/// Writers that a head remembers besides its own.
const REMEMBERED_WRITERS: usize = 8;

/// Signed record that says which bundle is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Hash of the root chunk.
    pub root: ChunkHash,
    /// Operator who signed.
    pub signer: SignerId,
    /// Signature over version and root, in hex.
    pub signature: String,
    /// Random number of the submission that wrote the record.
    pub writer: u64,
    /// Writers of the heads before this one, newest first.
    #[serde(default)]
    pub earlier: Vec<u64>,
}

/// Head that must not be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The signer is not one of the trusted ones.
    #[error("bundle head {version} is signed by {signer}, which is not a trusted signer")]
    Untrusted {
        /// Version of the head.
        version: BundleVersion,
        /// Who signed it.
        signer: SignerId,
    },
    /// The signature does not belong to version and root.
    #[error("bundle head {version} has a wrong signature")]
    Signature {
        /// Version of the head.
        version: BundleVersion,
    },
}

impl Head {
    /// Signs a bundle's root under a version.
    #[must_use]
    pub fn sign(version: BundleVersion, root: ChunkHash, signer: &Signer) -> Self {
        Self {
            version,
            root,
            signer: signer.id(),
            signature: signer.sign(&message(version, &root)),
            writer: 0,
            earlier: Vec::new(),
        }
    }

    /// Checks signer and signature.
    ///
    /// # Errors
    ///
    /// Fails if the signer is not in `trusted` or the signature is wrong.
    pub fn verify(&self, trusted: &[SignerId]) -> Result<(), HeadError> {
        if !trusted.contains(&self.signer) {
            return Err(HeadError::Untrusted {
                version: self.version,
                signer: self.signer.clone(),
            });
        }
        self.verify_signature()
    }

    /// Checks that the signature is the named signer's, whoever that is.
    ///
    /// # Errors
    ///
    /// Fails if the signature is wrong.
    pub fn verify_signature(&self) -> Result<(), HeadError> {
        let message = message(self.version, &self.root);
        if self.signer.verifies(&message, &self.signature) {
            Ok(())
        } else {
            Err(HeadError::Signature {
                version: self.version,
            })
        }
    }

    /// Returns the head as `writer` submits it after `previous`.
    #[must_use]
    pub fn submitted_by(mut self, writer: u64, previous: Option<&Self>) -> Self {
        self.writer = writer;
        self.earlier = previous.into_iter().flat_map(Self::writers).collect();
        self.earlier.truncate(REMEMBERED_WRITERS);
        self
    }

    /// Tells whether a submission took effect, in this head or in one shortly before it.
    #[must_use]
    pub fn knows_writer(&self, writer: u64) -> bool {
        self.writers().any(|w| w == writer)
    }

    fn writers(&self) -> impl Iterator<Item = u64> {
        std::iter::once(self.writer).chain(self.earlier.iter().copied())
    }
}

fn message(version: BundleVersion, root: &ChunkHash) -> Vec<u8> {
    let mut message = CONTEXT.to_vec();
    message.extend(version.0.to_be_bytes());
    message.extend(root.as_bytes());
    message
}
