//! Entry of the proxy: client sessions, authentication, admission, routing and session floors.

mod auth;
mod class_cache;
mod client;
mod command_line;
mod context;
mod dump;
mod entry;
mod entry_metrics;
mod gate;
mod listener;
mod observed_groups;
mod pools;
mod position_rounds;
mod rates;
mod readiness;
mod session;
mod sessions;
mod settings;
mod tls;

pub use command_line::PROGRAM;
pub use command_line::run;
pub use entry::Entry;
pub use entry::StartError;
pub use settings::ClientLimits;
pub use settings::EntrySettings;
pub use settings::KeyExchange;
pub use settings::TlsSettings;
pub use tls::TlsError;
