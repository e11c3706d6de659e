//! Attempt to run a unit on one vm, and what its reply or silence means.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::DomainName;

use crate::entry::router::placement::Placement;
use crate::link::AskBody;
use crate::link::LinkError;
use crate::link::ReplyBody;
use crate::pool::Cause;
use crate::pool::Outcome;
use crate::pool::Refusal;
use crate::work::Verb;
use crate::work::WorkUnit;

/// Time allowed for the round trip to another vm, on top of the statement's own timeout.
pub(super) const LINK_ROUND_TRIP: Duration = Duration::from_millis(150);
/// Delay after which a client is told to retry when no vm could take its unit.
pub(super) const NO_VM_RETRY_MS: u32 = 300;

/// Result of running a unit on one vm.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The unit has its final outcome.
    Final(Outcome),
    /// The unit did not run or was rolled back; another vm may run it.
    NotRun(Refusal),
    /// The vm has not replied; releasing the unit rolls back whatever it runs of it.
    NoReply,
}

/// What to do with a unit whose vm does not reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fallback {
    /// Another vm may run it.
    ///
    /// The first vm rolls the unit back when the link is lost or the unit is released.
    Elsewhere,
    /// Nothing: it is a write outside a transaction, which may have been committed.
    InDoubt,
}

impl Fallback {
    pub(super) fn of(unit: &WorkUnit) -> Self {
        if unit.begin.is_none() && unit.statement.verb() == Verb::Write {
            Self::InDoubt
        } else {
            Self::Elsewhere
        }
    }
}

/// Unit that was sent to a vm.
pub(super) struct Attempt {
    pub(super) placement: Placement,
    pub(super) domain: DomainName,
    pub(super) fallback: Fallback,
    reply: Pin<Box<dyn Future<Output = AttemptResult> + Send>>,
}

impl fmt::Debug for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Attempt")
            .field("placement", &self.placement)
            .finish_non_exhaustive()
    }
}

impl Attempt {
    /// Starts an attempt; the unit is sent once the reply is first polled.
    pub(super) fn start(placement: Placement, domain: DomainName, unit: WorkUnit) -> Self {
        let fallback = Fallback::of(&unit);
        let reply = Box::pin(reply(placement.clone(), unit, fallback));
        Self {
            placement,
            domain,
            fallback,
            reply,
        }
    }

    /// Waits for the reply.
    pub(super) async fn reply(&mut self) -> AttemptResult {
        (&mut self.reply).await
    }
}

async fn reply(placement: Placement, unit: WorkUnit, fallback: Fallback) -> AttemptResult {
    let link = Arc::clone(&placement.link);
    let max_wait = unit.left() + LINK_ROUND_TRIP;
    let call = link.call(placement.number, AskBody::Submit(unit));
    let reply = match tokio::time::timeout(max_wait, call).await {
        Ok(reply) => reply,
        Err(tokio::time::error::Elapsed { .. }) => Err(LinkError::Lost),
    };
    match reply {
        Ok(ReplyBody::Answer(answer)) => AttemptResult::Final(Outcome::Answered(answer)),
        Ok(ReplyBody::Refused(refusal)) => match refusal.cause() {
            Cause::Draining | Cause::NoPrimary | Cause::NoUpstream | Cause::Unreachable => {
                AttemptResult::NotRun(refusal)
            }
            Cause::Overloaded | Cause::Expired | Cause::RateSpent | Cause::NotCurrent => {
                AttemptResult::Final(Outcome::Refused(refusal))
            }
        },
        Ok(_) | Err(LinkError::Lost) => {
            placement.release();
            lost_reply(fallback)
        }
        Err(LinkError::NotSent) => vm_unreachable(),
    }
}

/// Returns the result for a unit whose reply was lost.
fn lost_reply(fallback: Fallback) -> AttemptResult {
    match fallback {
        Fallback::Elsewhere => vm_unreachable(),
        Fallback::InDoubt => {
            AttemptResult::Final(Outcome::in_doubt("the vm that ran the statement was lost"))
        }
    }
}

fn vm_unreachable() -> AttemptResult {
    AttemptResult::NotRun(Refusal::new(Cause::Unreachable, NO_VM_RETRY_MS))
}
