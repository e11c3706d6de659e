//! Tests of the pool's decisions, run against simulated upstreams in virtual time.

#[path = "pool/distance.rs"]
mod distance;
#[path = "pool/evacuation.rs"]
mod evacuation;
#[path = "pool/even_load.rs"]
mod even_load;
#[path = "pool/fake_upstream.rs"]
mod fake_upstream;
#[path = "pool/faults.rs"]
mod faults;
#[path = "pool/load.rs"]
mod load;
#[path = "pool/partition.rs"]
mod partition;
#[path = "pool/reads.rs"]
mod reads;
#[path = "pool/regions.rs"]
mod regions;
#[path = "pool/sessions.rs"]
mod sessions;
#[path = "pool/simulation.rs"]
mod simulation;
#[path = "pool/transactions.rs"]
mod transactions;
#[path = "pool/units.rs"]
mod units;
#[path = "pool/waiting.rs"]
mod waiting;
#[path = "pool/warmup.rs"]
mod warmup;
