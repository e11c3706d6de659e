//! Scenarios of the simulation: load of one account and events in the fleet.

use std::fmt;
use std::time::Duration;

/// Number of vms in the fleet.
const VMS: usize = 7;
/// Rate of the account, in requests per second.
const RATE_PER_S: f64 = 200.0;
/// Burst of the account, in requests.
const BURST_REQUESTS: f64 = 100.0;
/// Load as a fraction of the rate, in scenarios without overload.
const NORMAL_LOAD: f64 = 0.8;

/// Load of one account and events in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// The load balancer sends most requests to two vms.
    Uneven,
    /// The account sends ten times its rate.
    Flood,
    /// The vm that serves most of the account, and so holds most of its rate, crashes and restarts.
    HolderDies,
    /// The platform is down for half an hour, during which every vm is replaced once.
    Outage,
}

/// Event in the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    /// Time of the event, since the start of the simulation.
    pub at: Duration,
    /// Kind of the event.
    pub kind: EventKind,
}

/// Kind of an event; vms are given by their index.
#[derive(Debug, Clone, Copy)]
pub enum EventKind {
    /// A vm stops without a handover.
    Crash(usize),
    /// A vm hands over what it holds, where the strategy allows it, and stops.
    Leave(usize),
    /// A vm starts again as a new incarnation.
    Start(usize),
    /// The platform comes up (`true`) or goes down (`false`).
    Platform(bool),
}

/// Parameters of a scenario.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of vms.
    pub vms: usize,
    /// Rate of the account, in requests per second.
    pub rate: f64,
    /// Burst of the account, in requests.
    pub burst: f64,
    /// Requests that the account sends per second.
    pub load_per_s: f64,
    /// Relative share of the requests that each vm receives.
    pub weights: Vec<f64>,
    /// Length of the simulation in virtual time.
    pub duration: Duration,
    /// Events in order of time.
    pub events: Vec<Event>,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 4] = [Self::Uneven, Self::Flood, Self::HolderDies, Self::Outage];

    /// Returns the parameters of the scenario.
    #[must_use]
    pub fn plan(self) -> Plan {
        let base = Plan {
            vms: VMS,
            rate: RATE_PER_S,
            burst: BURST_REQUESTS,
            load_per_s: RATE_PER_S * NORMAL_LOAD,
            weights: vec![1.0; VMS],
            duration: Duration::from_mins(2),
            events: Vec::new(),
        };
        match self {
            Self::Uneven => Plan {
                weights: vec![8.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0],
                ..base
            },
            Self::Flood => Plan {
                load_per_s: RATE_PER_S * 10.0,
                ..base
            },
            Self::HolderDies => Plan {
                weights: vec![20.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0],
                events: vec![
                    event(30, EventKind::Crash(0)),
                    event(50, EventKind::Start(0)),
                ],
                ..base
            },
            Self::Outage => Plan {
                duration: Duration::from_mins(35),
                events: outage(),
                ..base
            },
        }
    }
}

/// Returns the events of an outage in which vms of even index shut down in order and others crash.
fn outage() -> Vec<Event> {
    let mut events = vec![event(60, EventKind::Platform(false))];
    for vm in 0..VMS {
        let at = 120 + 200 * u64::try_from(vm).unwrap_or_default();
        let stop = if vm.is_multiple_of(2) {
            EventKind::Leave(vm)
        } else {
            EventKind::Crash(vm)
        };
        events.push(event(at, stop));
        events.push(event(at + 20, EventKind::Start(vm)));
    }
    events.push(event(1_860, EventKind::Platform(true)));
    events
}

fn event(secs: u64, kind: EventKind) -> Event {
    Event {
        at: Duration::from_secs(secs),
        kind,
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Uneven => "uneven balancing",
            Self::Flood => "ten times the rate",
            Self::HolderDies => "holder dies",
            Self::Outage => "platform outage",
        })
    }
}
