//! Steward of one virtual machine: it talks to the platform and to other stewards, and hands the
//! local entry and pool a view of the fleet and tokens of the accounts' rates.

mod board;
mod bundles;
mod command_line;
mod control;
mod description;
mod directory;
mod groups;
mod local;
mod outbox;
mod parts;
mod peers;
mod rate_actor;
mod rates;
mod records;
mod settings;
mod start;
mod stats;

pub use board::Board;
pub use command_line::PROGRAM;
pub use command_line::run;
pub use groups::Alignment;
pub use rates::LinkId;
pub use rates::PlatformCall;
pub use rates::Rates;
pub use rates::RatesOutput;
pub use rates::Reading;
pub use settings::Login;
pub use settings::StewardSettings;
pub use start::Running;
pub use start::StartError;
pub use start::start;
pub use start::start_with;
