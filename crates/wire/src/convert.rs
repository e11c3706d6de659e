//! Conversions between wire messages and the types of the policy crate.

use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::refusal::Outcome;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;

use crate::Refused;
use crate::WireOutcome;
use crate::WirePosition;

impl From<Position> for WirePosition {
    fn from(position: Position) -> Self {
        Self {
            term: position.term.0,
            index: position.index,
        }
    }
}

impl From<WirePosition> for Position {
    fn from(position: WirePosition) -> Self {
        Self::new(position.term, position.index)
    }
}

impl Refused {
    /// Creates the reply that refuses the request with number `request`.
    #[must_use]
    pub fn new(request: u64, refusal: Refusal) -> Self {
        let outcome = match refusal.outcome {
            Outcome::NotRun => WireOutcome::NotRun,
            Outcome::Unknown => WireOutcome::Unknown,
        };
        Self {
            request,
            outcome: outcome.into(),
            reason: reason_name(refusal.reason),
            message: refusal.message,
            retry_after_ms: refusal.retry_after.map(millis),
            positions: Vec::new(),
        }
    }

    /// Returns the refusal in the types of the policy crate.
    ///
    /// An outcome or reason that this version does not know yields [`Outcome::Unknown`], so the
    /// request is never taken for one that did not run.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        let reason = parse_reason(&self.reason);
        let outcome = match (WireOutcome::try_from(self.outcome), reason) {
            (Ok(WireOutcome::NotRun), Some(_)) => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        Refusal {
            outcome,
            reason: reason.unwrap_or(Reason::ConnectionLost),
            message: self.message.clone(),
            retry_after: self.retry_after_ms.map(Duration::from_millis),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn reason_name(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

fn parse_reason(name: &str) -> Option<Reason> {
    serde_json::from_value(serde_json::Value::String(name.to_owned())).ok()
}
