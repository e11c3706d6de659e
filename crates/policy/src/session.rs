//! Consistency of sessions: floors, tokens, shared position reads and retries.

mod confirmations;
mod floor;
mod retry;
mod token;

pub use confirmations::Confirmations;
pub use confirmations::Round;
pub use confirmations::RoundState;
pub use floor::Floor;
pub use retry::RetryBudget;
pub use retry::Step;
pub use retry::after;
pub use retry::is_repeatable;
pub use retry::patience;
pub use token::ParseTokenError;
pub use token::SessionToken;
