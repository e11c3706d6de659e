//! Entry of the proxy: callers' sessions, key check, admission, routing and session floors.

mod auth;
mod caller;
mod classes;
mod command_line;
mod confirm;
mod context;
mod dump;
mod entry;
mod groups;
mod listener;
mod meters;
mod pools;
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
pub use settings::CallerLimits;
pub use settings::EntrySettings;
pub use settings::KeyExchange;
pub use settings::TlsSettings;
pub use tls::TlsError;
