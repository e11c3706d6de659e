//! Arguments that several commands of the lab take.

use std::any::Any;
use std::fmt::Display;
use std::str::FromStr;

use clap::Arg;
use clap::ArgAction;
use mustardbay_process::arguments::option;

/// Returns an argument whose value is parsed.
#[must_use]
pub fn parsed<T>(name: &'static str, shown: &'static str, help: &'static str) -> Arg
where
    T: FromStr<Err: Display> + Any + Clone + Send + Sync,
{
    option(name, shown, help)
        .value_parser(|text: &str| text.parse::<T>().map_err(|e| e.to_string()))
}

/// Returns an argument that is a number, with the number that stands in for it.
#[must_use]
pub fn number<T>(name: &'static str, default: &'static str, help: &'static str) -> Arg
where
    T: FromStr<Err: Display> + Any + Clone + Send + Sync,
{
    parsed::<T>(name, "NUMBER", help).default_value(default)
}

/// Returns the argument for the seed of what is drawn by chance.
#[must_use]
pub fn seed(help: &'static str) -> Arg {
    number::<u64>("seed", "1", help)
}

/// Returns an argument for a key, whose value is not shown.
#[must_use]
pub fn secret(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    option(name, "SECRET", help)
        .env(variable)
        .hide_env_values(true)
}

/// Lets an argument be repeated.
#[must_use]
pub fn repeated(arg: Arg) -> Arg {
    arg.action(ArgAction::Append)
}
