//! What this vm believes, with the proof of its age.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;

use crate::clock::Moment;
use crate::survey::Stamp;
use crate::survey::Survey;

/// Survey with the moment at which it was the newest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Belief {
    /// What the store said.
    pub survey: Survey,
    /// Stamp of the survey.
    pub stamp: Stamp,
    /// Moment of asking: what it said was in force then or later.
    pub asked: Moment,
}

impl Belief {
    /// Returns the time since the survey was asked for.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.asked)
    }
}

/// Newest belief of the process, read by every session.
#[derive(Debug, Default)]
pub struct Board {
    belief: ArcSwapOption<Belief>,
}

/// What a belief did to the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force; the configuration is another one.
    NewVersion,
    /// It is in force; the configuration is the same.
    SameVersion,
    /// It is older than the one in force and was dropped.
    Stale,
}

impl Board {
    /// Returns the belief in force.
    #[must_use]
    pub fn belief(&self) -> Option<Arc<Belief>> {
        self.belief.load_full()
    }

    /// Takes over a belief, unless the configuration in force is newer or the belief older.
    ///
    /// Calls must not overlap; one task of the process adopts.
    pub fn adopt(&self, belief: Belief) -> Adoption {
        let old = self.belief.load_full();
        let Some(old) = old else {
            self.belief.store(Some(Arc::new(belief)));
            return Adoption::NewVersion;
        };
        let before = old.survey.configuration.version;
        let after = belief.survey.configuration.version;
        if after < before || belief.asked <= old.asked {
            return Adoption::Stale;
        }
        self.belief.store(Some(Arc::new(belief)));
        if after > before {
            Adoption::NewVersion
        } else {
            Adoption::SameVersion
        }
    }
}
