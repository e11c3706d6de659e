//! Code that all programs share: command line, settings, logs, metrics, timers, admin endpoint.

pub mod admin;
pub mod arguments;
pub mod byte_budget;
pub mod dialer;
pub mod exit;
pub mod incarnation;
pub mod lifecycle;
pub mod logs;
pub mod machine;
pub mod metrics;
pub mod settings;
pub mod timer;
