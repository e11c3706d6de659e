//! What is left of an account's part when it is handed over.

/// Tokens that an authority had not granted when it stopped, and those that it owed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Remainder {
    /// Amount that was not granted, in millionths of a token.
    pub amount: u64,
    /// Tokens that were promised and had not accrued.
    pub promised: u32,
}
