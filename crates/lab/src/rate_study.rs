//! Simulation that compares strategies to enforce an account's rate limit across the fleet.
//!
//! The simulation runs in virtual time, and every strategy gets the same arrivals. Two token
//! buckets with the whole rate and burst of the account evaluate each strategy:
//!
//! - The first admits from all arrivals and so counts the requests that the account is entitled
//!   to. The requests by which a strategy falls short of them are wrongful refusals.
//! - The second is debited with the requests that the strategy serves. Requests for which it has
//!   no token are overshoot.

mod arrivals;
mod central_bucket;
mod escrow;
mod scenario;
mod static_split;
mod strategy;
mod table;
mod tally;

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::one;

use self::arrivals::Arrivals;
use self::scenario::Scenario;
use self::strategy::Strategy;
use self::table::Row;
use self::tally::Tally;
use crate::arguments;

/// Returns the description of `mustardbay-lab rates`.
#[must_use]
pub fn command() -> Command {
    Command::new("rates")
        .about("Simulates and compares strategies to enforce rate limits across the fleet")
        .arg(arguments::seed(
            "Seed of the simulated arrivals and of the vms' incarnations",
        ))
}

/// Simulates every strategy in every scenario and prints a table of the results.
pub fn run(args: &ArgMatches) {
    let seed: u64 = one(args, "seed");
    println!("seed {seed}");
    println!("{}", table::header());
    for scenario in Scenario::ALL {
        for strategy in Strategy::ALL {
            let tally = simulate(strategy, scenario, seed);
            let row = Row {
                scenario,
                strategy,
                tally,
            };
            println!("{row}");
        }
    }
}

/// Simulates one strategy in one scenario.
#[must_use]
pub fn simulate(strategy: Strategy, scenario: Scenario, seed: u64) -> Tally {
    let plan = scenario.plan();
    let mut tally = Tally::new(&plan);
    let mut state = strategy.start(&plan, seed);
    let mut events = plan.events.iter().peekable();
    for arrival in Arrivals::new(&plan, seed) {
        while let Some(event) = events.next_if(|event| event.at <= arrival.at) {
            state.on_event(event);
        }
        let outcome = state.serve(&arrival);
        tally.record(arrival.at, outcome);
    }
    tally
}

pub use self::scenario::Scenario as RateScenario;
pub use self::strategy::Strategy as RateStrategy;
