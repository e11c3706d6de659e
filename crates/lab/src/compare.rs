//! Command that prints two results of `measure` side by side.

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use mustardbay_process::arguments::one;

use crate::measure::MeasureError;
use crate::measure::Measurement;
use crate::measure::Outcome;

/// Returns the command line of `mustardbay-lab compare`.
#[must_use]
pub fn command() -> Command {
    Command::new("compare")
        .about("Prints two results of `measure` side by side")
        .arg(result("old", "File of the earlier result as JSON"))
        .arg(result("new", "File of the later result as JSON"))
}

/// Returns the argument for the file of a result.
fn result(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Reads two results and prints them side by side.
///
/// # Errors
///
/// Fails if a file cannot be read or does not contain a result.
pub fn run(args: &ArgMatches) -> Result<(), MeasureError> {
    let old = Measurement::load(&one::<PathBuf>(args, "old"))?;
    let new = Measurement::load(&one::<PathBuf>(args, "new"))?;
    print!("{}", table(&old, &new));
    Ok(())
}

/// Renders the table of both results, one block for each deployment of the new one.
///
/// A value that the old result lacks is shown as a dash.
#[must_use]
pub fn table(old: &Measurement, new: &Measurement) -> String {
    let mut lines = vec![
        format!("old: seed {}, {}", old.seed, old.settings.join("; ")),
        format!("new: seed {}, {}", new.seed, new.settings.join("; ")),
    ];
    for outcome in &new.outcomes {
        lines.push(outcome.deployment.clone());
        let old_outcomes = old.outcomes.iter();
        let mut old_outcomes = old_outcomes.filter(|other| other.deployment == outcome.deployment);
        let rows = old_outcomes.next().map(Outcome::rows);
        let old_rows: BTreeMap<String, String> = rows.unwrap_or_default().into_iter().collect();
        for (name, value) in outcome.rows() {
            let old_value = old_rows.get(&name).map_or("-", String::as_str);
            lines.push(format!("  {name:28} {old_value:>24} {value:>24}"));
        }
    }
    lines.push(String::new());
    lines.join("\n")
}
