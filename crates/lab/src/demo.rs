//! Demonstration of the proxy's guarantees on a small fleet on loopback.

mod error;
mod report;
mod run;
mod serve;

pub use error::DemoError;
pub use report::Report;
pub use report::Step;
pub use report::StepResult;
pub use run::run;
pub use serve::serve;
