//! Command-line arguments that the programs share: settings file, check, log filter, version.

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

/// Environment variable that sets the log filter if `--log` is absent.
const LOG_VARIABLE: &str = "MUSTARDBAY_LOG";
/// Log filter if neither `--log` nor the variable is given.
const DEFAULT_LOG_FILTER: &str = "info";

/// Description of a long-running program for its command line and logs.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Value of the field `program` in the logs.
    pub name: &'static str,
    /// Name of the executable.
    pub binary: &'static str,
    /// Version that `--version` prints.
    pub version: &'static str,
    /// One-line description for the help.
    pub about: &'static str,
    /// Environment variable that names the settings file if `--settings` is absent.
    pub settings_variable: &'static str,
    /// Settings file if neither `--settings` nor the variable is given.
    pub default_file: &'static str,
}

/// Result of reading a program's arguments.
#[derive(Debug)]
pub enum Start<S> {
    /// The program should run with these settings.
    Run(Running<S>),
    /// The program should exit: it printed help, checked the settings, or met an error.
    End(Exit),
}

/// Settings and logs of a program that is about to run.
#[derive(Debug)]
pub struct Running<S> {
    /// Settings that passed [`Settings::check`].
    pub settings: S,
    /// File that the settings were read from.
    pub file: PathBuf,
    /// Handle of the logs; logging stops when it is dropped.
    pub logs: Logs,
}

impl Program {
    /// Returns the command-line parser.
    #[must_use]
    pub fn command(&self) -> Command {
        Command::new(self.binary)
            .about(self.about)
            .version(self.version)
            .arg(
                Arg::new("settings")
                    .long("settings")
                    .value_name("FILE")
                    .env(self.settings_variable)
                    .default_value(self.default_file)
                    .value_parser(value_parser!(PathBuf))
                    .help("Settings file in YAML"),
            )
            .arg(log())
            .arg(flag("check", "Checks the settings and exits"))
    }

    /// Parses the arguments, starts the logs and loads the settings.
    pub fn start<S: Settings>(
        &self,
        args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    ) -> Start<S> {
        let matches = match self.command().try_get_matches_from(args) {
            Ok(matches) => matches,
            Err(e) => return Start::End(print_usage(&e)),
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

/// Prints the argument error, or the requested help or version, and returns the exit status.
#[must_use]
pub fn print_usage(error: &clap::Error) -> Exit {
    let printed = error.print();
    if error.use_stderr() || printed.is_err() {
        Exit::Usage
    } else {
        Exit::Done
    }
}

/// Returns the argument `--log`, which filters the logs by level and module.
#[must_use]
pub fn log() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("FILTER")
        .env(LOG_VARIABLE)
        .default_value(DEFAULT_LOG_FILTER)
        .value_parser(logs::check_filter)
        .help("Level of the logs, also by module: info,mustardbay_proxy=debug")
}

/// Returns the value of the argument that [`log`] defines.
#[must_use]
pub fn log_filter(matches: &ArgMatches) -> &str {
    matches
        .get_one::<String>("log")
        .map_or(DEFAULT_LOG_FILTER, String::as_str)
}

/// Returns an argument without a value.
#[must_use]
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// Returns an argument with a value, which the help shows as `value_name`.
#[must_use]
pub fn option(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).help(help)
}

/// Returns an argument whose value is the path of a file.
#[must_use]
pub fn file(name: &'static str, help: &'static str) -> Arg {
    option(name, "FILE", help).value_parser(value_parser!(PathBuf))
}

/// Returns an argument whose value must be one of `values`.
#[must_use]
pub fn choice(name: &'static str, values: &[&'static str], help: &'static str) -> Arg {
    option(name, "WORD", help).value_parser(PossibleValuesParser::new(values.iter().copied()))
}

/// Returns the value of an argument that is required or has a default.
///
/// # Panics
///
/// Panics if the argument has no value, or if its value is not of type `T`.
#[must_use]
pub fn one<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    maybe(matches, name).expect("the argument is required or has a default")
}

/// Returns the value of an optional argument.
#[must_use]
pub fn maybe<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

/// Returns all values of an argument that may be repeated.
#[must_use]
pub fn all<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> Vec<T> {
    let values = matches.get_many::<T>(name);
    values.into_iter().flatten().cloned().collect()
}
