//! Demonstration: a small fleet on loopback and a session that shows what it promises.

mod error;
mod report;
mod stay;
mod story;

pub use error::DemoError;
pub use report::Report;
pub use report::Row;
pub use report::Verdict;
pub use stay::stay;
pub use story::tell;
