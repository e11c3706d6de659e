//! Content-addressed chunks of a bundle's hash tree.

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

/// Length of a SHA-256 digest.
const HASH_BYTES: usize = 32;

/// SHA-256 digest of a chunk's bytes, under which the platform stores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChunkHash([u8; HASH_BYTES]);

impl ChunkHash {
    /// Computes the hash of a chunk's bytes.
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

/// Encoded node of a bundle's hash tree, with its hash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Hash of the bytes.
    pub hash: ChunkHash,
    /// Encoded node.
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

/// Error when chunks do not make up a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// The text is not a hash.
    #[error("chunk hash is not 64 hexadecimal digits")]
    Hash,
    /// The bytes do not decode as an inner node or a leaf.
    #[error("chunk {hash} does not decode: {cause}")]
    Content {
        /// Hash of the chunk.
        hash: ChunkHash,
        /// What is wrong.
        cause: String,
    },
    /// Chunks below the root are missing.
    #[error("{missing} chunks of the bundle are missing, {first} first")]
    Missing {
        /// Number of chunks known to be missing; the ones below them are not counted.
        missing: usize,
        /// First missing chunk.
        first: ChunkHash,
    },
}

/// Chunks held locally, from which bundles are assembled.
///
/// To fetch a bundle, add the chunks that [`ChunkSet::missing`] returns until it returns none.
#[derive(Debug, Clone, Default)]
pub struct ChunkSet {
    chunks: BTreeMap<ChunkHash, Chunk>,
}

impl ChunkSet {
    /// Adds a chunk under the hash of its bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are neither an inner node nor a leaf.
    pub fn add(&mut self, bytes: Vec<u8>) -> Result<ChunkHash, ChunkError> {
        let chunk = Chunk::new(bytes);
        tree::children(&chunk)?;
        let hash = chunk.hash;
        self.chunks.insert(hash, chunk);
        Ok(hash)
    }

    /// Returns a chunk, if it is in the set.
    #[must_use]
    pub fn get(&self, hash: &ChunkHash) -> Option<&Chunk> {
        self.chunks.get(hash)
    }

    /// Returns the chunks to fetch next for the bundle of `root`.
    ///
    /// A missing inner node hides its children, so each fetched level may reveal further chunks.
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

    /// Removes every chunk that the bundle of `root` does not need.
    pub fn retain(&mut self, root: &ChunkHash) {
        let mut needed = BTreeMap::new();
        self.walk(root, &mut |hash, chunk| {
            if let Some(chunk) = chunk {
                needed.insert(*hash, chunk.clone());
            }
        });
        self.chunks = needed;
    }

    /// Assembles the bundle of `root` under a version.
    ///
    /// # Errors
    ///
    /// Fails if chunks are missing or a leaf does not decode.
    pub fn assemble(&self, root: &ChunkHash, version: BundleVersion) -> Result<Bundle, ChunkError> {
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

    /// Visits the node of `hash` and those below it, parents first; a missing one as `None`.
    fn walk<'a>(&'a self, hash: &ChunkHash, visit: &mut impl FnMut(&ChunkHash, Option<&'a Chunk>)) {
        let chunk = self.chunks.get(hash);
        visit(hash, chunk);
        let children = chunk.map(tree::children);
        for child in children.into_iter().flatten().flatten() {
            self.walk(&child, visit);
        }
    }
}
