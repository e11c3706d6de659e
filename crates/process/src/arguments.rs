//! Command line that the programs share: settings file, check, log filter, version.

use std::any::Any;
use std::ffi::OsString;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;

use crate::exit::Exit;
use crate::logs;
use crate::logs::Logs;
use crate::settings;
use crate::settings::Settings;

/// Variable that filters the logs, in place of `--log`.
const LOG_VARIABLE: &str = "MUSTARDBAY_LOG";
/// Filter of the logs, if none is given.
const DEFAULT_LOG: &str = "info";

/// Program that runs until it is stopped, as its command line describes it.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name in logs.
    pub name: &'static str,
    /// Name of the binary.
    pub binary: &'static str,
    /// Version of the binary.
    pub version: &'static str,
    /// What it does, in one line.
    pub about: &'static str,
    /// Variable that names the settings file, in place of `--settings`.
    pub variable: &'static str,
    /// Settings file, if none is named.
    pub file: &'static str,
}

/// What the arguments of a program ask for.
#[derive(Debug)]
pub enum Start<S> {
    /// To run with these settings.
    Run(Running<S>),
    /// To end: help was printed, the settings were checked, or something is wrong.
    End(Exit),
}

/// What a program runs with.
#[derive(Debug)]
pub struct Running<S> {
    /// Checked settings.
    pub settings: S,
    /// File that they come from.
    pub file: PathBuf,
    /// Logs, written until this is dropped.
    pub logs: Logs,
}

impl Program {
    /// Returns the description of the command line.
    #[must_use]
    pub fn command(&self) -> Command {
        Command::new(self.binary)
            .about(self.about)
            .version(self.version)
            .arg(
                Arg::new("settings")
                    .long("settings")
                    .value_name("FILE")
                    .env(self.variable)
                    .default_value(self.file)
                    .value_parser(value_parser!(PathBuf))
                    .help("Settings file in YAML"),
            )
            .arg(log())
            .arg(flag("check", "Checks the settings and exits"))
    }

    /// Reads arguments and settings, and starts the logs.
    pub fn start<S: Settings>(
        &self,
        args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    ) -> Start<S> {
        let matches = match self.command().try_get_matches_from(args) {
            Ok(matches) => matches,
            Err(e) => return Start::End(explain(&e)),
        };
        let logs = logs::init(self.name, log_filter(&matches));
        let file: PathBuf = one(&matches, "settings");
        let settings = match settings::load::<S>(&file) {
            Ok(settings) => settings,
            Err(e) => {
                tracing::error!(event = "settings_refused", error = %e);
                return Start::End(Exit::Usage);
            }
        };
        if matches.get_flag("check") {
            return Start::End(Exit::Done);
        }
        Start::Run(Running {
            settings,
            file,
            logs,
        })
    }
}

/// Prints why the arguments were not taken, or the help that was asked for.
#[must_use]
pub fn explain(error: &clap::Error) -> Exit {
    let printed = error.print();
    if error.use_stderr() || printed.is_err() {
        Exit::Usage
    } else {
        Exit::Done
    }
}

/// Returns the argument that filters the logs.
#[must_use]
pub fn log() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("FILTER")
        .env(LOG_VARIABLE)
        .default_value(DEFAULT_LOG)
        .value_parser(logs::check_filter)
        .help("Level of the logs, also by module: info,mustardbay_proxy=debug")
}

/// Returns the filter that [`log`] was given.
#[must_use]
pub fn log_filter(matches: &ArgMatches) -> &str {
    matches
        .get_one::<String>("log")
        .map_or(DEFAULT_LOG, String::as_str)
}

/// Returns an argument that is either there or not.
#[must_use]
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// Returns an argument with a value, `shown` in the help.
#[must_use]
pub fn option(name: &'static str, shown: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(shown).help(help)
}

/// Returns an argument that names a file.
#[must_use]
pub fn file(name: &'static str, help: &'static str) -> Arg {
    option(name, "FILE", help).value_parser(value_parser!(PathBuf))
}

/// Returns an argument that takes one of a closed set of words.
#[must_use]
pub fn choice(name: &'static str, words: &[&'static str], help: &'static str) -> Arg {
    option(name, "WORD", help).value_parser(PossibleValuesParser::new(words.iter().copied()))
}

/// Returns the value of an argument that is required or has a default.
///
/// # Panics
///
/// Panics if the argument is neither, or its values are of another type.
#[must_use]
pub fn one<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    maybe(matches, name).expect("the argument is required or has a default")
}

/// Returns the value of an argument, if it is there.
#[must_use]
pub fn maybe<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

/// Returns every value of an argument that may be repeated.
#[must_use]
pub fn all<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> Vec<T> {
    let values = matches.get_many::<T>(name);
    values.into_iter().flatten().cloned().collect()
}
