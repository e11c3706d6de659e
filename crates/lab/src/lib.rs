//! Test bed of the proxy: stand-ins for its surroundings, load generators and measurements.

pub mod arguments;
pub mod check;
pub mod compare;
pub mod demo;
pub mod error;
pub mod fleet;
pub mod gate;
pub mod group;
pub mod history;
pub mod hop;
pub mod http;
pub mod load;
pub mod measure;
pub mod platform;
pub mod rate_study;
pub mod relay;
pub mod run;
pub mod slopes;
pub mod upstream;
