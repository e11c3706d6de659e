//! Table of results.

use std::fmt;

use super::scenario::Scenario;
use super::tally::Tally;
use super::way::Way;

/// Returns the first line of the table.
pub(super) fn header() -> String {
    format!(
        "{:<20} {:<22} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "scenario", "way", "requests", "served", "wrongful", "percent", "overshoot"
    )
}

/// Result of one way in one scenario.
#[derive(Debug)]
pub(super) struct Row {
    pub(super) scenario: Scenario,
    pub(super) way: Way,
    pub(super) tally: Tally,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tally = &self.tally;
        write!(
            f,
            "{:<20} {:<22} {:>9} {:>9} {:>9} {:>9.3} {:>9}",
            self.scenario,
            self.way,
            tally.requests,
            tally.served,
            tally.wrongful(),
            tally.wrongful_percent(),
            tally.overshoot,
        )
    }
}
