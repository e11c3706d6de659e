//! Causes of losses: why an attempt failed or took longer than its objective.

use std::fmt;

use serde::Serialize;

/// Cause of a loss, as far as it can be derived from the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// The account had no rate token left.
    RateSpent,
    /// The account had no rate token because vms had just started, with empty buckets.
    RateAfterStart,
    /// No vm that holds connections of the group could be reached.
    NoHome,
    /// The group had no confirmed primary.
    NoPrimary,
    /// No upstream of the group was eligible for the statement.
    NoUpstream,
    /// The queue of the group was too long to run it in time.
    QueueFull,
    /// The vm was cut off from the store, which vms of other domains still reached.
    CutOff,
    /// The configuration of the vm was too old, but not because the vm was cut off.
    #[serde(rename = "belief_old")]
    ConfigurationStale,
    /// The vm had just started and had no configuration yet.
    Starting,
    /// The vm that ran it was lost.
    VmLost,
    /// The connection to the upstream broke while it ran.
    UpstreamLost,
    /// The upstream reported an error or did not respond in time.
    UpstreamFailed,
    /// The vm was stopped as planned, or the transaction was aborted, such as for being idle too long.
    Stopped,
    /// It was late, mostly because of the queue at the home vm.
    LateQueue,
    /// It was late, mostly because of the upstream.
    LateUpstream,
    /// It was late, mostly because of the time before it reached the home vm.
    LateBefore,
    /// The key or the route is not in the configuration, so the refusal was correct.
    NotAllowed,
    /// The caller sent an invalid message, or one not allowed in the session's state.
    CallerFault,
    /// No other cause matches.
    Unassigned,
}

impl LossCause {
    /// Returns the name of the cause, as reports print it.
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
            Self::ConfigurationStale => "belief_old",
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
