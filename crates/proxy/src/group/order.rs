//! Orders to promote an upstream: while one may still be carried out, replicas that are paused stay so.

use std::time::Duration;

use crate::clock::BootInstant;

/// Time after which a call without an answer is not carried out any more.
pub const LATE_CALL_TIME: Duration = Duration::from_secs(8);
/// Time after which an accepted order has taken effect, or never will.
pub(super) const EFFECT_TIME: Duration = Duration::from_millis(3_500);

/// Until when an order may be carried out, by this vm or by one that held the duty before it.
///
/// An upstream that is promoted later has nothing but what it has received. As long as that may
/// happen, no replica beside it may take its place in the acknowledgement of a commit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum OpenOrder {
    /// This vm has not claimed the duty, so that another one may give orders.
    #[default]
    OfAnyVm,
    /// An order may be carried out until then.
    Until(BootInstant),
    /// None may be carried out.
    Closed,
}

impl OpenOrder {
    /// Records a claim: what an earlier holder has ordered may still be under way.
    pub(super) fn claimed(&mut self, now: BootInstant) {
        if *self == Self::OfAnyVm {
            *self = Self::Until(now.after(LATE_CALL_TIME));
        }
    }

    /// Returns what is open once an order has been given, whose call has no answer yet.
    #[must_use]
    pub(super) fn given(self, now: BootInstant) -> Self {
        self.at_least(now.after(LATE_CALL_TIME))
    }

    /// Returns what is open once an order has been accepted, given what was open before it.
    #[must_use]
    pub(super) fn accepted(self, now: BootInstant) -> Self {
        self.at_least(now.after(EFFECT_TIME))
    }

    /// Records that the upstream leads whose promotion was ordered.
    ///
    /// The platform has seen the token of that order, and refuses earlier ones that come late.
    pub(super) fn carried_out(&mut self) {
        if *self != Self::OfAnyVm {
            *self = Self::Closed;
        }
    }

    /// Tells whether an order may still be carried out.
    pub(super) fn is_open(self, now: BootInstant) -> bool {
        match self {
            Self::OfAnyVm => true,
            Self::Until(end) => now < end,
            Self::Closed => false,
        }
    }

    fn at_least(self, end: BootInstant) -> Self {
        match self {
            Self::OfAnyVm => Self::OfAnyVm,
            Self::Until(other) => Self::Until(other.max(end)),
            Self::Closed => Self::Until(end),
        }
    }
}
