//! Comparison of ways to hold rates across the fleet, under virtual time.
//!
//! Every way gets the same arrivals. One bucket of the whole rate and burst, fed with the same
//! arrivals, tells how many the account is entitled to; what a way serves less is refused wrongly. A
//! second one is debited with what the way serves; what it cannot cover is overshoot.

mod arrivals;
mod escrow;
mod home;
mod scenario;
mod static_split;
mod table;
mod tally;
mod way;

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::one;

use self::arrivals::Arrivals;
use self::scenario::Scenario;
use self::table::Row;
use self::tally::Tally;
use self::way::Way;
use crate::arguments;

/// Returns the description of `mustardbay-lab rates`.
#[must_use]
pub fn command() -> Command {
    Command::new("rates")
        .about("Compares ways to hold rates across the fleet, under virtual time")
        .arg(arguments::seed(
            "Seed of the arrivals and of the messages' delays",
        ))
}

/// Runs every way through every scenario and prints a table.
pub fn run(args: &ArgMatches) {
    let seed: u64 = one(args, "seed");
    println!("seed {seed}");
    println!("{}", table::header());
    for scenario in Scenario::ALL {
        for way in Way::ALL {
            let tally = simulate(way, scenario, seed);
            let row = Row {
                scenario,
                way,
                tally,
            };
            println!("{row}");
        }
    }
}

/// Runs one way through one scenario.
#[must_use]
pub fn simulate(way: Way, scenario: Scenario, seed: u64) -> Tally {
    let plan = scenario.plan();
    let mut tally = Tally::new(&plan);
    let mut shares = way.start(&plan, seed);
    let mut faults = plan.faults.iter().peekable();
    for arrival in Arrivals::new(&plan, seed) {
        while let Some(fault) = faults.next_if(|f| f.at <= arrival.at) {
            shares.on_fault(fault);
        }
        let served = shares.serve(&arrival);
        tally.count(arrival.at, served);
    }
    tally
}

pub use self::scenario::Scenario as RateScenario;
pub use self::way::Way as RateWay;
