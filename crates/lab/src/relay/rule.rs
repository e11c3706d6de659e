//! Modes of a link for each source address.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use serde::Serialize;
use thiserror::Error;

/// How a link treats a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards bytes at once.
    #[default]
    Pass,
    /// Closes open connections and closes new ones as soon as they are accepted.
    Cut,
    /// Keeps connections open but forwards nothing.
    Freeze,
    /// Forwards bytes after a one-way delay.
    Delay(Duration),
}

/// Modes of a link: a default and exceptions by source address.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Mode of sources that have none of their own.
    all: Mode,
    by_source: BTreeMap<IpAddr, Mode>,
}

impl Rules {
    /// Sets the mode of some sources; without sources, the default.
    pub fn set(&mut self, sources: &[IpAddr], mode: Mode) {
        if sources.is_empty() {
            self.all = mode;
        }
        for source in sources {
            self.by_source.insert(*source, mode);
        }
    }

    /// Returns the mode of connections from `source`.
    #[must_use]
    pub fn mode(&self, source: IpAddr) -> Mode {
        self.by_source.get(&source).copied().unwrap_or(self.all)
    }
}

/// Change of the modes of a link, as requested over HTTP.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleChange {
    /// Sources whose mode changes; empty for the default.
    pub sources: Vec<IpAddr>,
    /// New mode.
    pub mode: Mode,
}

/// Error for a query that is not a valid change.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("mode is one of pass, cut, freeze, delay (with ms or us), from is an IP address: {0:?}")]
pub struct ParseRuleChangeError(String);

impl RuleChange {
    /// Parses `mode=...&ms=...&us=...&from=...`, where `from` may be repeated.
    ///
    /// # Errors
    ///
    /// Fails if the mode is missing, or a key or value is unknown.
    pub fn parse(query: &str) -> Result<Self, ParseRuleChangeError> {
        let invalid = || ParseRuleChangeError(query.to_owned());
        let mut sources = Vec::new();
        let mut mode = None;
        let mut delay = Duration::ZERO;
        for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match key {
                "mode" => mode = Some(value),
                "from" => sources.push(value.parse().ok().ok_or_else(invalid)?),
                "ms" => delay = Duration::from_millis(value.parse().ok().ok_or_else(invalid)?),
                "us" => delay = Duration::from_micros(value.parse().ok().ok_or_else(invalid)?),
                _ => return Err(invalid()),
            }
        }
        let mode = match mode {
            Some("pass") => Mode::Pass,
            Some("cut") => Mode::Cut,
            Some("freeze") => Mode::Freeze,
            Some("delay") => Mode::Delay(delay),
            _ => return Err(invalid()),
        };
        Ok(Self { sources, mode })
    }
}
