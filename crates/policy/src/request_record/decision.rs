//! What a repeated request gets.

use super::digest::Digest;

/// What a request gets whose id is recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The answer of the request that ran.
    Replay(Vec<u8>),
    /// A refusal: the id belongs to a request with another text.
    Mismatch,
    /// An unknown outcome: the record holds no whole answer.
    Incomplete,
}

/// Decides by the recorded digest and answer, the answer in hexadecimal.
#[must_use]
pub fn decide(digest: &Digest, recorded: &str, answer: &str) -> Decision {
    if recorded != digest.to_string() {
        return Decision::Mismatch;
    }
    match hex::decode(answer) {
        Ok(answer) if !answer.is_empty() => Decision::Replay(answer),
        _ => Decision::Incomplete,
    }
}

/// Tells whether statement text might end the transaction that surrounds it.
///
/// Errs on the side of `true`, since a comment or a literal may hold the words as well.
#[must_use]
pub fn may_end_transaction(text: &[u8]) -> bool {
    let words: [&[u8]; 5] = [b"commit", b"end", b"rollback", b"abort", b"prepare"];
    let is_part = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
    text.split(|b| !is_part(*b))
        .any(|word| words.iter().any(|w| word.eq_ignore_ascii_case(w)))
}
