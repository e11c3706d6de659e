//! Registration and known state of an upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::BootInstant;
use crate::pool::connection::ConnectionId;
use crate::pool::departure::Availability;
use crate::pool::departure::Departure;
use crate::pool::load_estimate::LoadEstimate;
use crate::pool::load_estimate::LoadReport;
use crate::pool::round_trip::RoundTrip;
use crate::pool::warmup::Warmup;

/// Backoff after the first failure to reach an upstream; it doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after failures to reach an upstream.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time for which a closed connection still counts if its upstream does not confirm the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without new connections after an upstream reached its connection limit.
const FULL_BACKOFF: Duration = Duration::from_millis(250);
/// Time after which an upstream that is missing from the list is dropped.
///
/// A registration may lapse in an outage and come back within 2 s of the outage's end.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(3);
/// Age beyond which a measured replication lag is ignored.
const MAX_LAG_AGE: Duration = Duration::from_millis(500);
/// Divisor of a measured lag that gives the reserve added to it, since lags vary.
const LAG_RESERVE_DIVISOR: u32 = 4;
/// Time added to every measured lag: one way between failure domains.
const LAG_MARGIN: Duration = Duration::from_millis(2);

/// Replication role that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It accepts writes.
    Primary,
    /// It replicates from a primary.
    Replica,
}

/// Answer of an upstream to a status query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Its replication role.
    pub role: Role,
    /// Newest term that it knows.
    pub term: Term,
    /// Position up to which it has received the log.
    pub received: Position,
    /// Term under which it is paused, if it is: it receives nothing of older ones.
    pub paused: Option<Term>,
    /// Load that it reported, if it did.
    pub load: Option<LoadReport>,
}

/// Registration of an upstream in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Number of statements that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving the group.
    pub draining: bool,
    /// Role that it registered with.
    pub role: Role,
    /// Changes whenever the upstream restarts.
    pub incarnation: i64,
    /// Whether it is cold and must not get many requests yet.
    #[serde(default)]
    pub cold: bool,
}

/// An upstream and its state as the pool knows it.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) registration: Registration,
    /// Whether it may be paused: since its start it has not said that it does not know the command.
    pub(super) pausable: bool,
    /// Last applied log position that it reported.
    pub(super) applied: Option<Position>,
    /// Replication lag, and when it was measured.
    lag: Option<(Duration, BootInstant)>,
    /// Last reported status, and when it was received.
    pub(super) status: Option<(UpstreamStatus, BootInstant)>,
    /// When it last answered anything.
    pub(super) last_answer: BootInstant,
    /// First failure since it last answered.
    pub(super) failing_since: Option<BootInstant>,
    /// Failures to reach it since it last answered.
    failures: u32,
    /// End of the backoff after a failure to reach it.
    backoff_until: BootInstant,
    /// End of the pause after it reached its connection limit.
    full_until: BootInstant,
    /// Closed connections that it may still count, with the time of closing.
    closing: BTreeMap<ConnectionId, BootInstant>,
    /// Time that statements spend on the network.
    pub(super) round_trip: RoundTrip,
    /// Requests to it while it is cold.
    warmup: Warmup,
    /// Why it is to be left alone, if it is.
    pub(super) departure: Departure,
    /// When it was first missing from the list.
    unlisted_since: Option<BootInstant>,
    /// When a status query was last sent or tried.
    pub(super) last_asked: BootInstant,
    /// What it is thought to run.
    pub(super) load: LoadEstimate,
}

impl Upstream {
    pub(super) fn new(registration: Registration, now: BootInstant) -> Self {
        Self {
            registration,
            pausable: true,
            applied: None,
            lag: None,
            status: None,
            last_answer: now,
            failing_since: None,
            failures: 0,
            backoff_until: BootInstant::default(),
            full_until: BootInstant::default(),
            closing: BTreeMap::new(),
            round_trip: RoundTrip::new(),
            warmup: Warmup::default(),
            departure: Departure::default(),
            unlisted_since: None,
            last_asked: BootInstant::default(),
            load: LoadEstimate::default(),
        }
    }

    /// Applies its registration from the list.
    pub(super) fn register(&mut self, registration: Registration, now: BootInstant) {
        self.unlisted_since = None;
        let leaving = &mut self.departure.leaving_since;
        if registration.draining {
            leaving.get_or_insert(now);
        } else {
            *leaving = None;
        }
        self.pausable |= registration.incarnation != self.registration.incarnation;
        self.registration = registration;
    }

    /// Records that it is missing from the list; returns whether it is to be dropped.
    pub(super) fn note_unlisted(&mut self, now: BootInstant) -> bool {
        let since = *self.unlisted_since.get_or_insert(now);
        now.since(since) >= UNLISTED_TIMEOUT
    }

    /// Tells whether it may be given new work; a primary may for a while, until replaced.
    pub(super) fn accepts_work(&self, is_primary: bool, now: BootInstant) -> bool {
        self.departure.availability(is_primary, now) == Availability::Available
    }

    /// Records a request of a session, which counts while it is cold.
    pub(super) fn note_request(&mut self, now: BootInstant) {
        self.warmup.note_request(now);
    }

    /// Tells whether it may be sent a request; `cold_limit` is this vm's limit for a cold one.
    pub(super) fn has_room(&self, cold_limit: Option<u32>, now: BootInstant) -> bool {
        cold_limit.is_none_or(|limit| {
            let cold = self.warmup.is_cold(self.registration.cold, now);
            !cold || self.warmup.has_room(limit, now)
        })
    }

    /// Records an answer and the position in it; returns whether it was unreachable before.
    pub(super) fn note_reply(&mut self, position: Option<Position>, now: BootInstant) -> bool {
        let back = self.failures > 0;
        if back {
            self.warmup.note_return(now);
        }
        self.last_answer = now;
        self.failing_since = None;
        self.failures = 0;
        self.backoff_until = BootInstant::default();
        if position.is_some() {
            self.applied = position;
        }
        back
    }

    /// Marks it as failing because a connection broke, without a backoff.
    ///
    /// Both a lost answer and a crash break a connection. Opening the next one tells them apart.
    pub(super) fn suspect(&mut self, now: BootInstant) {
        self.failing_since.get_or_insert(now);
    }

    /// Marks it as failing since its last answer, if that is at least `max_wait` ago.
    pub(super) fn suspect_if_silent(&mut self, max_wait: Duration, now: BootInstant) {
        if now.since(self.last_answer) >= max_wait {
            self.failing_since.get_or_insert(self.last_answer);
        }
    }

    /// Records that it could not be reached; returns whether that is the first failure in a row.
    pub(super) fn note_failure(&mut self, now: BootInstant) -> bool {
        self.failing_since.get_or_insert(now);
        let backoff = FIRST_BACKOFF * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.backoff_until = now.after(backoff.min(MAX_BACKOFF));
        self.failures == 1
    }

    /// Records that its connection limit is reached.
    pub(super) fn note_full(&mut self, now: BootInstant) {
        self.full_until = now.after(FULL_BACKOFF);
    }

    /// Records its replication lag.
    pub(super) fn note_lag(&mut self, lag: Duration, now: BootInstant) {
        self.lag = Some((lag, now));
    }

    /// Returns its replication lag when it last reported a position.
    pub(super) fn lag(&self) -> Option<Duration> {
        self.lag.map(|(lag, _)| lag)
    }

    /// Records that a connection to it was closed or lost.
    pub(super) fn note_closing(&mut self, id: ConnectionId, now: BootInstant) {
        self.closing.retain(|_, at| now.since(*at) < CLOSE_TIMEOUT);
        self.closing.insert(id, now);
    }

    /// Records that it confirmed the end of a closed connection.
    pub(super) fn note_closed(&mut self, id: ConnectionId) {
        self.closing.remove(&id);
    }

    /// Returns how many closed connections it may still count.
    pub(super) fn closing_count(&self, now: BootInstant) -> u32 {
        let count = self
            .closing
            .values()
            .filter(|at| now.since(**at) < CLOSE_TIMEOUT)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Tells whether it is reachable: no backoff is in force.
    pub(super) fn is_usable(&self, now: BootInstant) -> bool {
        now >= self.backoff_until
    }

    /// Tells whether a connection to it may be opened.
    pub(super) fn may_open(&self, now: BootInstant) -> bool {
        now >= self.full_until && now >= self.backoff_until
    }

    /// Tells whether it has probably applied a position that the primary reached `age` ago.
    ///
    /// Without a recent measurement of its lag the answer is yes, and the upstream decides.
    pub(super) fn probably_holds(
        &self,
        position: Position,
        age: Duration,
        now: BootInstant,
    ) -> bool {
        if self.applied.is_some_and(|applied| applied.covers(position)) {
            return true;
        }
        match self.lag {
            Some((lag, at)) if now.since(at) < MAX_LAG_AGE => {
                age >= lag + lag / LAG_RESERVE_DIVISOR + LAG_MARGIN
            }
            Some(_) | None => true,
        }
    }
}
