//! Session token, with which a client takes its floor from one proxy to another.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::names::GroupName;
use crate::position::Position;

/// Prefix that marks the version of the token format.
const VERSION_PREFIX: &str = "v1.";

/// Floor of a session in one group, written as `v1.<group>.<term>:<index>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionToken {
    /// Group to which the floor applies.
    pub group: GroupName,
    /// Lowest position that the session's reads may see.
    pub floor: Position,
}

impl fmt::Display for SessionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{VERSION_PREFIX}{}.{}", self.group, self.floor)
    }
}

/// Error for a text that is not a session token of a known version.
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
