//! Steward of one vm: publishes a view of the fleet and grants rate tokens.
//!
//! It reads the platform's store and exchanges messages with the stewards of other vms. The entry
//! and the pool of the same vm get the view and the tokens from it.

mod actors;
mod bundles;
mod command_line;
mod control;
mod description;
mod directory;
mod groups;
mod local_endpoint;
mod outbox;
mod peers;
mod rate_actor;
mod rates;
mod records;
mod settings;
mod start;
mod stats;
mod view_publisher;

pub use command_line::PROGRAM;
pub use command_line::run;
pub use groups::AppliedView;
pub use rates::LedgerSnapshot;
pub use rates::LinkId;
pub use rates::PlatformCall;
pub use rates::Rates;
pub use rates::RatesOutput;
pub use settings::Login;
pub use settings::StewardSettings;
pub use start::Running;
pub use start::StartError;
pub use start::start;
pub use start::start_with;
pub use view_publisher::ViewPublisher;
