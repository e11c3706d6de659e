//! Deployments that are measured.

use std::time::Duration;

use crate::fleet;
use crate::fleet::Layout;
use crate::fleet::UpstreamTiming;

/// Factor on the rates of the accounts; more frequent writes make write gaps more precise.
const RATE_FACTOR: f64 = 2.0;

/// Replication lag of replicas without a fault.
const REPLICA_LAG: Duration = Duration::from_millis(200);

/// Time that a statement takes to run on an upstream.
const STATEMENT_TIME: Duration = Duration::from_millis(2);

/// Deployment to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Klarspråk Tilpasning: readers of a portal, four failure domains.
    Klarsprak,
    /// Chattopadhyay Sathi Calls: alerts and call notes, three failure domains.
    Sathi,
}

impl Deployment {
    /// Every deployment, in the order in which they are measured.
    pub const ALL: [Self; 2] = [Self::Klarsprak, Self::Sathi];

    /// Returns the name on the command line and in results.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Klarsprak => "klarsprak",
            Self::Sathi => "sathi",
        }
    }

    /// Returns the one-way delay between clients and entries.
    #[must_use]
    pub fn client_delay(self) -> Duration {
        match self {
            Self::Klarsprak => Duration::from_millis(3),
            Self::Sathi => Duration::from_millis(1),
        }
    }

    /// Returns the layout of the fleet, with relays and scaled rates.
    #[must_use]
    pub fn layout(self) -> Layout {
        let layout = match self {
            Self::Klarsprak => fleet::klarsprak(),
            Self::Sathi => fleet::sathi(),
        };
        let timing = UpstreamTiming {
            lag: REPLICA_LAG,
            work: STATEMENT_TIME,
            ..layout.upstreams
        };
        let mut layout = layout.with_relays().with_upstreams(timing);
        for account in &mut layout.bundle.accounts {
            account.rate *= RATE_FACTOR;
            account.burst *= RATE_FACTOR;
        }
        layout
    }
}
