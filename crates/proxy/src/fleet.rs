//! The vms of the fleet and what each of them is responsible for.

mod member;
mod ranking;

pub use member::Incarnation;
pub use member::Member;
pub use ranking::authorities;
pub use ranking::group_ranking;
pub use ranking::readers;
pub use ranking::share;
