//! Positions and load of each group's upstreams, as observed by this entry.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::route::ObservedPosition;
use mustardbay_policy::route::Positions;
use mustardbay_policy::route::PrimaryOutage;
use mustardbay_policy::session::PositionRounds;
use mustardbay_wire::UpstreamPosition;
use tokio::sync::Notify;

/// Positions and load of one group's upstreams, as observed by this entry.
#[derive(Debug, Default)]
pub(crate) struct GroupObservations {
    /// Last known positions.
    pub positions: Positions,
    /// Rounds of position reads that sessions share.
    pub position_rounds: PositionRounds,
    /// Outage of the primary, which determines retry times.
    pub outage: PrimaryOutage,
    load: HashMap<UpstreamName, u32>,
}

impl GroupObservations {
    /// Returns the number of batches and open transactions of this entry on an upstream.
    pub fn load(&self, upstream: &UpstreamName) -> u32 {
        self.load.get(upstream).copied().unwrap_or_default()
    }
}

/// Observations of one group, shared by its sessions.
#[derive(Debug, Default)]
pub(crate) struct SharedObservations {
    observations: Mutex<GroupObservations>,
    /// Notified when a round of position reads ends.
    pub confirmed: Notify,
}

impl SharedObservations {
    /// Locks the observations; the lock must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, GroupObservations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the positions that came with an answer.
    pub fn observe(&self, positions: &[UpstreamPosition]) {
        if positions.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut observations = self.lock();
        for reported in positions {
            let Some(applied) = reported.applied else {
                continue;
            };
            let observed = ObservedPosition {
                applied: applied.into(),
                age: Duration::from_millis(reported.age_ms),
                at: now,
            };
            let upstream = UpstreamName::from(reported.upstream.as_str());
            observations.positions.observe(upstream, observed);
        }
    }

    /// Adds one to the load of an upstream until the returned guard is dropped.
    pub fn add_load(self: &Arc<Self>, upstream: &UpstreamName) -> LoadGuard {
        *self.lock().load.entry(upstream.clone()).or_default() += 1;
        LoadGuard {
            observations: Arc::clone(self),
            upstream: upstream.clone(),
        }
    }
}

/// Guard that counts one batch or transaction as load of an upstream.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    observations: Arc<SharedObservations>,
    upstream: UpstreamName,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(load) = self.observations.lock().load.get_mut(&self.upstream) {
            *load = load.saturating_sub(1);
        }
    }
}

/// Observations of every group that a session has used.
#[derive(Debug, Default)]
pub(crate) struct ObservedGroups {
    groups: Mutex<HashMap<GroupName, Arc<SharedObservations>>>,
}

impl ObservedGroups {
    /// Returns the observations of a group, creating them on first use.
    pub fn get(&self, group: &GroupName) -> Arc<SharedObservations> {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(observations) = groups.get(group) {
            return Arc::clone(observations);
        }
        let observations = Arc::<SharedObservations>::default();
        groups.insert(group.clone(), Arc::clone(&observations));
        observations
    }

    /// Returns every group with its observations.
    pub fn all(&self) -> Vec<(GroupName, Arc<SharedObservations>)> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups
            .iter()
            .map(|(name, observations)| (name.clone(), Arc::clone(observations)))
            .collect()
    }
}
