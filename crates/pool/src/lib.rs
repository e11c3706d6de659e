//! Home of a few upstreams: holds their connections and runs the statements that entries send.

mod catalog;
mod command_line;
mod drain;
mod entry_link;
mod metrics;
mod request;
mod server;
mod settings;
mod upkeep;
mod upstream;

pub use command_line::PROGRAM;
pub use command_line::run;
pub use server::Pool;
pub use settings::Login;
pub use settings::PoolSettings;
