//! Hash tree over the entries of a bundle.
//!
//! Entries are keyed by the hash of their kind and name. Up to [`MAX_LEAF_ENTRIES`] entries form a
//! leaf; more are split among the sixteen children of an inner node by the next hexadecimal digit
//! of their key. The tree depends only on the entries, not on their order, so equal bundles have
//! equal roots. A changed entry changes one leaf and the inner nodes above it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Account;
use super::Bundle;
use super::Chunk;
use super::ChunkError;
use super::ChunkHash;
use super::Group;
use super::Limits;
use super::Route;

/// Most entries in a leaf.
const MAX_LEAF_ENTRIES: usize = 4;
/// Children of an inner node.
const FANOUT: usize = 16;
/// Length of a child's hash in an inner node; all bytes are zero for an empty child.
const HASH_BYTES: usize = 32;
/// First byte of an encoded inner node.
const INNER_TAG: u8 = b'I';
/// First byte of an encoded leaf.
const LEAF_TAG: u8 = b'L';

/// Smallest part of a bundle that the tree stores.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Entry {
    Account(Account),
    Route(Route),
    Group(Group),
    Limits(Limits),
}

impl Entry {
    fn key(&self) -> ChunkHash {
        let (kind, name) = match self {
            Self::Account(a) => ("account", a.name.as_str()),
            Self::Route(r) => ("route", r.name.as_str()),
            Self::Group(g) => ("group", g.name.as_str()),
            Self::Limits(_) => ("limits", ""),
        };
        ChunkHash::of(format!("{kind}/{name}").as_bytes())
    }
}

/// Hash tree of one bundle.
#[derive(Debug, Clone)]
pub struct Tree {
    /// Hash of the root chunk.
    pub root: ChunkHash,
    /// All chunks, children before their parents.
    pub chunks: Vec<Chunk>,
}

impl Tree {
    /// Builds the hash tree of a bundle; it does not include the version.
    ///
    /// # Panics
    ///
    /// Panics if a rate or burst is not finite, which [`Bundle::check`] rules out.
    #[must_use]
    pub fn build(bundle: &Bundle) -> Self {
        let entries = entries(bundle);
        let mut chunks = Vec::new();
        let root = build_node(&entries.iter().collect::<Vec<_>>(), 0, &mut chunks);
        Self { root, chunks }
    }

    /// Returns the total size, in bytes, of the chunks that are not in `older`.
    #[must_use]
    pub fn bytes_not_in(&self, older: &Self) -> usize {
        let known: BTreeSet<_> = older.chunks.iter().map(|c| c.hash).collect();
        let new = self.chunks.iter().filter(|c| !known.contains(&c.hash));
        new.map(|c| c.bytes.len()).sum()
    }
}

fn entries(bundle: &Bundle) -> BTreeMap<ChunkHash, Entry> {
    let accounts = bundle.accounts.iter().cloned().map(Entry::Account);
    let routes = bundle.routes.iter().cloned().map(Entry::Route);
    let groups = bundle.groups.iter().cloned().map(Entry::Group);
    let limits = std::iter::once(Entry::Limits(bundle.limits.clone()));
    let all = accounts.chain(routes).chain(groups).chain(limits);
    all.map(|e| (e.key(), e)).collect()
}

fn build_node(
    entries: &[(&ChunkHash, &Entry)],
    depth: usize,
    chunks: &mut Vec<Chunk>,
) -> ChunkHash {
    let chunk = if entries.len() <= MAX_LEAF_ENTRIES {
        leaf(entries)
    } else {
        inner(entries, depth, chunks)
    };
    let hash = chunk.hash;
    chunks.push(chunk);
    hash
}

fn leaf(entries: &[(&ChunkHash, &Entry)]) -> Chunk {
    let list: Vec<&Entry> = entries.iter().map(|(_, entry)| *entry).collect();
    let json = serde_json::to_vec(&list).expect("entries of a checked bundle are valid JSON");
    let mut bytes = vec![LEAF_TAG];
    bytes.extend(json);
    Chunk::new(bytes)
}

fn inner(entries: &[(&ChunkHash, &Entry)], depth: usize, chunks: &mut Vec<Chunk>) -> Chunk {
    let mut bytes = vec![INNER_TAG];
    for digit in 0..FANOUT {
        let matching: Vec<_> = entries
            .iter()
            .copied()
            .filter(|(key, _)| digit_at(key, depth) == digit)
            .collect();
        if matching.is_empty() {
            bytes.extend([0; HASH_BYTES]);
        } else {
            bytes.extend(build_node(&matching, depth + 1, chunks).as_bytes());
        }
    }
    Chunk::new(bytes)
}

fn digit_at(key: &ChunkHash, depth: usize) -> usize {
    let byte = key.as_bytes()[depth / 2];
    let digit = if depth.is_multiple_of(2) {
        byte >> 4
    } else {
        byte & 15
    };
    digit.into()
}

/// Returns the hashes of an inner node's children; a leaf has none.
pub(super) fn children(chunk: &Chunk) -> Result<Vec<ChunkHash>, ChunkError> {
    match chunk.bytes.split_first() {
        Some((&LEAF_TAG, _)) => Ok(Vec::new()),
        Some((&INNER_TAG, hashes)) if hashes.len() == FANOUT * HASH_BYTES => {
            let (all, _) = hashes.as_chunks::<HASH_BYTES>();
            let present = all.iter().filter(|h| **h != [0; HASH_BYTES]);
            Ok(present.map(|h| ChunkHash::from_bytes(*h)).collect())
        }
        _ => Err(content_error(chunk, &"neither an inner node nor a leaf")),
    }
}

/// Adds the entries of a leaf to a bundle; does nothing for an inner node.
pub(super) fn read_leaf(chunk: &Chunk, bundle: &mut Bundle) -> Result<(), ChunkError> {
    let Some((&LEAF_TAG, json)) = chunk.bytes.split_first() else {
        return Ok(());
    };
    let entries: Vec<Entry> = match serde_json::from_slice(json) {
        Ok(entries) => entries,
        Err(e) => return Err(content_error(chunk, &e)),
    };
    for entry in entries {
        match entry {
            Entry::Account(account) => bundle.accounts.push(account),
            Entry::Route(route) => bundle.routes.push(route),
            Entry::Group(group) => bundle.groups.push(group),
            Entry::Limits(limits) => bundle.limits = limits,
        }
    }
    Ok(())
}

/// Sorts accounts, routes and groups by name.
pub(super) fn sort(bundle: &mut Bundle) {
    bundle.accounts.sort_by(|a, b| a.name.cmp(&b.name));
    bundle.routes.sort_by(|a, b| a.name.cmp(&b.name));
    bundle.groups.sort_by(|a, b| a.name.cmp(&b.name));
}

fn content_error(chunk: &Chunk, cause: &impl ToString) -> ChunkError {
    ChunkError::Content {
        hash: chunk.hash,
        cause: cause.to_string(),
    }
}
