//! Membership: which virtual machines are live, as told by themselves and by their observers.
//!
//! Every steward sends heartbeats to a few others. One that misses them spreads a suspicion, which
//! its subject refutes by raising its count; without a refutation the subject is gone. News is
//! ordered by incarnation, count and status, so that every steward ends with the same.

mod digest;
mod fan_out;
mod members;
mod news;
mod pace;

pub use digest::DIGEST_BUCKETS;
pub use digest::Digest;
pub use digest::hash64;
pub use members::Members;
pub use news::News;
pub use news::Status;
pub use pace::Pace;
