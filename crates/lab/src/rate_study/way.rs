//! Ways to hold a rate across the fleet.

use std::fmt;

use super::arrivals::Arrival;
use super::escrow::Escrow;
use super::escrow::Inheritance;
use super::home::Home;
use super::scenario::Fault;
use super::scenario::Plan;
use super::static_split::StaticSplit;
use super::tally::Served;

/// Way to hold a rate across the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Every virtual machine has an equal part for good.
    Static,
    /// One virtual machine counts for all.
    Home,
    /// Parts move by loans; a lost owner's parts are reclaimed by one steward for itself.
    Escrow,
    /// As escrow, but one leader at a time inherits for all, in epochs, and divides what it inherits.
    EscrowLeader,
}

impl Way {
    /// Every way.
    pub const ALL: [Self; 4] = [Self::Static, Self::Home, Self::Escrow, Self::EscrowLeader];

    pub(super) fn start(self, plan: &Plan, seed: u64) -> Shares {
        match self {
            Self::Static => Shares::Static(StaticSplit::new(plan)),
            Self::Home => Shares::Home(Home::new(plan)),
            Self::Escrow => Shares::Escrow(Box::new(Escrow::new(plan, seed, Inheritance::Hashed))),
            Self::EscrowLeader => {
                Shares::Escrow(Box::new(Escrow::new(plan, seed, Inheritance::Leader)))
            }
        }
    }
}

impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Static => "static split",
            Self::Home => "one home",
            Self::Escrow => "escrow",
            Self::EscrowLeader => "escrow, one leader",
        })
    }
}

/// State of one way during a run.
#[derive(Debug)]
pub(super) enum Shares {
    Static(StaticSplit),
    Home(Home),
    Escrow(Box<Escrow>),
}

impl Shares {
    pub(super) fn on_fault(&mut self, fault: &Fault) {
        match self {
            Self::Static(split) => split.on_fault(fault),
            Self::Home(home) => home.on_fault(fault),
            Self::Escrow(escrow) => escrow.on_fault(fault),
        }
    }

    pub(super) fn serve(&mut self, arrival: &Arrival) -> Served {
        match self {
            Self::Static(split) => split.serve(arrival),
            Self::Home(home) => home.serve(arrival),
            Self::Escrow(escrow) => escrow.serve(arrival),
        }
    }
}
