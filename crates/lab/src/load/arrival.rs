//! Seeded arrivals of an open-loop load.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::history::Action;

/// Request that is due at a point of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request, unique in the run.
    pub id: u64,
    /// When it is due.
    pub due: Duration,
    /// What it does.
    pub action: Action,
}

/// Draws Poisson arrivals for the length of a run.
///
/// The first arrival gets the number `first`; the same seed gives the same arrivals.
#[must_use]
pub fn schedule(seed: u64, rate: f64, length: Duration, reads: f64, first: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut due = Duration::ZERO;
    let mut id = first;
    if rate <= 0.0 {
        return arrivals;
    }
    loop {
        let chance: f64 = rng.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-chance.ln() / rate);
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
