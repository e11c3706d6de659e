//! Sets two results side by side.

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

/// Returns the description of `mustardbay-lab compare`.
#[must_use]
pub fn command() -> Command {
    Command::new("compare")
        .about("Sets two results of `measure` side by side")
        .arg(result("old", "Result as JSON"))
        .arg(result("new", "Result to compare it with"))
}

fn result(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Prints both results.
///
/// # Errors
///
/// Fails if a file cannot be read or holds no result.
pub fn run(args: &ArgMatches) -> Result<(), MeasureError> {
    let old = Measurement::load(&one::<PathBuf>(args, "old"))?;
    let new = Measurement::load(&one::<PathBuf>(args, "new"))?;
    print!("{}", table(&old, &new));
    Ok(())
}

/// Renders both results, deployment by deployment; a value that one lacks is a dash.
#[must_use]
pub fn table(old: &Measurement, new: &Measurement) -> String {
    let mut lines = vec![
        format!("old: seed {}, {}", old.seed, old.settings.join("; ")),
        format!("new: seed {}, {}", new.seed, new.settings.join("; ")),
    ];
    for outcome in &new.outcomes {
        lines.push(outcome.deployment.clone());
        let before = old.outcomes.iter();
        let mut before = before.filter(|other| other.deployment == outcome.deployment);
        let rows = before.next().map(Outcome::rows);
        let before: BTreeMap<String, String> = rows.unwrap_or_default().into_iter().collect();
        for (name, value) in outcome.rows() {
            let earlier = before.get(&name).map_or("-", String::as_str);
            lines.push(format!("  {name:28} {earlier:>24} {value:>24}"));
        }
    }
    lines.push(String::new());
    lines.join("\n")
}
