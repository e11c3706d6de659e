//! Answer to a request whose id is already recorded.

use super::digest::Digest;

/// How a request whose id is already recorded is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// With the recorded answer.
    Replay(Vec<u8>),
    /// With a refusal, since the id belongs to a request with another text or parameters.
    Mismatch,
    /// With an unknown outcome, since the record holds no complete answer.
    Incomplete,
}

/// Compares a request's digest with the recorded one; `answer` is the recorded answer in hex.
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

/// Tells whether statement text might end the transaction in which it runs.
///
/// Returns `true` too often: the keywords also count inside comments, literals and `CASE ... END`.
#[must_use]
pub fn may_end_transaction(text: &[u8]) -> bool {
    let words: [&[u8]; 5] = [b"commit", b"end", b"rollback", b"abort", b"prepare"];
    let is_word_byte = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
    text.split(|b| !is_word_byte(*b))
        .any(|word| words.iter().any(|w| word.eq_ignore_ascii_case(w)))
}
