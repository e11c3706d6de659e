//! Floor of a session: the lowest position that its reads may see.

use crate::names::GroupName;
use crate::position::Position;
use crate::session::SessionToken;

/// Lowest position that the reads of a session may see, in the group of its route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Floor {
    group: GroupName,
    position: Option<Position>,
}

impl Floor {
    /// Creates the unknown floor of a session without a token, which only the primary satisfies.
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

    /// Returns the lowest position that reads may see, or `None` while it is unknown.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Raises the floor to that of a token; returns whether it changed.
    ///
    /// A token of another group is ignored, since it says nothing about this one.
    pub fn raise_to_token(&mut self, token: &SessionToken) -> bool {
        token.group == self.group && self.raise(token.floor)
    }

    /// Raises the floor to a position; returns whether it changed.
    ///
    /// The position must be that of an acknowledged write of the session, or one that the primary
    /// confirmed after the session arrived. Either makes an unknown floor known, because it follows
    /// everything that the group acknowledged earlier, whichever proxy the session wrote through.
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

    /// Returns the token for the floor, or `None` while the floor is unknown.
    #[must_use]
    pub fn token(&self) -> Option<SessionToken> {
        self.position.map(|floor| SessionToken {
            group: self.group.clone(),
            floor,
        })
    }
}
