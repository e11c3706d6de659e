//! Stewards in one process against stand-ins of the platform and of upstreams.

mod admin;
mod bundles;
mod groups;
mod local;
mod members;
mod partition;
mod site;
