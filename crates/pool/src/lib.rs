//! Connection pool of a vm: holds upstream connections and runs the statements of entries.

mod bundle_index;
mod command_line;
mod drain;
mod entry_link;
mod maintenance;
mod metrics;
mod pool;
mod request;
mod settings;
mod upstream;

pub use command_line::PROGRAM;
pub use command_line::run;
pub use pool::Pool;
pub use settings::Login;
pub use settings::PoolLimits;
pub use settings::PoolSettings;
