//! Requests of one account, in order of time.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::scenario::Plan;

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When it comes.
    pub at: Duration,
    /// Virtual machine that it comes to.
    pub vm: usize,
}

/// Requests whose gaps are exponential, spread over the virtual machines by weight.
#[derive(Debug)]
pub struct Arrivals {
    rng: StdRng,
    load: f64,
    weights: Vec<f64>,
    at: Duration,
    end: Duration,
}

impl Arrivals {
    /// Creates the requests of a plan.
    #[must_use]
    pub fn new(plan: &Plan, seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            load: plan.load,
            weights: plan.weights.clone(),
            at: Duration::ZERO,
            end: plan.time,
        }
    }

    fn choose(&mut self) -> usize {
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
        let gap = -(1.0 - uniform).ln() / self.load;
        self.at += Duration::from_secs_f64(gap);
        let vm = self.choose();
        (self.at < self.end).then_some(Arrival { at: self.at, vm })
    }
}
