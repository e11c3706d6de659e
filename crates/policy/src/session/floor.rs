//! Floor of a session: the position that its reads must cover.

use crate::names::GroupName;
use crate::position::Position;
use crate::session::SessionToken;

/// Floor of one session in the group of its route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Floor {
    group: GroupName,
    position: Option<Position>,
}

impl Floor {
    /// Creates the floor of a session that has shown no token: only the primary covers it.
    #[must_use]
    pub fn unknown(group: GroupName) -> Self {
        Self {
            group,
            position: None,
        }
    }

    /// Returns the group that the floor belongs to.
    #[must_use]
    pub fn group(&self) -> &GroupName {
        &self.group
    }

    /// Returns the position that reads must cover, or `None` while it is unknown.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Raises the floor to that of a token and tells whether it changed.
    ///
    /// A token of another group says nothing about this one and is ignored.
    pub fn present(&mut self, token: &SessionToken) -> bool {
        token.group == self.group && self.raise(token.floor)
    }

    /// Raises the floor to the position of an acknowledged write of the session, or to one that
    /// the primary confirmed after the session arrived. Tells whether the floor changed.
    ///
    /// Either makes an unknown floor known: a commit follows everything that the group
    /// acknowledged before it, whichever proxy the session wrote through.
    pub fn raise(&mut self, position: Position) -> bool {
        let raised = self.position.is_none_or(|floor| !floor.covers(position));
        if raised {
            let floor = self.position.unwrap_or_default();
            self.position = Some(Position {
                term: floor.term.max(position.term),
                index: floor.index.max(position.index),
            });
        }
        raised
    }

    /// Returns the token that carries the floor, once it is known.
    #[must_use]
    pub fn token(&self) -> Option<SessionToken> {
        self.position.map(|floor| SessionToken {
            group: self.group.clone(),
            floor,
        })
    }
}
