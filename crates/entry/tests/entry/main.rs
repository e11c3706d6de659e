//! Tests of the entry with a real client, a fake steward and a fake pool.

mod drain;
mod fake_pool;
mod fake_steward;
mod metrics;
mod rates;
mod routing;
mod settings;
mod startup;
mod statements;
mod test_bed;
mod tls;
mod wire;
