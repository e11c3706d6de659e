//! Events that a pool handles.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::position::Position;

use crate::clock::BootInstant;
use crate::fleet::Cutoff;
use crate::pool::connection::ConnectionId;
use crate::pool::unit_id::UnitId;
use crate::pool::upstream::Registration;
use crate::pool::upstream::UpstreamStatus;
use crate::work::Answer;
use crate::work::Setting;
use crate::work::Statement;
use crate::work::WorkUnit;

/// Reason for which a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenFailure {
    /// No answer, or the connection broke.
    Unreachable,
    /// The upstream's connection limit is reached.
    TooMany,
    /// A different upstream answered at the address.
    Misrouted,
    /// The upstream refused the connection for another reason.
    Refused,
}

/// Event that a pool handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// A session submits a unit of work.
    Submit(UnitId, Box<WorkUnit>),
    /// A session sends the next statement of its transaction.
    Continue {
        /// Unit that opened the transaction.
        unit_id: UnitId,
        /// Statement to run.
        statement: Statement,
        /// Settings of the session.
        settings: Vec<Setting>,
        /// Time left until the statement's deadline.
        left: Duration,
    },
    /// A session abandons a unit; an open transaction is rolled back.
    Release(UnitId),
    /// A link between vms closed: every unit submitted through it is abandoned.
    LinkClosed(u64),
    /// A connection is open; the upstream may have reported its log position.
    Opened(ConnectionId, Option<Position>),
    /// A connection could not be opened.
    OpenFailed(ConnectionId, OpenFailure),
    /// The upstream answered the connection's query in flight.
    Replied(ConnectionId, Answer),
    /// The upstream answered a status query; the status is absent if the answer did not hold one.
    StatusReceived(ConnectionId, Option<UpstreamStatus>, Option<Position>),
    /// The upstream does not know the command to pause.
    PauseUnknown(ConnectionId),
    /// A connection broke.
    Lost(ConnectionId),
    /// The upstream confirmed the end of a connection that the pool closed.
    Closed(ConnectionId),
    /// Complete list of the group's registered upstreams.
    Upstreams {
        /// Their registrations.
        registrations: Vec<Registration>,
        /// Evacuated domains, each with the time from which nothing may reach its upstreams.
        evacuated: BTreeMap<DomainName, Cutoff>,
    },
    /// This vm's share of the group's connections.
    Share {
        /// Connections that this vm may hold at each upstream.
        connections: u32,
        /// Requests in a second that this vm may send to a cold upstream; `None` if any number.
        cold_limit: Option<u32>,
        /// Whether this vm is the group's home.
        home: bool,
        /// Account for connections that are opened only to query the status of an upstream.
        status_account: Option<AccountName>,
    },
    /// The vm is shutting down: new units are refused, and transactions still open then are rolled back.
    Retire(BootInstant),
    /// Periodic tick, on which timeouts are checked.
    Tick,
}
