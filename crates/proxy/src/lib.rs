//! Proxy of one vm, independent of the wire protocol and of the platform.
//!
//! Sessions ([`entry`]) admit operations according to the vm's newest view of the fleet
//! ([`latest_view`]) and send them to the pool ([`pool`]) of the vm that is the group's home ([`fleet`]).
//! Types that decide do no I/O; protocol codecs ([`wire`]) and the platform ([`platform`]) are traits.

pub mod bootstrap;
pub mod budget;
pub mod clock;
pub mod configuration;
pub mod entry;
pub mod fleet;
pub mod group;
pub mod latest_view;
pub mod link;
pub mod link_handler;
pub mod platform;
pub mod pool;
mod position_history;
pub mod rates;
pub mod reload;
pub mod runner;
pub mod session;
pub mod settings;
pub mod snapshot;
pub mod socket;
pub mod store_backoff;
mod sync;
pub mod vm;
pub mod vm_lease;
pub mod vm_metrics;
pub mod wire;
pub mod work;
