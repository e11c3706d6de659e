//! Actions that a failover requests and events that report their results.

use std::fmt;

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;
use serde::Deserialize;
use serde::Serialize;

/// Fencing token, higher with each claim of a group's promotion duty; the platform refuses lower ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Action that a failover requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask other vms whether they can reach an upstream, and every upstream for its status.
    AskPeers(UpstreamName),
    /// Claim the promotion duty, which yields a higher fencing token.
    Claim,
    /// Ask every upstream for its status.
    AskStatus,
    /// Stop replicas from receiving the log of terms below a new one, and ask all for their status.
    Pause(Term, Vec<UpstreamName>),
    /// Let paused replicas receive again.
    Continue(Vec<UpstreamName>),
    /// Promote an upstream under a fencing token.
    Promote(UpstreamName, FencingToken),
}

impl Action {
    /// Returns the name used in metrics, if it changes anything at an upstream.
    #[must_use]
    pub fn step(&self) -> Option<&'static str> {
        match self {
            Self::AskPeers(_) | Self::Claim | Self::AskStatus => None,
            Self::Pause(..) => Some("pause"),
            Self::Continue(_) => Some("continue"),
            Self::Promote(..) => Some("promote"),
        }
    }
}

/// Result of an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Another vm can reach the upstream.
    PeerReaches,
    /// No vm that answered can reach the upstream, or there is no other vm.
    NoPeerReaches,
    /// No other vm answered: this vm itself may be cut off.
    NoPeerAnswers,
    /// This vm holds the promotion duty, with this token.
    Claimed(FencingToken),
    /// Another vm holds the duty, or the store refused the claim.
    NotClaimed,
    /// The store gave no usable answer to a claim, which may have been or may still be carried out.
    ClaimUnanswered,
    /// The platform accepted the promotion.
    Accepted,
    /// The platform refused: the token is too low, or the upstream does not run.
    Refused,
    /// The promotion call got no answer and may still be carried out.
    Unknown,
}
