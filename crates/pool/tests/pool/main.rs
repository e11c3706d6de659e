//! Tests of the pool against a scripted upstream and a fake steward.

mod entry;
mod fake_steward;
mod fake_upstream;
mod fixture;

mod cancellation;
mod durable;
mod operations;
mod overload;
mod reads;
mod recorded;
mod settings;
mod transactions;
