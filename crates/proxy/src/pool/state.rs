//! State of a pool for metrics, state dumps and the failover.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use serde::Serialize;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::output::Output;
use crate::pool::step::Command;
use crate::pool::upstream::Registration;
use crate::pool::upstream::Upstream;
use crate::pool::upstream::UpstreamStatus;
use crate::vm_metrics::PoolLevel;

/// Reachability and status of one upstream, as a pool knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Its registration.
    pub registration: Registration,
    /// Whether its failure domain is evacuated.
    pub evacuated: bool,
    /// Whether it may be paused: it has not said that it does not know the command.
    pub pausable: bool,
    /// Log position that it last reported.
    pub position: Option<Position>,
    /// Time since its last answer.
    pub silence: Duration,
    /// Time since the first failure after its last answer; none while it answers.
    pub failing: Option<Duration>,
    /// Its last status, with the age of that status.
    pub status: Option<(UpstreamStatus, Duration)>,
}

impl Contact {
    /// Tells whether it was paused when it last reported its status.
    #[must_use]
    pub fn is_paused(&self) -> bool {
        self.status
            .is_some_and(|(status, _)| status.paused.is_some())
    }

    /// Tells whether another upstream is to take its place as primary.
    #[must_use]
    pub fn is_departing(&self) -> bool {
        self.evacuated || self.registration.draining
    }
}

/// Shows name, received position and its age, and what speaks against a promotion.
impl fmt::Display for Contact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.registration.name)?;
        match self.status {
            Some((status, age)) => write!(f, "{}@{}ms", status.received, age.as_millis())?,
            None => write!(f, "none")?,
        }
        let marks = [
            (self.registration.draining, "+draining"),
            (self.evacuated, "+evacuated"),
            (self.failing.is_some(), "+failing"),
            (self.is_paused(), "+paused"),
        ];
        let present = marks.iter().filter(|(present, _)| *present);
        present
            .map(|(_, mark)| *mark)
            .try_for_each(|mark| f.write_str(mark))
    }
}

/// State of a pool, serialized into state dumps.
#[derive(Debug, Clone, Serialize)]
pub struct PoolState {
    /// Known primary.
    #[serde(rename = "lead")]
    pub primary: Option<UpstreamName>,
    /// Newest proven term.
    pub term: Option<Term>,
    /// Age of the newest known position of the primary, in milliseconds.
    #[serde(rename = "horizon_ms")]
    pub position_age_ms: Option<u128>,
    /// Connections that may be held at each upstream.
    pub share: u32,
    /// Whether this vm is the group's home.
    pub home: bool,
    /// Queued units.
    pub waiting: usize,
    /// Queued and running units.
    #[serde(rename = "jobs")]
    pub units: usize,
    /// Number of connections by upstream.
    pub connections: BTreeMap<UpstreamName, usize>,
    /// Evacuated upstreams, with the number of statements that this vm still runs there.
    pub evacuated: BTreeMap<UpstreamName, usize>,
    /// Last known applied log position of each upstream.
    pub applied: BTreeMap<UpstreamName, Option<Position>>,
    /// Mean time for which a statement holds a slot, in microseconds.
    pub service_us: u128,
    /// Estimated load of each upstream.
    pub loads: BTreeMap<UpstreamName, UpstreamLoad>,
}

/// Estimated load of an upstream, serialized into state dumps.
#[derive(Debug, Clone, Serialize)]
pub struct UpstreamLoad {
    /// Slots that statements of this vm use.
    pub own: f64,
    /// Slots that statements of other vms use, weighted by the age of the report.
    pub others: f64,
    /// Age of the newest report, in milliseconds.
    pub report_age_ms: Option<u128>,
    /// Time for which reads held a slot lately, in microseconds.
    pub service_us: Option<u128>,
}

impl Pool {
    /// Returns the current numbers of units and connections, for metrics.
    #[must_use]
    pub fn level(&self, now: BootInstant) -> PoolLevel {
        PoolLevel {
            waiting: self.waiting.len(),
            running: self.units.len().saturating_sub(self.waiting.len()),
            connections: self.connections.len(),
            position_age: self.position_history.age(now),
        }
    }

    /// Returns the reachability and status of each upstream.
    #[must_use]
    pub fn contacts(&self, now: BootInstant) -> Vec<Contact> {
        self.upstreams
            .values()
            .map(|upstream| Contact {
                registration: upstream.registration.clone(),
                evacuated: upstream.departure.is_evacuated(),
                pausable: upstream.pausable,
                position: upstream.applied,
                silence: now.since(upstream.last_answer),
                failing: upstream.failing_since.map(|at| now.since(at)),
                status: upstream.status.map(|(s, at)| (s, now.since(at))),
            })
            .collect()
    }

    /// Returns the known primary and the newest proven term.
    #[must_use]
    pub fn primary(&self) -> (Option<UpstreamName>, Option<Term>) {
        (self.primary.upstream().cloned(), self.primary.term())
    }

    /// Returns the actions that query the status of every upstream.
    pub fn ask_status_of_all(&mut self, now: BootInstant) -> Vec<Output> {
        self.command_some(&[], &Command::Status, now)
    }

    /// Returns the actions that send some upstreams a command, and query the status of the others.
    pub fn command_some(
        &mut self,
        some: &[UpstreamName],
        command: &Command,
        now: BootInstant,
    ) -> Vec<Output> {
        let names: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in names {
            if some.contains(&name) {
                self.command(&name, command.clone(), now);
            } else {
                self.ask_status(&name, now);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the state of the pool for a dump.
    #[must_use]
    pub fn state(&self, now: BootInstant) -> PoolState {
        let mut connections: BTreeMap<UpstreamName, usize> = BTreeMap::new();
        for connection in self.connections.values() {
            *connections.entry(connection.upstream.clone()).or_default() += 1;
        }
        let running = |name: &UpstreamName| {
            let held = self.connections.values().filter(|c| c.upstream == *name);
            held.filter(|c| c.unit_id.is_some()).count()
        };
        let evacuated = self.upstreams.iter();
        let evacuated = evacuated.filter(|(_, upstream)| upstream.departure.is_evacuated());
        let applied = self.upstreams.iter();
        PoolState {
            primary: self.primary.upstream().cloned(),
            term: self.primary.term(),
            position_age_ms: self.position_history.age(now).map(|age| age.as_millis()),
            share: self.share,
            home: self.home,
            waiting: self.waiting.len(),
            units: self.units.len(),
            connections,
            evacuated: evacuated.map(|(n, _)| (n.clone(), running(n))).collect(),
            applied: applied.map(|(n, u)| (n.clone(), u.applied)).collect(),
            service_us: self.service_times.mean().as_micros(),
            loads: self.upstream_loads(now),
        }
    }

    /// Returns the estimated load of each upstream.
    fn upstream_loads(&self, now: BootInstant) -> BTreeMap<UpstreamName, UpstreamLoad> {
        let held = self.loads();
        let load = |(name, upstream): (&UpstreamName, &Upstream)| {
            let own = held.get(name).map_or(0, |load| load.busy);
            let service = self.service_times.mean();
            let in_use = upstream.load.in_use(own, service, now);
            let load = UpstreamLoad {
                own: in_use.own,
                others: in_use.others,
                report_age_ms: upstream.load.report_age(now).map(|age| age.as_millis()),
                service_us: upstream.load.service_time(now).map(|time| time.as_micros()),
            };
            (name.clone(), load)
        };
        self.upstreams.iter().map(load).collect()
    }
}
