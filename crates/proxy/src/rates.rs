//! Rates of accounts over the whole fleet.
//!
//! Half of an account's rate and burst is its vms' own, in equal parts. The other half is granted by
//! one vm, the account's authority, which counts a token as spent when it grants it. Grants lapse
//! after [`GRANT_TERM`], and the authority's burst is smaller by what may accrue in that time, so that
//! no window holds more than the burst and the rate.

mod authority;
mod purse;
mod split;

pub use authority::Authority;
pub use authority::Grant;
pub use purse::Purse;
pub use purse::Take;
pub use split::GRANT_TERM;
pub use split::Split;
