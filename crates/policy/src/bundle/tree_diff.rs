//! Difference between a new hash tree and an older one in a store.

use std::collections::BTreeSet;

use super::Chunk;
use super::ChunkError;
use super::ChunkHash;
use super::Tree;
use super::tree;

/// Incremental comparison of a new tree with a stored older one, to write only missing chunks.
///
/// Only stored chunks that differ from the new tree are read: pass the chunk that
/// [`TreeDiff::next_read`] returns to [`TreeDiff::add_stored`] until it returns `None`. Then write
/// the chunks of [`TreeDiff::missing_chunks`] in that order.
#[derive(Debug, Clone)]
pub struct TreeDiff {
    tree: Tree,
    /// Hashes of the chunks of the new tree.
    hashes: BTreeSet<ChunkHash>,
    /// Roots of the subtrees that the new tree shares with the stored one.
    stored: BTreeSet<ChunkHash>,
    /// Stored chunks that are not in the new tree and have not been read.
    to_read: Vec<ChunkHash>,
}

impl TreeDiff {
    /// Starts comparing `tree` with the stored tree whose root is `older`, if there is one.
    #[must_use]
    pub fn new(tree: Tree, older: Option<ChunkHash>) -> Self {
        let hashes = tree.chunks.iter().map(|c| c.hash).collect();
        let mut diff = Self {
            tree,
            hashes,
            stored: BTreeSet::new(),
            to_read: Vec::new(),
        };
        diff.compare(older);
        diff
    }

    /// Returns the next stored chunk to read; `None` when the comparison is complete.
    #[must_use]
    pub fn next_read(&self) -> Option<ChunkHash> {
        self.to_read.last().copied()
    }

    /// Handles the content of the chunk of [`TreeDiff::next_read`]; `None` if it is not stored.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are neither an inner node nor a leaf.
    pub fn add_stored(&mut self, bytes: Option<Vec<u8>>) -> Result<(), ChunkError> {
        self.to_read.pop();
        if let Some(bytes) = bytes {
            let children = tree::children(&Chunk::new(bytes))?;
            self.compare(children);
        }
        Ok(())
    }

    /// Returns the chunks to write, children before their parents.
    #[must_use]
    pub fn missing_chunks(&self) -> Vec<&Chunk> {
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

    fn compare(&mut self, stored: impl IntoIterator<Item = ChunkHash>) {
        for hash in stored {
            if self.hashes.contains(&hash) {
                self.stored.insert(hash);
            } else {
                self.to_read.push(hash);
            }
        }
    }
}
