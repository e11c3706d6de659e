//! Upstreams considered for a refused unit, for the log.

use std::fmt;
use std::time::Duration;

use mustardbay_policy::names::UpstreamName;

use crate::clock::millis;

/// Whether an upstream can be given a unit, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It can run the unit.
    Eligible,
    /// It could not be reached and its backoff has not ended.
    Unreachable,
    /// It is leaving the group.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It is outside the regions that the unit is bound to.
    OutsideRegions,
    /// It is not the primary, which the unit needs.
    NotPrimary,
    /// Its log has probably not reached the position that the unit must see.
    Behind {
        /// Its replication lag when it last reported a position.
        lag: Option<Duration>,
    },
}

/// An upstream of the group, as considered for a refused unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Whether it could be given the unit.
    pub eligibility: Eligibility,
    /// Connections of this vm that hold a slot of it: being opened, or with a query other than a rollback in flight.
    pub busy: u32,
    /// Age of its newest load report, if it has sent one.
    pub report_age: Option<Duration>,
}

impl fmt::Display for Candidate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.upstream)?;
        match self.eligibility {
            Eligibility::Eligible => write!(f, "serves")?,
            Eligibility::Unreachable => write!(f, "unreachable")?,
            Eligibility::Leaving => write!(f, "leaving")?,
            Eligibility::OutsideRegions => write!(f, "outside_regions")?,
            Eligibility::Evacuated => write!(f, "evacuated")?,
            Eligibility::NotPrimary => write!(f, "follows")?,
            Eligibility::Behind { lag: Some(lag) } => write!(f, "behind_{}ms", millis(lag))?,
            Eligibility::Behind { lag: None } => write!(f, "behind")?,
        }
        write!(f, "/busy_{}", self.busy)?;
        match self.report_age {
            Some(age) => write!(f, "/report_{}ms", millis(age)),
            None => Ok(()),
        }
    }
}
