//! Stages of a failover.

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;

use crate::clock::BootInstant;
use crate::group::pending_promotion::PendingPromotion;

/// Stage of a failover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// The primary is monitored; no failover is in progress.
    Monitoring,
    /// Other vms were asked about the primary, and every upstream for its status.
    AskingPeers { since: BootInstant },
    /// The promotion duty is being claimed.
    Claiming,
    /// Statuses are being collected.
    CollectingStatuses {
        since: BootInstant,
        /// When statuses were last requested.
        asked: BootInstant,
    },
    /// The other replicas are being paused, so that no commit is acknowledged without the chosen one.
    Pausing(Choice),
    /// The promotion call is in flight.
    Promoting {
        chosen: UpstreamName,
        term: Term,
        /// What was pending before this call.
        before: PendingPromotion,
    },
    /// The chosen upstream is expected to become primary.
    Confirming(Choice),
}

/// Upstream that is chosen to be promoted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Choice {
    pub(super) chosen: UpstreamName,
    /// Term that it will lead.
    pub(super) term: Term,
    /// When the stage began.
    pub(super) since: BootInstant,
    /// When pauses or statuses were last requested.
    pub(super) asked: BootInstant,
}
