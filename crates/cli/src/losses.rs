//! Report of losses, from the logs of vms.
//!
//! A loss is an attempt of a statement that failed or took longer than its latency objective; each
//! is assigned to one cause.

mod attempt;
mod cause;
mod loss_report;
mod table;
mod timeline;

pub use self::cause::LossCause;
pub use self::loss_report::Loss;
pub use self::loss_report::LossReport;
