//! The entry against a fake steward and a fake pool, with a real client.

mod bed;
mod fake_pool;
mod fake_steward;
mod routing;
mod startup;
mod statements;
