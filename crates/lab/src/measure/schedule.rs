//! When which fault is brought about, as parts of a run's length.

use std::time::Duration;

/// Lag of the replica that falls behind.
pub const LONG_LAG: Duration = Duration::from_secs(3);

/// Step of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// One replica starts to lag by seconds.
    LagReplica,
    /// It lags as usual again.
    CatchUp,
    /// A primary is killed.
    KillPrimary,
    /// The domain of another group's primary is cut off.
    CutPrimary,
    /// The domain is connected again.
    Heal,
    /// A proxy is killed in the middle of a transaction, then started again.
    KillProxy,
    /// The platform goes down.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
}

impl Step {
    /// Returns the name that the history and the report use.
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

/// Steps with their time in thousandths of the run.
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

/// Returns the steps of a run with their times.
#[must_use]
pub fn steps(length: Duration) -> Vec<(Duration, Step)> {
    let steps = STEPS.iter();
    let steps = steps.map(|(step, thousandths)| (length * *thousandths / 1_000, *step));
    steps.collect()
}
