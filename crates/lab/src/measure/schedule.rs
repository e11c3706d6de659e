//! Schedule of the faults, relative to the length of a run.

use std::time::Duration;

/// Replication lag of the replica that [`Step::LagReplica`] slows down.
pub const LONG_LAG: Duration = Duration::from_secs(3);

/// Step of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Raises the replication lag of one replica to several seconds.
    LagReplica,
    /// Sets the lagging replica back to its normal lag.
    CatchUp,
    /// Kills a primary.
    KillPrimary,
    /// Isolates the domain of the killed primary, which may contain other primaries.
    CutPrimary,
    /// Reconnects the isolated domain.
    Heal,
    /// Kills the programs of a vm during a transaction and restarts them.
    KillProxy,
    /// Takes the platform down.
    PlatformDown,
    /// Brings the platform up again.
    PlatformUp,
}

impl Step {
    /// Returns the name in histories and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::LagReplica => "replica_lags",
            Self::CatchUp => "replica_catches_up",
            Self::KillPrimary => "primary_killed",
            Self::CutPrimary => "primary_cut_off",
            Self::Heal => "partition_healed",
            Self::KillProxy => "proxy_killed",
            Self::PlatformDown => "platform_down",
            Self::PlatformUp => "platform_up",
        }
    }
}

/// Steps with their time in thousandths of the run's length.
const STEPS: [(Step, u32); 8] = [
    (Step::LagReplica, 100),
    (Step::CatchUp, 220),
    (Step::KillPrimary, 280),
    (Step::CutPrimary, 480),
    (Step::Heal, 650),
    (Step::KillProxy, 740),
    (Step::PlatformDown, 850),
    (Step::PlatformUp, 950),
];

/// Returns the steps of a run with their times after its start.
#[must_use]
pub fn steps(length: Duration) -> Vec<(Duration, Step)> {
    let steps = STEPS.iter();
    let steps = steps.map(|(step, thousandths)| (length * *thousandths / 1_000, *step));
    steps.collect()
}
