//! The entry against a fake steward and a fake pool, with a real client.

mod bed;
mod drain;
mod fake_pool;
mod fake_steward;
mod metrics;
mod rates;
mod routing;
mod startup;
mod statements;
mod tls;
mod wire;
