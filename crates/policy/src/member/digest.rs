//! Digests with which two stewards find entries in which their states differ.

use sha2::Digest as _;
use sha2::Sha256;

/// Number of buckets of a digest.
pub const DIGEST_BUCKETS: usize = 64;

/// Digest of a set of entries in buckets by key, independent of their order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    buckets: Vec<u64>,
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            buckets: vec![0; DIGEST_BUCKETS],
        }
    }
}

impl Digest {
    /// Adds an entry, or removes it if it was added before.
    pub fn toggle(&mut self, key: &str, entry: u64) {
        self.buckets[Self::bucket(key)] ^= entry;
    }

    /// Returns the bucket of a key.
    #[must_use]
    pub fn bucket(key: &str) -> usize {
        let hash = hash64(&[key.as_bytes()]);
        usize::try_from(hash % DIGEST_BUCKETS as u64).unwrap_or_default()
    }

    /// Returns a single digest over all buckets.
    #[must_use]
    pub fn total(&self) -> u64 {
        let numbers = self.buckets.iter().zip(1_u64..);
        numbers.fold(0, |sum, (bucket, n)| sum ^ bucket.wrapping_mul(2 * n + 1))
    }

    /// Returns the digest of every bucket.
    #[must_use]
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Returns whether the bucket of `key` differs from the one in `theirs`.
    #[must_use]
    pub fn differs(&self, key: &str, theirs: &[u64]) -> bool {
        let bucket = Self::bucket(key);
        theirs.get(bucket) != self.buckets.get(bucket)
    }
}

/// Returns the first 64 bits of the SHA-256 over the parts, each followed by its length.
#[must_use]
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update(part);
        hash.update((part.len() as u64).to_be_bytes());
    }
    let bytes: [u8; 32] = hash.finalize().into();
    let (first, _) = bytes.split_at(8);
    first
        .iter()
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}
