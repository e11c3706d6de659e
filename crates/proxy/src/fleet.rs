//! Members of the fleet and the assignment of groups, accounts and store reads to them.

mod assignment;
mod evacuations;
mod home_regions;
mod member;
mod member_list;
mod ranking;

pub use assignment::Assignment;
pub use evacuations::Cutoff;
pub use evacuations::EvacuationChange;
pub use evacuations::EvacuationState;
pub use evacuations::Evacuations;
pub use home_regions::HomeDomains;
pub use home_regions::HomeRegions;
pub use member::Incarnation;
pub use member::Member;
pub use member_list::LEASE_TERM;
pub use member_list::MemberList;
pub use ranking::Ranking;
pub use ranking::cold_share;
pub use ranking::share;
