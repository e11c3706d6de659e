//! Classification of SQL statements for routing and retries.

mod class;
mod classify;
mod function;

pub use class::Access;
pub use class::SessionCommand;
pub use class::StatementClass;
pub use classify::classify;
pub use classify::request_id;
