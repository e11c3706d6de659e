//! Slopes of control cost: what one more vm, group, account, change or session costs a node.

mod axis;
mod fit;
mod run;
mod sample;

pub use axis::Axis;
pub use fit::slope;
pub use run::SlopesError;
pub use run::command;
pub use run::run;
pub use sample::Usage;
