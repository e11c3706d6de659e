//! Content-addressed parts of a bundle's hash tree.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use sha2::Digest;
use sha2::Sha256;
use thiserror::Error;

use super::Bundle;
use super::BundleVersion;
use super::tree;

/// Bytes of a chunk's hash.
const HASH_BYTES: usize = 32;

/// SHA-256 of a chunk's bytes, its name in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChunkHash([u8; HASH_BYTES]);

impl ChunkHash {
    /// Returns the hash of a chunk's bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the bytes of the hash.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; HASH_BYTES] {
        &self.0
    }

    pub(super) fn from_bytes(bytes: [u8; HASH_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for ChunkHash {
    type Err = ChunkError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; HASH_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_not_hex| ChunkError::Hash)?;
        Ok(Self(bytes))
    }
}

impl Serialize for ChunkHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ChunkHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Content-addressed part of a bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Hash of the bytes.
    pub hash: ChunkHash,
    /// The bytes.
    pub bytes: Vec<u8>,
}

impl Chunk {
    /// Creates a chunk from its bytes.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self {
            hash: ChunkHash::of(&bytes),
            bytes,
        }
    }
}

/// Chunk that is not part of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// The text is no hash.
    #[error("chunk hash is not 64 hexadecimal digits")]
    Hash,
    /// The bytes are neither an inner node nor a leaf.
    #[error("chunk {hash} does not decode: {cause}")]
    Content {
        /// Hash of the chunk.
        hash: ChunkHash,
        /// What is wrong.
        cause: String,
    },
    /// Chunks that the root needs are not there.
    #[error("{missing} chunks of the bundle are missing, {first} first")]
    Missing {
        /// How many chunks are known to be missing.
        missing: usize,
        /// One of them.
        first: ChunkHash,
    },
}

/// Chunks at hand, from which bundles are put together.
///
/// Feed it the chunks that [`Assembly::missing`] names until it names none.
#[derive(Debug, Clone, Default)]
pub struct Assembly {
    chunks: BTreeMap<ChunkHash, Chunk>,
}

impl Assembly {
    /// Adds a chunk under the hash of its bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no part of a bundle.
    pub fn add(&mut self, bytes: Vec<u8>) -> Result<ChunkHash, ChunkError> {
        let chunk = Chunk::new(bytes);
        tree::children(&chunk)?;
        let hash = chunk.hash;
        self.chunks.insert(hash, chunk);
        Ok(hash)
    }

    /// Returns a chunk that is at hand.
    #[must_use]
    pub fn get(&self, hash: &ChunkHash) -> Option<&Chunk> {
        self.chunks.get(hash)
    }

    /// Returns the chunks that are needed next to put the bundle of `root` together.
    #[must_use]
    pub fn missing(&self, root: &ChunkHash) -> Vec<ChunkHash> {
        let mut missing = Vec::new();
        self.walk(root, &mut |hash, chunk| {
            if chunk.is_none() {
                missing.push(*hash);
            }
        });
        missing
    }

    /// Drops every chunk that the bundle of `root` does not need.
    pub fn retain(&mut self, root: &ChunkHash) {
        let mut needed = BTreeMap::new();
        self.walk(root, &mut |hash, chunk| {
            if let Some(chunk) = chunk {
                needed.insert(*hash, chunk.clone());
            }
        });
        self.chunks = needed;
    }

    /// Puts the bundle of `root` together under a version.
    ///
    /// # Errors
    ///
    /// Fails if chunks are missing or a leaf does not decode.
    pub fn bundle(&self, root: &ChunkHash, version: BundleVersion) -> Result<Bundle, ChunkError> {
        let missing = self.missing(root);
        if let Some(first) = missing.first() {
            return Err(ChunkError::Missing {
                missing: missing.len(),
                first: *first,
            });
        }
        let mut bundle = Bundle {
            version,
            ..Bundle::default()
        };
        let mut failed = None;
        self.walk(root, &mut |_, chunk| {
            let outcome = chunk.map_or(Ok(()), |c| tree::read_leaf(c, &mut bundle));
            failed = failed.take().or(outcome.err());
        });
        if let Some(error) = failed {
            return Err(error);
        }
        tree::sort(&mut bundle);
        Ok(bundle)
    }

    fn walk<'a>(&'a self, hash: &ChunkHash, visit: &mut impl FnMut(&ChunkHash, Option<&'a Chunk>)) {
        let chunk = self.chunks.get(hash);
        visit(hash, chunk);
        let children = chunk.map(tree::children);
        for child in children.into_iter().flatten().flatten() {
            self.walk(&child, visit);
        }
    }
}
