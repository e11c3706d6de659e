//! Entry of the proxy: callers' sessions, key check, admission, routing and session floors.

mod auth;
mod caller;
mod cli;
mod confirm;
mod context;
mod dump;
mod entry;
mod groups;
mod listener;
mod pools;
mod session;
mod settings;

pub use cli::run;
pub use entry::Entry;
pub use entry::StartError;
pub use settings::EntrySettings;
