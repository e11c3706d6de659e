//! Table of the simulation's results.

use std::fmt;

use super::scenario::Scenario;
use super::strategy::Strategy;
use super::tally::Tally;

/// Returns the header line of the table.
pub(super) fn header() -> String {
    format!(
        "{:<20} {:<22} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "scenario", "way", "requests", "served", "wrongful", "percent", "overshoot"
    )
}

/// Result of one strategy in one scenario.
#[derive(Debug)]
pub(super) struct Row {
    pub(super) scenario: Scenario,
    pub(super) strategy: Strategy,
    pub(super) tally: Tally,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tally = &self.tally;
        write!(
            f,
            "{:<20} {:<22} {:>9} {:>9} {:>9} {:>9.3} {:>9}",
            self.scenario,
            self.strategy,
            tally.requests,
            tally.served,
            tally.wrongful(),
            tally.wrongful_percent(),
            tally.overshoot,
        )
    }
}
