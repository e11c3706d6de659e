//! Remaining tokens of a share that is handed over.

/// Tokens that an authority had left, and promised, when it stopped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Remainder {
    /// Amount not yet granted, in millionths of a token.
    pub amount: u64,
    /// Number of promised tokens that had not accrued.
    pub promised: u32,
}
