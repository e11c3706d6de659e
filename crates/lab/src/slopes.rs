//! Slopes of resource usage: what one more vm, group, account, change or session costs.

mod axis;
mod fit;
mod run;
mod usage;

pub use axis::Axis;
pub use fit::slope;
pub use run::SlopesError;
pub use run::command;
pub use run::run;
pub use usage::Usage;
