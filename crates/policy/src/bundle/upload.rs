//! Chunks that a store lacks when it holds an older bundle whole.

use std::collections::BTreeSet;

use super::Chunk;
use super::ChunkError;
use super::ChunkHash;
use super::Tree;
use super::tree;

/// Comparison of a new tree with a stored older one that reads only where the two differ.
///
/// Read the chunk that [`Upload::wanted`] names and hand it to [`Upload::add_stored`] until it
/// names none; then write what [`Upload::chunks`] returns, in that order.
#[derive(Debug, Clone)]
pub struct Upload {
    tree: Tree,
    hashes: BTreeSet<ChunkHash>,
    stored: BTreeSet<ChunkHash>,
    wanted: Vec<ChunkHash>,
}

impl Upload {
    /// Starts the comparison of `tree` with the stored tree of `older`, if there is one.
    #[must_use]
    pub fn new(tree: Tree, older: Option<ChunkHash>) -> Self {
        let hashes = tree.chunks.iter().map(|c| c.hash).collect();
        let mut upload = Self {
            tree,
            hashes,
            stored: BTreeSet::new(),
            wanted: Vec::new(),
        };
        upload.meet(older);
        upload
    }

    /// Returns the next stored chunk to read.
    #[must_use]
    pub fn wanted(&self) -> Option<ChunkHash> {
        self.wanted.last().copied()
    }

    /// Takes in the stored chunk that was wanted; `None` if it cannot be found.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no part of a bundle.
    pub fn add_stored(&mut self, bytes: Option<Vec<u8>>) -> Result<(), ChunkError> {
        self.wanted.pop();
        if let Some(bytes) = bytes {
            let children = tree::children(&Chunk::new(bytes))?;
            self.meet(children);
        }
        Ok(())
    }

    /// Returns the chunks to write, children before the nodes that point to them.
    #[must_use]
    pub fn chunks(&self) -> Vec<&Chunk> {
        let mut needed = BTreeSet::new();
        for chunk in self.tree.chunks.iter().rev() {
            let is_root = chunk.hash == self.tree.root;
            let reached = is_root || needed.contains(&chunk.hash);
            if reached && !self.stored.contains(&chunk.hash) {
                needed.insert(chunk.hash);
                needed.extend(tree::children(chunk).into_iter().flatten());
            } else {
                needed.remove(&chunk.hash);
            }
        }
        let chunks = self.tree.chunks.iter();
        chunks.filter(|c| needed.contains(&c.hash)).collect()
    }

    fn meet(&mut self, stored: impl IntoIterator<Item = ChunkHash>) {
        for hash in stored {
            if self.hashes.contains(&hash) {
                self.stored.insert(hash);
            } else {
                self.wanted.push(hash);
            }
        }
    }
}
