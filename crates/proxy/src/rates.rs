//! Rate limits of accounts over the whole fleet.
//!
//! An account's rate and burst are granted by a few vms in different failure domains, its
//! authorities, in equal shares. An authority counts a token as spent when it grants it. Tokens
//! granted in advance expire after [`GRANT_TTL`]; until then they reduce the authority's burst, so
//! that no window exceeds rate and burst. Operators count rate and burst in each window anew, so
//! capacity of a window beyond the token bucket is added back slowly, up to half of the burst.
//!
//! An authority goes on granting for [`GRANT_GRACE`] past its lease while the store does not
//! answer. A successor starts after that, or once the former authority has certainly stopped. A
//! former authority that can be reached hands over its remaining tokens, so that an account loses
//! nothing when vms join or leave.

mod authority;
mod authority_share;
mod exhausted_authorities;
mod expiring_amounts;
mod far_request;
mod granted_accounts;
mod local_tokens;
mod remainder;
mod split;

pub use authority::Authority;
pub use authority::Grant;
pub use authority::TokenRequest;
pub use exhausted_authorities::ExhaustedAuthorities;
pub use far_request::far_max_wait;
pub use granted_accounts::GRANT_GRACE;
pub use granted_accounts::GrantedAccount;
pub use granted_accounts::GrantedAccounts;
pub use local_tokens::LocalTokens;
pub use local_tokens::Take;
pub use remainder::Remainder;
pub use split::GRANT_TTL;
pub use split::Split;
