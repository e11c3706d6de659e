//! Decision whether an upstream may be given work, by its registration and the operators' evacuations.

use std::time::Duration;

use crate::clock::BootInstant;
use crate::fleet::Cutoff;

/// Time for which a primary still gets work after its registration says that it is leaving.
///
/// The shortest drain bound is 7 s, and the registration may be 2 s old.
const LEAVING_PRIMARY_TIME: Duration = Duration::from_secs(4);

/// Whether an upstream may be given new work, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It may be given new work.
    Available,
    /// It is leaving its group.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
}

/// Reasons for which an upstream is to be left alone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Departure {
    /// When its registration first said that it is leaving.
    pub leaving_since: Option<BootInstant>,
    /// From when nothing may reach it, if its domain is evacuated.
    pub cutoff: Option<Cutoff>,
}

impl Departure {
    /// Returns whether the upstream may be given new work.
    ///
    /// A primary may until it is replaced, or until its time is up: what it runs, no other can run.
    #[must_use]
    pub fn availability(self, is_primary: bool, now: BootInstant) -> Availability {
        let evacuated = self
            .cutoff
            .is_some_and(|cutoff| !is_primary || cutoff.is_past(now));
        let left = self
            .leaving_since
            .is_some_and(|since| !is_primary || now.since(since) >= LEAVING_PRIMARY_TIME);
        if evacuated {
            Availability::Evacuated
        } else if left {
            Availability::Leaving
        } else {
            Availability::Available
        }
    }

    /// Tells whether not even the rest of its work may be sent to it.
    #[must_use]
    pub fn is_cut_off(self, now: BootInstant) -> bool {
        self.cutoff.is_some_and(|cutoff| cutoff.is_past(now))
    }

    /// Tells whether its domain is evacuated.
    #[must_use]
    pub fn is_evacuated(self) -> bool {
        self.cutoff.is_some()
    }
}
