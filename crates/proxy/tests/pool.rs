//! Tests of the pool's decisions, by replay against upstreams in virtual time.

#[path = "pool/bed.rs"]
mod bed;
#[path = "pool/cut.rs"]
mod cut;
#[path = "pool/faults.rs"]
mod faults;
#[path = "pool/load.rs"]
mod load;
#[path = "pool/reads.rs"]
mod reads;
#[path = "pool/sessions.rs"]
mod sessions;
