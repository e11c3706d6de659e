//! Why a try was not served in its objective.

use std::fmt;

use serde::Serialize;

/// Cause of a loss, as far as logs tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// The account had no token.
    RateSpent,
    /// The account had no token just after vms started: buckets begin empty.
    RateAfterStart,
    /// No vm that holds connections of the group could be reached.
    NoHome,
    /// The group had no primary that was known to lead.
    NoPrimary,
    /// No upstream could be used for the statement.
    NoUpstream,
    /// The queue of the group could not serve it in time.
    QueueFull,
    /// The vm was cut off from the store and from vms that reach it.
    CutOff,
    /// The configuration was too old on a vm that was not cut off alone.
    BeliefOld,
    /// The vm had just started and had no configuration yet.
    Starting,
    /// The vm that ran it was lost.
    VmLost,
    /// The connection to the upstream broke.
    UpstreamLost,
    /// The upstream took it and failed, or did not answer in time.
    UpstreamFailed,
    /// The vm or its transaction was stopped as planned, or rested too long.
    Stopped,
    /// It was served late, mostly for its wait at the home.
    LateQueue,
    /// It was served late, mostly for its time at the upstream.
    LateUpstream,
    /// It was served late, mostly before it came to the home.
    LateBefore,
    /// Key or route are not in the configuration: refused as it must be.
    NotAllowed,
    /// The caller sent what cannot be read, or not in that state.
    CallerFault,
    /// None of these.
    Unassigned,
}

impl LossCause {
    /// Returns the name that reports show.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::RateSpent => "rate_spent",
            Self::RateAfterStart => "rate_after_start",
            Self::NoHome => "no_home",
            Self::NoPrimary => "no_primary",
            Self::NoUpstream => "no_upstream",
            Self::QueueFull => "queue_full",
            Self::CutOff => "cut_off",
            Self::BeliefOld => "belief_old",
            Self::Starting => "starting",
            Self::VmLost => "vm_lost",
            Self::UpstreamLost => "upstream_lost",
            Self::UpstreamFailed => "upstream_failed",
            Self::Stopped => "stopped",
            Self::LateQueue => "late_queue",
            Self::LateUpstream => "late_upstream",
            Self::LateBefore => "late_before",
            Self::NotAllowed => "not_allowed",
            Self::CallerFault => "caller_fault",
            Self::Unassigned => "unassigned",
        }
    }
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}
