//! Open transaction of a session.

use crate::clock::BootInstant;
use crate::entry::AdmittedOperation;
use crate::entry::Placement;
use crate::work::Statement;

/// Progress of a transaction.
#[derive(Debug)]
pub(super) enum Progress {
    /// The client's begin was answered; no other statement has arrived yet.
    Begun,
    /// It runs on a pooled connection.
    Running(Placement),
    /// It has failed; only commit or rollback is accepted.
    Failed,
}

/// Transaction between its begin and its end.
#[derive(Debug)]
pub(super) struct Transaction {
    /// Statement that began it, sent to the upstream with the first statement after it.
    pub(super) begin: Statement,
    /// Route and account as admitted at the begin.
    pub(super) admitted: AdmittedOperation,
    pub(super) progress: Progress,
    /// Whether a write was sent to the upstream.
    pub(super) wrote: bool,
    /// Time at which its last statement was answered.
    pub(super) idle_since: BootInstant,
}

impl Transaction {
    /// Releases its connection, if any, and marks it as failed.
    pub(super) fn fail(&mut self) {
        if let Progress::Running(placement) = &self.progress {
            placement.release();
        }
        self.progress = Progress::Failed;
    }
}
