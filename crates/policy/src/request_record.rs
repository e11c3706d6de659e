//! Idempotency records: a request retried under the same id gets the answer of its first run.

mod decision;
mod digest;
mod key;

pub use decision::Decision;
pub use decision::decide;
pub use decision::may_end_transaction;
pub use digest::Digest;
pub use key::CREATE_TABLE;
pub use key::InvalidId;
pub use key::MAX_ANSWER_BYTES;
pub use key::MAX_ID_CHARS;
pub use key::RecordKey;
