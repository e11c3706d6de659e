//! Periodic refresh of the vm's view of the fleet.
//!
//! A few vms, the readers, read the platform's store. The others ask the reader in their failure domain,
//! then the other readers, and read the store themselves if no reader has a newer snapshot. The number of
//! store calls thus grows with the failure domains, not with the fleet.

mod peers;

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use mustardbay_policy::names::VmName;

use crate::bootstrap::Source;
use crate::bootstrap::first_delay;
use crate::bootstrap::first_source;
use crate::bootstrap::is_list_usable;
use crate::clock::BootInstant;
use crate::fleet::Incarnation;
use crate::fleet::Member;
use crate::latest_view::Adoption;
use crate::latest_view::FleetView;
use crate::latest_view::LatestView;
use crate::link::Links;
use crate::platform::Platform;
use crate::snapshot::Fingerprint;
use crate::snapshot::Snapshot;
use crate::store_backoff::FRESH_AGE;
use crate::store_backoff::RefreshState;
use crate::store_backoff::StoreBackoff;
use crate::vm::refresher::peers::Peers;
use crate::vm::steward::Steward;
use crate::vm::steward::ViewChanged;
use crate::vm_lease::VmLease;
use crate::vm_metrics::VmMetrics;

/// Delay after a successful refresh.
///
/// A new configuration is in force within two of these delays plus the time to transfer it.
const REFRESH_INTERVAL: Duration = Duration::from_millis(900);
/// Shortest delay after a successful refresh.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Successful refreshes within the time for which a view may be acted on.
///
/// A view from another vm is as old as that vm's delay when it arrives, and one refresh may fail.
const REFRESHES_PER_TTL: u32 = 4;
/// Maximum delay after a failed refresh.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Other vms that are asked in one round if neither the readers nor the store answer.
const PEERS_PER_ROUND: usize = 3;

/// Dependencies of the refresher.
pub(super) struct Deps {
    pub(super) me: VmName,
    pub(super) incarnation: Incarnation,
    /// When the process started.
    pub(super) started: BootInstant,
    pub(super) latest_view: Arc<LatestView>,
    pub(super) links: Arc<Links>,
    pub(super) platform: Arc<dyn Platform>,
    pub(super) vm_lease: Arc<VmLease>,
    pub(super) vm_metrics: Arc<VmMetrics>,
    pub(super) steward: ActorRef<Steward>,
    /// Age up to which a view may be acted on.
    pub(super) view_ttl: Duration,
}

/// State of the refresh loop.
struct Refresher {
    deps: Deps,
    peers: Peers,
    round: usize,
    /// Member list that was read before the first view.
    listed: Option<Arc<Vec<Member>>>,
    /// Until when the store settles after it came back from an older copy.
    settles_at: BootInstant,
    /// Whether the last read of the store succeeded.
    reachable: bool,
    backoff: StoreBackoff,
}

/// Starts the refresh loop.
pub(super) fn start(deps: Deps) {
    let mut refresher = Refresher {
        peers: Peers::new(Arc::clone(&deps.links)),
        deps,
        round: 0,
        listed: None,
        settles_at: BootInstant::default(),
        reachable: true,
        backoff: StoreBackoff::default(),
    };
    tokio::spawn(async move {
        loop {
            let succeeded = refresher.round().await;
            tokio::time::sleep(refresher.delay_after(succeeded)).await;
        }
    });
}

/// Returns the delay after a successful refresh, so that a view is renewed before it is too old.
fn refresh_interval(view_ttl: Duration) -> Duration {
    (view_ttl / REFRESHES_PER_TTL).clamp(MIN_REFRESH_INTERVAL, REFRESH_INTERVAL)
}

impl Refresher {
    /// Returns the delay before the next round.
    fn delay_after(&self, succeeded: bool) -> Duration {
        let settling = self.settles_at.since(BootInstant::now());
        if settling > Duration::ZERO {
            return settling;
        }
        match (succeeded, self.deps.latest_view.view()) {
            (true, _) => refresh_interval(self.deps.view_ttl),
            (false, Some(_)) => MAX_RETRY_DELAY,
            (false, None) => first_delay(self.round).min(MAX_RETRY_DELAY),
        }
    }

    /// Refreshes the view from the store or other vms; returns whether it succeeded.
    async fn round(&mut self) -> bool {
        self.round += 1;
        let Some(view) = self.deps.latest_view.view() else {
            return self.first_round().await;
        };
        let Some(assignment) = self.deps.latest_view.assignment() else {
            return self.read_store().await;
        };
        let members = Arc::clone(&view.snapshot.members);
        let readers = assignment.readers_for(&self.deps.me);
        let reads = readers.iter().any(|member| member.vm == self.deps.me);
        let now = BootInstant::now();
        let refresh_state = RefreshState {
            is_reader: reads,
            age: view.age(now),
            renewed: self.deps.vm_lease.renewed(),
        };
        let paused = self.backoff.is_active(&refresh_state, now);
        if reads && !paused && self.read_store().await {
            return true;
        }
        if self.ask_any(&readers, &view).await {
            return true;
        }
        if !reads && !paused && self.read_store().await {
            return true;
        }
        let others: Vec<&Member> = members.iter().collect();
        let others = self.peers_for_round(&others);
        self.ask_any(&others, &view).await
    }

    /// Fetches the first snapshot from the store or other vms; returns whether it succeeded.
    async fn first_round(&mut self) -> bool {
        let Some(members) = self.initial_members().await else {
            return false;
        };
        match first_source(&members, &self.deps.me, self.round) {
            Source::Wait => false,
            Source::Store => self.read_store().await,
            Source::Vms(vms) => {
                let Some((view, vm)) = self.peers.ask_first(vms).await else {
                    return false;
                };
                self.deps.adopt(view, vm.as_str()).await;
                true
            }
        }
    }

    /// Returns the member list that a first round uses, read from the store if the last one is outdated.
    async fn initial_members(&mut self) -> Option<Arc<Vec<Member>>> {
        if let Some(listed) = &self.listed
            && is_list_usable(listed, &self.deps.me, self.round)
        {
            return Some(Arc::clone(listed));
        }
        let members = match self.deps.platform.members().await {
            Ok(members) => Arc::new(members),
            Err(e) => {
                self.deps.vm_metrics.store_call("members", "failed");
                tracing::debug!(event = "members_not_read", error = %e);
                return None;
            }
        };
        self.deps.vm_metrics.store_call("members", "ok");
        self.deps.note_kept_place(&members);
        self.listed = Some(Arc::clone(&members));
        Some(members)
    }

    async fn read_store(&mut self) -> bool {
        let asked = BootInstant::now();
        let snapshot = match self.deps.platform.snapshot().await {
            Ok(snapshot) => snapshot,
            Err(e) => {
                self.deps.vm_metrics.store_call("survey", "failed");
                self.backoff.on_failure(BootInstant::now());
                if self.reachable {
                    tracing::info!(event = "store_lost", error = %e);
                    self.reachable = false;
                }
                return false;
            }
        };
        self.deps.vm_metrics.store_call("survey", "ok");
        self.backoff.on_answer();
        if !self.reachable {
            tracing::info!(event = "store_back");
            self.reachable = true;
        }
        match self.fingerprint(&snapshot) {
            Ok(fingerprint) => {
                let view = FleetView {
                    snapshot,
                    fingerprint,
                    asked,
                    settled: false,
                };
                if let Adoption::Settling(until) = self.deps.adopt(view, "store").await {
                    self.settles_at = until;
                }
                true
            }
            Err(e) => {
                tracing::error!(event = "snapshot_not_encoded", error = %e);
                false
            }
        }
    }

    /// Returns the fingerprint of a snapshot, or the current view's if the snapshot is the same.
    fn fingerprint(&self, snapshot: &Snapshot) -> Result<Fingerprint, serde_json::Error> {
        match self.deps.latest_view.view() {
            Some(view) if view.snapshot.ptr_eq(snapshot) => Ok(view.fingerprint),
            _ => snapshot.fingerprint(),
        }
    }

    /// Returns a few of the vms, different ones in each round.
    fn peers_for_round<'a>(&self, all: &[&'a Member]) -> Vec<&'a Member> {
        let count = PEERS_PER_ROUND.min(all.len());
        (0..count)
            .map(|index| all[(self.round * PEERS_PER_ROUND + index) % all.len()])
            .collect()
    }

    /// Asks vms in turn until the view is fresh; returns whether it became so.
    async fn ask_any(&self, members: &[&Member], view: &FleetView) -> bool {
        let mut known = view.clone();
        for member in members {
            if member.vm == self.deps.me {
                continue;
            }
            let Some(newer) = self.peers.ask(member, &known).await else {
                continue;
            };
            known = newer.clone();
            self.deps.adopt(newer, member.vm.as_str()).await;
            if known.age(BootInstant::now()) < FRESH_AGE {
                return true;
            }
        }
        false
    }
}

impl Deps {
    /// Records that the entry of this vm's previous process is still listed, so its place was kept.
    fn note_kept_place(&self, members: &Arc<Vec<Member>>) {
        let previous = members.iter().find(|member| member.vm == self.me);
        if previous.is_some_and(|previous| previous.incarnation != self.incarnation) {
            self.vm_lease
                .keep_membership(self.started, Arc::clone(members));
        }
    }

    async fn adopt(&self, view: FleetView, source: &str) -> Adoption {
        let version = view.snapshot.configuration.version;
        let era = view.snapshot.era;
        let age = BootInstant::now().since(view.asked);
        let adoption = self.latest_view.adopt(view);
        match adoption {
            Adoption::NewVersion => {
                tracing::info!(event = "configuration_in_force", version = %version, source,
                    age_ms = age.as_millis());
            }
            Adoption::SameVersion => {}
            Adoption::Settling(until) => {
                tracing::warn!(event = "store_settling", era = era.0, version = %version, source,
                    left_ms = until.since(BootInstant::now()).as_millis());
                return adoption;
            }
            Adoption::Stale => {
                tracing::info!(event = "snapshot_old", version = %version, source);
            }
        }
        if self.steward.tell(ViewChanged).await.is_err() {
            tracing::error!(event = "steward_gone");
        }
        adoption
    }
}
