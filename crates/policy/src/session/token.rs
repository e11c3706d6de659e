//! Token that carries a session's floor from one proxy to another.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::names::GroupName;
use crate::position::Position;

/// Prefix of the token format in use.
const VERSION_PREFIX: &str = "v1.";

/// Floor of a session in one group, as callers carry it: `v1.<group>.<term>:<index>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionToken {
    /// Group that the floor belongs to.
    pub group: GroupName,
    /// Position that the session's reads must cover.
    pub floor: Position,
}

impl fmt::Display for SessionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{VERSION_PREFIX}{}.{}", self.group, self.floor)
    }
}

/// Text that is not a session token of a known version.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("session token is not of the form v1.group.term:index")]
pub struct ParseTokenError;

impl FromStr for SessionToken {
    type Err = ParseTokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text
            .strip_prefix(VERSION_PREFIX)
            .and_then(|rest| rest.rsplit_once('.'))
            .and_then(|(group, floor)| {
                let floor = floor.parse().ok()?;
                (!group.is_empty()).then(|| Self {
                    group: GroupName::from(group),
                    floor,
                })
            });
        parts.ok_or(ParseTokenError)
    }
}
