//! What happens to the fleet and to one of its accounts.

use std::fmt;
use std::time::Duration;

/// Virtual machines of the fleet.
const VMS: usize = 7;
/// Rate of the account, in requests a second.
const RATE: f64 = 200.0;
/// Burst of the account, in requests.
const BURST: f64 = 100.0;
/// Share of the rate that is asked for where the load is ordinary.
const ORDINARY: f64 = 0.8;

/// What happens to the fleet and to one of its accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// The balancer sends most requests to two virtual machines.
    Uneven,
    /// The account sends ten times its rate.
    Flood,
    /// A virtual machine dies that serves, and so holds, most of the account.
    HolderDies,
    /// The platform is down for half an hour; every virtual machine is replaced once.
    Outage,
}

/// One event.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// When it happens.
    pub at: Duration,
    /// What happens.
    pub kind: FaultKind,
}

/// Kind of an event.
#[derive(Debug, Clone, Copy)]
pub enum FaultKind {
    /// A virtual machine is lost.
    Die(usize),
    /// A virtual machine hands over what it can and ends.
    Leave(usize),
    /// A virtual machine starts anew.
    Start(usize),
    /// The platform goes down or comes back.
    Platform(bool),
}

/// Scenario in numbers.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Virtual machines.
    pub vms: usize,
    /// Rate of the account.
    pub rate: f64,
    /// Burst of the account.
    pub burst: f64,
    /// Requests a second.
    pub load: f64,
    /// Share of the requests that comes to each virtual machine.
    pub weights: Vec<f64>,
    /// Length.
    pub time: Duration,
    /// Events in order of time.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 4] = [Self::Uneven, Self::Flood, Self::HolderDies, Self::Outage];

    /// Returns the scenario in numbers.
    #[must_use]
    pub fn plan(self) -> Plan {
        let even = Plan {
            vms: VMS,
            rate: RATE,
            burst: BURST,
            load: RATE * ORDINARY,
            weights: vec![1.0; VMS],
            time: Duration::from_mins(2),
            faults: Vec::new(),
        };
        match self {
            Self::Uneven => Plan {
                weights: vec![8.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0],
                ..even
            },
            Self::Flood => Plan {
                load: RATE * 10.0,
                ..even
            },
            Self::HolderDies => Plan {
                weights: vec![20.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0],
                faults: vec![fault(30, FaultKind::Die(0)), fault(50, FaultKind::Start(0))],
                ..even
            },
            Self::Outage => Plan {
                time: Duration::from_mins(35),
                faults: outage(),
                ..even
            },
        }
    }
}

/// Even virtual machines leave in good order, odd ones are lost.
fn outage() -> Vec<Fault> {
    let mut faults = vec![fault(60, FaultKind::Platform(false))];
    for vm in 0..VMS {
        let at = 120 + 200 * u64::try_from(vm).unwrap_or_default();
        let end = if vm.is_multiple_of(2) {
            FaultKind::Leave(vm)
        } else {
            FaultKind::Die(vm)
        };
        faults.push(fault(at, end));
        faults.push(fault(at + 20, FaultKind::Start(vm)));
    }
    faults.push(fault(1_860, FaultKind::Platform(true)));
    faults
}

fn fault(secs: u64, kind: FaultKind) -> Fault {
    Fault {
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
