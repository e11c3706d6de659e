//! Classes of SQL statements: what a statement may do and where it may run.

mod class;
mod classify;
mod function;

pub use class::Access;
pub use class::SessionCommand;
pub use class::StatementClass;
pub use classify::classify;
pub use classify::request_id;
