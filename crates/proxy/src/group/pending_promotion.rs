//! Promotion that may still take effect: while there is one, replicas that are paused stay so.

use std::time::Duration;

use crate::clock::BootInstant;

/// Time after which a call without an answer is not carried out any more.
pub const LATE_CALL_TIME: Duration = Duration::from_secs(8);
/// Time after which an accepted promotion has taken effect, or never will.
pub(super) const EFFECT_TIME: Duration = Duration::from_millis(3_500);

/// Until when a promotion may take effect, called by this vm or by one that held the duty before it.
///
/// An upstream that is promoted later has nothing but what it has received. As long as that may
/// happen, no replica beside it may take its place in the acknowledgement of a commit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum PendingPromotion {
    /// This vm has not claimed the duty, so that another one may call for promotions.
    #[default]
    ByAnyVm,
    /// One may take effect until then.
    Until(BootInstant),
    /// None may take effect.
    None,
}

impl PendingPromotion {
    /// Records a claim: a call of an earlier holder may still be under way.
    pub(super) fn claimed(&mut self, now: BootInstant) {
        if *self == Self::ByAnyVm {
            *self = Self::Until(now.after(LATE_CALL_TIME));
        }
    }

    /// Returns what is pending after a call that has no answer yet.
    #[must_use]
    pub(super) fn called(self, now: BootInstant) -> Self {
        self.at_least(now.after(LATE_CALL_TIME))
    }

    /// Returns what is pending once a call has been accepted, given what was pending before it.
    #[must_use]
    pub(super) fn accepted(self, now: BootInstant) -> Self {
        self.at_least(now.after(EFFECT_TIME))
    }

    /// Records that the promoted upstream leads.
    ///
    /// The platform has seen the token of that call, and refuses earlier ones that come late.
    pub(super) fn took_effect(&mut self) {
        if *self != Self::ByAnyVm {
            *self = Self::None;
        }
    }

    /// Tells whether a promotion may still take effect.
    pub(super) fn may_take_effect(self, now: BootInstant) -> bool {
        match self {
            Self::ByAnyVm => true,
            Self::Until(end) => now < end,
            Self::None => false,
        }
    }

    fn at_least(self, end: BootInstant) -> Self {
        match self {
            Self::ByAnyVm => Self::ByAnyVm,
            Self::Until(other) => Self::Until(other.max(end)),
            Self::None => Self::Until(end),
        }
    }
}
