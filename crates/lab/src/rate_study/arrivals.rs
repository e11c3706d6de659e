//! Simulated requests of one account, in order of time.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::scenario::Plan;

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Arrival time.
    pub at: Duration,
    /// Index of the vm that receives the request.
    pub vm: usize,
}

/// Poisson arrivals, spread randomly over the vms by weight.
#[derive(Debug)]
pub struct Arrivals {
    rng: StdRng,
    rate_per_s: f64,
    weights: Vec<f64>,
    at: Duration,
    end: Duration,
}

impl Arrivals {
    /// Creates the arrivals of a plan; the same seed gives the same arrivals.
    #[must_use]
    pub fn new(plan: &Plan, seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            rate_per_s: plan.load_per_s,
            weights: plan.weights.clone(),
            at: Duration::ZERO,
            end: plan.duration,
        }
    }

    /// Draws a vm with a probability proportional to its weight.
    fn pick_vm(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut left = self.rng.random::<f64>() * total;
        for (vm, weight) in self.weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return vm;
            }
        }
        self.weights.len() - 1
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.rng.random();
        let gap = -(1.0 - uniform).ln() / self.rate_per_s;
        self.at += Duration::from_secs_f64(gap);
        let vm = self.pick_vm();
        (self.at < self.end).then_some(Arrival { at: self.at, vm })
    }
}
