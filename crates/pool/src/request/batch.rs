//! Batch of statements that an entry submits.

use std::time::Duration;

use bytes::Bytes;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_wire::Mode;
use mustardbay_wire::Submit;
use tokio::time::Instant;

use crate::upstream::UpstreamKey;

/// Batch of statements to run on one upstream.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) session: u64,
    pub(crate) account: AccountName,
    pub(crate) key: UpstreamKey,
    pub(crate) term: Term,
    pub(crate) mode: Mode,
    /// Lowest position that a read may see.
    pub(crate) floor: Option<Position>,
    /// Greatest age of the data that a read may see.
    pub(crate) max_age: Option<Duration>,
    pub(crate) deadline: Instant,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) messages: Bytes,
    /// Numbers of the `Parse` messages whose `ParseComplete` is not passed on.
    pub(crate) hidden_parses: Vec<u32>,
}

impl Batch {
    /// Converts a submission that arrived at `now`.
    ///
    /// An unknown mode of a newer version counts as a write, which runs on the primary only.
    pub(crate) fn new(submit: Submit, now: Instant) -> Self {
        let mode = submit.mode();
        Self {
            session: submit.session,
            account: AccountName::from(submit.account),
            key: UpstreamKey {
                group: submit.group.into(),
                upstream: submit.upstream.into(),
            },
            term: Term(submit.term),
            mode: if Mode::try_from(submit.mode).is_ok() {
                mode
            } else {
                Mode::Write
            },
            floor: submit.floor.map(Position::from),
            max_age: submit.max_age_ms.map(Duration::from_millis),
            deadline: now + Duration::from_millis(submit.deadline_ms),
            idempotency_key: submit.idempotency_key,
            messages: submit.messages,
            hidden_parses: submit.hidden_parses,
        }
    }

    /// Returns whether the batch may commit writes.
    pub(crate) fn may_commit(&self) -> bool {
        match self.mode {
            Mode::Write | Mode::Begin | Mode::Continue => true,
            Mode::Read | Mode::BeginRead => false,
        }
    }
}
