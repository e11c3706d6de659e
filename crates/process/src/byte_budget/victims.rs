//! Decision: which clients are closed when the budget is spent.

/// What the decision knows of one client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Number of the client.
    pub id: u64,
    /// Bytes that the process keeps for it.
    pub bytes: usize,
    /// Time from which it has made no progress; `u64::MAX` if it is not waited for.
    pub stalled_since: u64,
}

impl Candidate {
    /// Returns the size to the nearest power of two, so that similar sizes are ordered by time.
    fn size_class(&self) -> u32 {
        self.bytes.checked_ilog2().unwrap_or(0)
    }
}

/// Returns the clients to close: the largest, and of similar size the slowest, up to `excess` bytes.
#[must_use]
pub fn victims(mut candidates: Vec<Candidate>, excess: usize) -> Vec<u64> {
    candidates.sort_by_key(|c| (u32::MAX - c.size_class(), c.stalled_since, c.id));
    let mut freed = 0;
    let mut chosen = Vec::new();
    for candidate in candidates {
        if freed >= excess {
            break;
        }
        freed += candidate.bytes;
        chosen.push(candidate.id);
    }
    chosen
}
