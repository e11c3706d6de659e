//! Sessions: consistency floors and their tokens, shared position reads, and retries.

mod floor;
mod position_rounds;
mod retry;
mod token;

pub use floor::Floor;
pub use position_rounds::PositionRounds;
pub use position_rounds::Round;
pub use position_rounds::RoundState;
pub use retry::RetryBudget;
pub use retry::RetryDecision;
pub use retry::decide_retry;
pub use retry::is_repeatable;
pub use retry::max_wait;
pub use token::ParseTokenError;
pub use token::SessionToken;
