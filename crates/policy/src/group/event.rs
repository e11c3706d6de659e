//! Inputs and outputs of a group's monitor.

use crate::group::GroupRecord;
use crate::group::StoredRecord;
use crate::names::UpstreamName;
use crate::names::VmName;
use crate::position::Position;
use crate::position::Term;

/// Role that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes in its term.
    Primary,
    /// Replicates from a primary.
    Replica,
    /// Fenced: neither accepts writes nor replicates.
    Fenced,
}

/// Answer of an upstream to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Role of the upstream.
    pub role: Role,
    /// Term in which the upstream acts, or at which it is fenced.
    pub term: Term,
}

/// Input of a monitor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The regular timer fired.
    Tick,
    /// The record was read; `None` if it does not exist.
    Record(Option<StoredRecord>),
    /// An upstream answered a probe.
    ProbeAnswered(UpstreamName, UpstreamStatus),
    /// An upstream did not answer a probe in time.
    ProbeTimedOut(UpstreamName),
    /// An upstream answered a probe, but had no free connection.
    Busy(UpstreamName),
    /// A connection to an upstream could not be opened or was closed.
    ConnectionLost(UpstreamName),
    /// Another monitor reports whether the primary of a term answers it.
    Opinion {
        /// The other monitor.
        vm: VmName,
        /// Term of the primary in question.
        term: Term,
        /// Whether the other monitor has no contact with the primary.
        unreachable: bool,
    },
    /// A compare-and-swap of the record took effect.
    Swapped(StoredRecord),
    /// A compare-and-swap failed because of another revision; holds the stored record, if any.
    SwapLost(Option<StoredRecord>),
    /// A compare-and-swap got no answer and may have taken effect.
    SwapUnknown,
    /// An upstream was fenced at a term; the position is the last that it received.
    Fenced(UpstreamName, Term, Position),
    /// An upstream could not be fenced at a term.
    FenceFailed(UpstreamName, Term),
    /// An upstream became primary of a term.
    Promoted(UpstreamName, Term),
    /// An upstream could not be promoted to primary of a term.
    PromoteFailed(UpstreamName, Term),
    /// An upstream replicates from the primary of a term.
    Followed(UpstreamName, Term),
    /// An upstream could not be made a replica of the primary of a term.
    FollowFailed(UpstreamName, Term),
}

/// Action that a monitor requests; its result comes back as an [`Event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Read the record from the platform.
    Read,
    /// Ask an upstream for its role and term.
    Probe(UpstreamName),
    /// Ask another monitor whether the primary of a term answers it.
    AskOpinion(VmName, Term),
    /// Replace the record if it has this revision; 0 means that it must not exist.
    Swap(u64, GroupRecord),
    /// Fence an upstream at a term.
    Fence(UpstreamName, Term),
    /// Promote an upstream to primary of a term.
    Promote(UpstreamName, Term),
    /// Make the first upstream a replica of the second, the primary of a term.
    Follow(UpstreamName, UpstreamName, Term),
    /// Publish a newer record to the local processes and the other stewards.
    Announce(StoredRecord),
}
