//! Consistency of one session: its floor, its token and the age of data that it accepts.

mod floor;
mod token;

pub use floor::Floor;
pub use token::ParseTokenError;
pub use token::SessionToken;
