//! Connection pool of a database group: queue, placement and connections, without I/O.
//!
//! A [`Pool`] is a state machine: it takes events ([`Input`]) and returns actions ([`Output`]). Its
//! caller owns the sockets. One vm of the fleet, the group's home, holds nearly all connections of
//! a group and so sees its whole queue. The vms that stand in for it keep a few connections, for
//! the time when the home cannot be reached.

mod admission;
mod candidate;
mod choice;
mod connection;
mod connection_loss;
mod departure;
mod dispatch;
mod evacuation;
mod expiry;
mod in_flight;
mod input;
mod known_primary;
mod learn;
mod load_estimate;
mod output;
mod pending_unit;
mod placement;
mod refusal;
mod registry;
mod reply;
mod round_trip;
mod service_times;
mod state;
mod status_poll;
mod step;
mod steps;
mod submit;
mod tick;
mod unit_id;
mod upstream;
mod warmup;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::UpstreamName;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::BootInstant;
use crate::clock::millis_ceil;
pub use crate::pool::candidate::Candidate;
pub use crate::pool::candidate::Eligibility;
pub use crate::pool::choice::Cost;
pub use crate::pool::choice::choose;
use crate::pool::connection::Connection;
pub use crate::pool::connection::ConnectionId;
pub use crate::pool::departure::Availability;
pub use crate::pool::departure::Departure;
pub use crate::pool::input::Input;
pub use crate::pool::input::OpenFailure;
use crate::pool::known_primary::KnownPrimary;
pub use crate::pool::load_estimate::InUse;
pub use crate::pool::load_estimate::LoadEstimate;
pub use crate::pool::load_estimate::LoadReport;
pub use crate::pool::load_estimate::slowness;
pub use crate::pool::output::Note;
pub use crate::pool::output::Output;
pub use crate::pool::output::RetryReason;
use crate::pool::pending_unit::PendingUnit;
pub use crate::pool::refusal::Cause;
pub use crate::pool::refusal::Outcome;
pub use crate::pool::refusal::Refusal;
use crate::pool::service_times::ServiceTimes;
pub use crate::pool::state::Contact;
pub use crate::pool::state::PoolState;
pub use crate::pool::state::UpstreamLoad;
pub use crate::pool::step::Command;
pub use crate::pool::step::Query;
pub use crate::pool::unit_id::UnitId;
pub use crate::pool::upstream::Registration;
pub use crate::pool::upstream::Role;
use crate::pool::upstream::Upstream;
pub use crate::pool::upstream::UpstreamStatus;
use crate::position_history::PositionHistory;
use crate::work::DatedPosition;

/// Age beyond which positions of the primary are dropped.
const MAX_POSITION_AGE: Duration = Duration::from_secs(10);
/// Minimum time between two positions of the primary that are kept.
const MIN_POSITION_GAP: Duration = Duration::from_millis(20);

/// Queue, placement and connections of one database group on one vm.
#[derive(Debug)]
pub struct Pool {
    /// Failure domain of this vm.
    domain: DomainName,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    connections: BTreeMap<ConnectionId, Connection>,
    units: BTreeMap<UnitId, PendingUnit>,
    /// Queued units, ordered by priority, then due time, then arrival.
    waiting: BTreeMap<pending_unit::Rank, UnitId>,
    /// Units with an open transaction whose next statement waits for a slot.
    resumed: VecDeque<UnitId>,
    primary: KnownPrimary,
    position_history: PositionHistory,
    /// Connections that this vm may hold at each upstream.
    share: u32,
    /// Requests in a second that this vm may send to a cold upstream; `None` if any number.
    cold_limit: Option<u32>,
    /// Whether this vm is the group's home, which polls the status of every upstream.
    home: bool,
    /// If the vm is shutting down, when transactions that are still open are rolled back.
    retired: Option<BootInstant>,
    /// Account for connections that are opened only to query the status of an upstream.
    status_account: Option<AccountName>,
    /// Mean times for which statements hold a slot.
    service_times: ServiceTimes,
    /// Draws between upstreams of equal cost.
    random: SmallRng,
    next_connection: u64,
    next_arrival: u64,
    /// Actions that the current input has caused so far.
    outputs: Vec<Output>,
}

impl Pool {
    /// Creates the pool of a vm in the failure domain `domain`, without upstreams.
    ///
    /// Pools with the same seed make the same choices on the same inputs.
    #[must_use]
    pub fn new(domain: DomainName, seed: u64) -> Self {
        Self {
            domain,
            upstreams: BTreeMap::new(),
            connections: BTreeMap::new(),
            units: BTreeMap::new(),
            waiting: BTreeMap::new(),
            resumed: VecDeque::new(),
            primary: KnownPrimary::default(),
            position_history: PositionHistory::new(MAX_POSITION_AGE, MIN_POSITION_GAP),
            share: 0,
            cold_limit: None,
            home: false,
            retired: None,
            status_account: None,
            service_times: ServiceTimes::new(),
            random: SmallRng::seed_from_u64(seed),
            next_connection: 0,
            next_arrival: 0,
            outputs: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, input: Input, now: BootInstant) -> Vec<Output> {
        match input {
            Input::Submit(unit_id, unit) => self.submit(unit_id, *unit, now),
            Input::Continue {
                unit_id,
                statement,
                settings,
                left,
            } => self.resume(unit_id, statement, settings, now.after(left), now),
            Input::Release(unit_id) => self.release(unit_id, now),
            Input::LinkClosed(link) => self.release_link(link, now),
            Input::Opened(connection, position) => self.opened(connection, position, now),
            Input::OpenFailed(connection, failure) => self.open_failed(connection, failure, now),
            Input::Replied(connection, answer) => self.replied(connection, answer, now),
            Input::StatusReceived(connection, status, position) => {
                self.status_received(connection, status, position, now);
            }
            Input::PauseUnknown(connection) => self.pause_unknown(connection),
            Input::Lost(connection) => self.lost(connection, now),
            Input::Closed(connection) => self.closed(connection),
            Input::Upstreams {
                registrations,
                evacuated,
            } => {
                self.register(registrations, now);
                self.evacuate(&evacuated, now);
            }
            Input::Share {
                connections,
                cold_limit,
                home,
                status_account,
            } => {
                self.cold_limit = cold_limit;
                self.set_share(connections, home, status_account);
            }
            Input::Retire(transaction_end) => self.retired = Some(transaction_end),
            Input::Tick => self.tick(now),
        }
        self.dispatch(now);
        self.attach_primary_position(now);
        std::mem::take(&mut self.outputs)
    }

    /// Adds the newest known position of the primary to the answers in the output.
    fn attach_primary_position(&mut self, now: BootInstant) {
        let primary = self
            .position_history
            .newest()
            .map(|(asked, position)| DatedPosition {
                position: position.into(),
                age_ms: millis_ceil(now.since(asked)),
            });
        for output in &mut self.outputs {
            if let Output::Finish(_, Outcome::Answered(answer)) = output {
                answer.primary = primary;
            }
        }
    }
}
