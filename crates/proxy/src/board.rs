//! What this vm believes, with the proof of its age.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;

use crate::clock::Moment;
use crate::fleet::Assignment;
use crate::fleet::Roster;
use crate::survey::Stamp;
use crate::survey::Survey;
use crate::sync::lock;

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
    roster: Mutex<Roster>,
    /// Division of the work that follows from the roster and the belief's groups.
    assignment: ArcSwapOption<Assignment>,
    /// Told of every belief that comes into force.
    adopted: Notify,
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

    /// Waits for a belief younger than `age`; nothing if there is none within `patience`.
    pub async fn wait_for_belief(&self, age: Duration, patience: Duration) -> Option<Arc<Belief>> {
        let young = async {
            loop {
                let adopted = self.adopted.notified();
                let belief = self.belief();
                if let Some(belief) = belief.filter(|belief| belief.age(Moment::now()) < age) {
                    return belief;
                }
                adopted.await;
            }
        };
        tokio::time::timeout(patience, young).await.ok()
    }

    /// Returns who is responsible for what, as the belief in force has it.
    #[must_use]
    pub fn assignment(&self) -> Option<Arc<Assignment>> {
        self.assignment.load_full()
    }

    /// Takes over a belief, unless the configuration in force is newer or the belief older.
    ///
    /// Calls must not overlap; one task of the process adopts.
    pub fn adopt(&self, belief: Belief) -> Adoption {
        let old = self.belief.load_full();
        let Some(old) = old else {
            self.put_in_force(belief, Duration::ZERO);
            return Adoption::NewVersion;
        };
        let before = old.survey.configuration.version;
        let after = belief.survey.configuration.version;
        if after < before || belief.asked <= old.asked {
            return Adoption::Stale;
        }
        let gap = belief.asked.since(old.asked);
        self.put_in_force(belief, gap);
        if after > before {
            Adoption::NewVersion
        } else {
            Adoption::SameVersion
        }
    }

    /// Puts a belief in force that was asked for `gap` after the one before it.
    fn put_in_force(&self, belief: Belief, gap: Duration) {
        let survey = &belief.survey;
        let members = lock(&self.roster).update(&survey.members, gap, belief.asked);
        let groups = survey.configuration.groups.keys();
        let known = self.assignment.load();
        let same = known
            .as_ref()
            .is_some_and(|known| known.covers(&members, groups.clone()));
        if !same {
            let assignment = Assignment::new(members, groups);
            self.assignment.store(Some(Arc::new(assignment)));
        }
        self.belief.store(Some(Arc::new(belief)));
        self.adopted.notify_waiters();
    }
}
