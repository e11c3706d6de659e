//! Signed record of the bundle in force.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::BundleVersion;
use super::ChunkHash;
use super::Signer;
use super::SignerId;

/// Prefix of the signed message; a signature made for another purpose never verifies as a head.
const SIGNING_CONTEXT: &[u8] = b"mustardbay bundle head v1\0";
/// Most earlier writers kept in a head.
const MAX_EARLIER_WRITERS: usize = 8;

/// Signed record of the bundle in force: its version and the root of its hash tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Hash of the root chunk.
    pub root: ChunkHash,
    /// Public key of the operator who signed.
    pub signer: SignerId,
    /// Signature over version and root, in hex.
    pub signature: String,
    /// Random id of the submission that wrote the record.
    pub writer: u64,
    /// Ids of the submissions that wrote the preceding heads, newest first.
    #[serde(default)]
    pub earlier: Vec<u64>,
}

/// Reason why a head must not take effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The signer is not trusted.
    #[error("bundle head {version} is signed by {signer}, which is not a trusted signer")]
    Untrusted {
        /// Version of the head.
        version: BundleVersion,
        /// Public key of the signer.
        signer: SignerId,
    },
    /// The signature does not match version and root.
    #[error("bundle head {version} has a wrong signature")]
    Signature {
        /// Version of the head.
        version: BundleVersion,
    },
}

impl Head {
    /// Creates the head of a bundle's version and root, signed but without a writer.
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

    /// Verifies that the head is signed by a trusted signer.
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

    /// Verifies the signature without checking that the signer is trusted.
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

    /// Returns the head with `writer` as its submission, following the head `previous`.
    #[must_use]
    pub fn submitted_by(mut self, writer: u64, previous: Option<&Self>) -> Self {
        self.writer = writer;
        self.earlier = previous.into_iter().flat_map(Self::writers).collect();
        self.earlier.truncate(MAX_EARLIER_WRITERS);
        self
    }

    /// Tells whether the submission `writer` wrote this head or one of the preceding ones.
    ///
    /// A submitter whose write got no answer learns by this whether the write took effect.
    #[must_use]
    pub fn includes_writer(&self, writer: u64) -> bool {
        self.writers().any(|w| w == writer)
    }

    fn writers(&self) -> impl Iterator<Item = u64> {
        std::iter::once(self.writer).chain(self.earlier.iter().copied())
    }
}

fn message(version: BundleVersion, root: &ChunkHash) -> Vec<u8> {
    let mut message = SIGNING_CONTEXT.to_vec();
    message.extend(version.0.to_be_bytes());
    message.extend(root.as_bytes());
    message
}
