//! Prints a loss report as one table for each way to group the losses.

use std::collections::BTreeMap;
use std::fmt;

use crate::losses::cause::LossCause;
use crate::losses::loss_report::Loss;
use crate::losses::loss_report::LossReport;

/// Most rows of a table, largest first; the rest is summed up in one row.
const MAX_ROWS: usize = 12;
/// Most causes that a row names.
const MAX_CAUSES: usize = 3;

/// Losses that share the value by which a table groups.
#[derive(Debug, Default)]
struct Row<'a> {
    count: usize,
    causes: BTreeMap<LossCause, usize>,
    request: &'a str,
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} losses on {} vms; not assigned {}; lines unreadable {}, dropped by vms {}; \
             processes that ended unplanned {}",
            self.losses.len(),
            self.vms,
            self.unassigned(),
            self.unreadable,
            self.dropped,
            self.crashes
        )?;
        write_table(f, "cause", &self.losses, |loss| loss.cause.name())?;
        write_table(f, "class", &self.losses, |loss| &loss.class)?;
        write_table(f, "domain", &self.losses, |loss| &loss.domain)?;
        write_table(f, "account", &self.losses, |loss| &loss.account)?;
        write_table(f, "second", &self.losses, |loss| &loss.second)
    }
}

fn write_table(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    losses: &[Loss],
    value: impl Fn(&Loss) -> &str,
) -> fmt::Result {
    let mut rows: BTreeMap<&str, Row<'_>> = BTreeMap::new();
    for loss in losses {
        let row = rows.entry(value(loss)).or_default();
        row.count += 1;
        *row.causes.entry(loss.cause).or_default() += 1;
        row.request = &loss.request;
    }
    let mut sorted: Vec<(&str, Row<'_>)> = rows.into_iter().collect();
    sorted.sort_by_key(|(_, row)| std::cmp::Reverse(row.count));
    let rest: usize = sorted.iter().skip(MAX_ROWS).map(|(_, row)| row.count).sum();
    writeln!(
        f,
        "\n{title:<20} {:>7}  {:<16}  causes",
        "losses", "request"
    )?;
    for (name, row) in sorted.iter().take(MAX_ROWS) {
        writeln!(
            f,
            "{name:<20} {:>7}  {:<16}  {}",
            row.count,
            row.request,
            row.main_causes()
        )?;
    }
    if rest > 0 {
        writeln!(f, "{:<20} {rest:>7}", "(others)")?;
    }
    Ok(())
}

impl Row<'_> {
    /// Returns the most frequent causes with their counts.
    fn main_causes(&self) -> String {
        let mut causes: Vec<(&LossCause, &usize)> = self.causes.iter().collect();
        causes.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let causes = causes.into_iter().take(MAX_CAUSES);
        let named: Vec<String> = causes
            .map(|(cause, count)| format!("{cause} {count}"))
            .collect();
        named.join(", ")
    }
}
