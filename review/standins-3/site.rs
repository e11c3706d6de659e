//! A small deployment on loopback: store, services, machines and the record.

#[path = "client.rs"]
pub mod client;
#[path = "group.rs"]
pub mod group;
#[path = "json.rs"]
pub mod json;
#[path = "record.rs"]
pub mod record;
#[path = "store.rs"]
pub mod store;
#[path = "template.rs"]
pub mod template;
#[path = "vm.rs"]
pub mod vm;

/// Bounds of the small sites, in the words of the settings' template.
pub const BOUNDS: &str = "  withdrawal_ms: 5000\n  grace_ms: 6000\n  rate_window_ms: 5000\n";
