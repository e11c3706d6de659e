//! Random arrivals of an open-loop load, reproducible from a seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::history::Action;

/// Request that is due at a given time of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Request id, unique in the run.
    pub id: u64,
    /// Time after the start of the run at which it is due.
    pub due: Duration,
    /// Whether it reads or writes.
    pub action: Action,
}

/// Draws Poisson arrivals at `rate` requests per second for the length of a run.
///
/// Ids ascend from `first_id`, and `reads` is the share of reads. The same arguments give the same
/// arrivals; a rate of 0 or less gives none.
#[must_use]
pub fn schedule(seed: u64, rate: f64, length: Duration, reads: f64, first_id: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut due = Duration::ZERO;
    let mut id = first_id;
    if rate <= 0.0 {
        return arrivals;
    }
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / rate);
        if due >= length {
            return arrivals;
        }
        let action = if rng.random_bool(reads) {
            Action::Read
        } else {
            Action::Write
        };
        arrivals.push(Arrival { id, due, action });
        id += 1;
    }
}
