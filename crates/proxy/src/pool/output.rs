//! Actions and log events that a pool returns.

use std::net::SocketAddr;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;

use crate::pool::candidate::Candidate;
use crate::pool::connection::ConnectionId;
use crate::pool::refusal::Outcome;
use crate::pool::refusal::Refusal;
use crate::pool::step::Query;
use crate::pool::unit_id::UnitId;
use crate::work::Class;
use crate::work::Code;

/// Action of a pool; its caller carries actions out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Open a connection.
    Open {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Upstream that is expected at the address.
        upstream: UpstreamName,
        /// Address of the upstream.
        address: SocketAddr,
        /// Account that the connection logs in for.
        account: AccountName,
    },
    /// Send a query; its answer comes back as an [`Input`](crate::pool::Input).
    Send(ConnectionId, Query),
    /// Close a connection, or free what is kept for one that has ended.
    ///
    /// The only input that counts for it then is the upstream's confirmation.
    Close(ConnectionId),
    /// Return the outcome of a statement to its session.
    Finish(UnitId, Outcome),
    /// Log a decision or a change of state.
    Note(Note),
}

/// Decision or change of state that is logged or counted.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// An upstream acted as the primary of a term.
    PrimaryProven(UpstreamName, Term),
    /// The known primary turned out to be a replica.
    PrimaryLost(UpstreamName),
    /// An upstream does not know the command to pause.
    PauseUnknown(UpstreamName),
    /// An upstream stopped answering.
    UpstreamLost(UpstreamName),
    /// An upstream answers again.
    UpstreamBack(UpstreamName),
    /// A unit was given to an upstream.
    Placed {
        /// The unit.
        unit_id: UnitId,
        /// Upstream that was chosen.
        upstream: UpstreamName,
        /// Age of the oldest load report that the choice rested on, if there was one.
        report_age: Option<Duration>,
    },
    /// A statement was answered.
    Answered {
        /// Class of its unit.
        class: Class,
        /// Time from the statement's arrival until it was sent.
        waited: Duration,
        /// Time from sending to the answer.
        ran: Duration,
    },
    /// A statement was answered later than its latency objective allows.
    Late {
        /// The unit.
        unit_id: UnitId,
        /// Id of its statement.
        request: String,
        /// Upstream that ran it.
        upstream: UpstreamName,
        /// Time from the statement's arrival until it was sent.
        waited: Duration,
        /// Time from sending to the answer.
        ran: Duration,
        /// Number of times that the unit was started at an upstream.
        attempts: u32,
    },
    /// A unit was refused: it did not run.
    Refused {
        /// The unit.
        unit_id: UnitId,
        /// Id of its statement.
        request: String,
        /// Cause, and the pause before a retry.
        refusal: Refusal,
        /// Units in the queue at the time of the refusal.
        waiting: usize,
        /// Mean service time of a statement at the time of the refusal.
        service: Duration,
        /// Age of the newest known position of the primary, if one is known.
        position_age: Option<Duration>,
        /// Upstreams of the group, each with its eligibility for the unit.
        candidates: Vec<Candidate>,
    },
    /// A statement got no answer of an upstream because its connection ended or what precedes it was refused.
    Interrupted {
        /// The unit.
        unit_id: UnitId,
        /// Id of its statement.
        request: String,
        /// Upstream of its connection.
        upstream: UpstreamName,
        /// Reason for which it got none.
        reason: RetryReason,
        /// Whether the statement may have had a lasting effect.
        in_doubt: bool,
    },
    /// A unit was queued again, for another upstream if there is one.
    Retried {
        /// The unit.
        unit_id: UnitId,
        /// Id of its statement.
        request: String,
        /// Upstream that did not run it.
        upstream: UpstreamName,
        /// Reason for the retry.
        reason: RetryReason,
    },
}

/// Reason for which an attempt at an upstream ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The upstream's domain is evacuated, so nothing more may be sent to it.
    Evacuated,
    /// The upstream refused the unit, or failed a read that may be repeated.
    Refused(Code),
    /// The connection was lost, closed with its upstream's registration, or could not be opened.
    ConnectionLost,
    /// The upstream did not answer in time.
    Silent,
}

impl RetryReason {
    /// Returns the name used in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::Refused(code) => code.name(),
            Self::ConnectionLost => "connection_lost",
            Self::Silent => "silent",
        }
    }
}
