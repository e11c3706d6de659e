//! Strategies to enforce an account's rate limit across the fleet.

use std::fmt;

use super::arrivals::Arrival;
use super::central_bucket::CentralBucket;
use super::escrow::Escrow;
use super::escrow::ReclaimPolicy;
use super::scenario::Event;
use super::scenario::Plan;
use super::static_split::StaticSplit;
use super::tally::Outcome;

/// Strategy to enforce an account's rate limit across the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Every vm has a fixed, equal share.
    Static,
    /// One vm holds the only token bucket.
    Central,
    /// Vms lend each other parts of the rate; one vm takes over the parts of a lost owner.
    Escrow,
    /// As [`Self::Escrow`], but one leader divides a lost owner's parts among all vms, in epochs.
    EscrowLeader,
}

impl Strategy {
    /// Every strategy.
    pub const ALL: [Self; 4] = [
        Self::Static,
        Self::Central,
        Self::Escrow,
        Self::EscrowLeader,
    ];

    pub(super) fn start(self, plan: &Plan, seed: u64) -> State {
        match self {
            Self::Static => State::Static(StaticSplit::new(plan)),
            Self::Central => State::Central(CentralBucket::new(plan)),
            Self::Escrow => State::Escrow(Box::new(Escrow::new(
                plan,
                seed,
                ReclaimPolicy::HashedSuccessor,
            ))),
            Self::EscrowLeader => State::Escrow(Box::new(Escrow::new(
                plan,
                seed,
                ReclaimPolicy::DividedByLeader,
            ))),
        }
    }
}

impl fmt::Display for Strategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Static => "static split",
            Self::Central => "central bucket",
            Self::Escrow => "escrow",
            Self::EscrowLeader => "escrow, one leader",
        })
    }
}

/// State of one strategy during a simulation.
#[derive(Debug)]
pub(super) enum State {
    Static(StaticSplit),
    Central(CentralBucket),
    Escrow(Box<Escrow>),
}

impl State {
    pub(super) fn on_event(&mut self, event: &Event) {
        match self {
            Self::Static(split) => split.on_event(event),
            Self::Central(central) => central.on_event(event),
            Self::Escrow(escrow) => escrow.on_event(event),
        }
    }

    pub(super) fn serve(&mut self, arrival: &Arrival) -> Outcome {
        match self {
            Self::Static(split) => split.serve(arrival),
            Self::Central(central) => central.serve(arrival),
            Self::Escrow(escrow) => escrow.serve(arrival),
        }
    }
}
