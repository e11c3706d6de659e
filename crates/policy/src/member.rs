//! Membership: which vms are live, by gossip and mutual failure detection.
//!
//! Every steward sends heartbeats to a few others. A steward that misses heartbeats spreads a
//! suspicion, which the suspected steward refutes by raising its count; without a refutation it is
//! declared gone. Updates are ordered by incarnation, count and status, so that all stewards
//! converge to the same state whatever the order in which updates arrive.

mod digest;
mod fan_out;
mod member_update;
mod members;
mod membership_timing;

pub use digest::DIGEST_BUCKETS;
pub use digest::Digest;
pub use digest::hash64;
pub use member_update::MemberUpdate;
pub use member_update::Status;
pub use members::Members;
pub use membership_timing::MembershipTiming;
