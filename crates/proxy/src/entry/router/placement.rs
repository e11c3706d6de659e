//! Vm and link on which a transaction runs.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;

use crate::clock::millis;
use crate::entry::router::attempt::LINK_ROUND_TRIP;
use crate::link::AskBody;
use crate::link::Link;
use crate::link::LinkError;
use crate::link::ReplyBody;
use crate::link::frame::Continue;
use crate::link::frame::Release;
use crate::pool::Outcome;
use crate::work::Answer;
use crate::work::Code;
use crate::work::Setting;
use crate::work::Statement;
use crate::work::TransactionState;
use crate::work::Verb;

/// Vm and pooled connection used by a transaction or a single statement.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Vm whose pool holds the connection.
    pub vm: VmName,
    /// Group of the connection's upstream.
    pub group: GroupName,
    pub(super) link: Arc<Link>,
    pub(super) number: u64,
}

impl Placement {
    /// Runs the transaction's next statement within `left`.
    pub async fn resume(
        &self,
        statement: Statement,
        settings: Vec<Setting>,
        left: Duration,
        wrote: bool,
    ) -> Outcome {
        let commits = statement.verb() == Verb::Commit && wrote;
        let next = Continue {
            group: self.group.as_str().to_owned(),
            unit: self.number,
            statement,
            settings,
            left_ms: millis(left),
        };
        let call = self.link.call(self.number, AskBody::Continue(next));
        let reply = match tokio::time::timeout(left + LINK_ROUND_TRIP, call).await {
            Ok(reply) => reply,
            Err(tokio::time::error::Elapsed { .. }) => Err(LinkError::Lost),
        };
        match reply {
            Ok(ReplyBody::Answer(answer)) => Outcome::Answered(answer),
            Ok(ReplyBody::Refused(refusal)) => Outcome::Answered(aborted(&refusal.text())),
            Ok(_) | Err(LinkError::Lost) if commits => {
                Outcome::in_doubt("the vm that ran the commit was lost")
            }
            Ok(_) | Err(LinkError::Lost | LinkError::NotSent) => {
                Outcome::Answered(aborted("the vm was lost"))
            }
        }
    }

    /// Releases the connection and rolls back the transaction.
    pub fn release(&self) {
        let release = Release {
            group: self.group.as_str().to_owned(),
            unit: self.number,
        };
        self.link.tell(self.number, AskBody::Release(release));
    }
}

fn aborted(text: &str) -> Answer {
    Answer::failed(Code::Aborted, text, TransactionState::Failed)
}
