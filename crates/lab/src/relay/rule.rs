//! What a link does to the connections of each source address.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use serde::Serialize;
use thiserror::Error;

/// How a link treats a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Hands every byte on at once.
    #[default]
    Pass,
    /// Closes connections and accepts none.
    Cut,
    /// Keeps connections open and holds their bytes back.
    Freeze,
    /// Hands every byte on after a one-way delay.
    Delay(Duration),
}

/// Modes of a link: one for all, and exceptions by source address.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    all: Mode,
    by_source: BTreeMap<IpAddr, Mode>,
}

impl Rules {
    /// Sets the mode of some sources, or of all that have none of their own.
    pub fn set(&mut self, sources: &[IpAddr], mode: Mode) {
        if sources.is_empty() {
            self.all = mode;
        }
        for source in sources {
            self.by_source.insert(*source, mode);
        }
    }

    /// Returns the mode that connections from `source` are under.
    #[must_use]
    pub fn mode(&self, source: IpAddr) -> Mode {
        self.by_source.get(&source).copied().unwrap_or(self.all)
    }
}

/// Change of a link that was asked for over HTTP.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Sources that it is about; empty for all.
    pub sources: Vec<IpAddr>,
    /// New mode.
    pub mode: Mode,
}

/// Query that names no change.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("mode is one of pass, cut, freeze, delay (with ms or us), from is an IP address: {0:?}")]
pub struct BadChange(String);

impl Change {
    /// Reads `mode=...&ms=...&us=...&from=...`, with `from` as often as needed.
    ///
    /// # Errors
    ///
    /// Fails if the mode or a source is missing or unknown.
    pub fn parse(query: &str) -> Result<Self, BadChange> {
        let bad = || BadChange(query.to_owned());
        let mut sources = Vec::new();
        let mut mode = None;
        let mut delay = Duration::ZERO;
        for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match key {
                "mode" => mode = Some(value),
                "from" => sources.push(value.parse().ok().ok_or_else(bad)?),
                "ms" => delay = Duration::from_millis(value.parse().ok().ok_or_else(bad)?),
                "us" => delay = Duration::from_micros(value.parse().ok().ok_or_else(bad)?),
                _ => return Err(bad()),
            }
        }
        let mode = match mode {
            Some("pass") => Mode::Pass,
            Some("cut") => Mode::Cut,
            Some("freeze") => Mode::Freeze,
            Some("delay") => Mode::Delay(delay),
            _ => return Err(bad()),
        };
        Ok(Self { sources, mode })
    }
}
