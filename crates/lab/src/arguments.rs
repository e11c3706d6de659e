//! Command-line arguments that several subcommands of the lab share.

use std::any::Any;
use std::fmt::Display;
use std::str::FromStr;

use clap::Arg;
use clap::ArgAction;
use mustardbay_process::arguments::option;

/// Returns an argument whose value is parsed as `T`; `placeholder` stands for it in the help.
#[must_use]
pub fn parsed<T>(name: &'static str, placeholder: &'static str, help: &'static str) -> Arg
where
    T: FromStr<Err: Display> + Any + Clone + Send + Sync,
{
    option(name, placeholder, help)
        .value_parser(|text: &str| text.parse::<T>().map_err(|e| e.to_string()))
}

/// Returns a numeric argument with a default value.
#[must_use]
pub fn number<T>(name: &'static str, default: &'static str, help: &'static str) -> Arg
where
    T: FromStr<Err: Display> + Any + Clone + Send + Sync,
{
    parsed::<T>(name, "NUMBER", help).default_value(default)
}

/// Returns the argument `--seed` of a random number generator, 1 by default.
#[must_use]
pub fn seed(help: &'static str) -> Arg {
    number::<u64>("seed", "1", help)
}

/// Returns an argument for a secret, also taken from an environment variable.
///
/// The help does not show the value of the variable.
#[must_use]
pub fn secret(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    option(name, "SECRET", help)
        .env(variable)
        .hide_env_values(true)
}

/// Allows an argument to be given several times.
#[must_use]
pub fn repeated(arg: Arg) -> Arg {
    arg.action(ArgAction::Append)
}
