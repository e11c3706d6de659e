//! Newest view of the fleet on this vm, with its age.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;

use crate::clock::BootInstant;
use crate::configuration::Regions;
use crate::fleet::Assignment;
use crate::fleet::HomeRegions;
use crate::fleet::MemberList;
use crate::platform::Era;
use crate::snapshot::Fingerprint;
use crate::snapshot::Snapshot;
use crate::sync::lock;

/// Time after the first answer of a restored store in which what its copy lacks is written again.
///
/// Operators and upstreams write again within 2 s of the store's return, and vms join again with
/// their next renewal.
pub const RESTORE_SETTLE: Duration = Duration::from_secs(2);

/// Earlier views that are remembered, so that other vms are sent only what has changed since.
const REMEMBERED_VIEWS: usize = 8;

/// Snapshot of the store, with the time at which it was requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetView {
    /// Contents of the store.
    pub snapshot: Snapshot,
    /// Fingerprint of the snapshot.
    pub fingerprint: Fingerprint,
    /// Time of the request; the snapshot's contents were in force then or later.
    pub asked: BootInstant,
    /// Whether another vm had known the view's era for [`RESTORE_SETTLE`] when it was read.
    pub settled: bool,
}

impl FleetView {
    /// Returns the time since the snapshot was requested.
    #[must_use]
    pub fn age(&self, now: BootInstant) -> Duration {
        now.since(self.asked)
    }
}

/// Newest view of the process, shared by all sessions.
#[derive(Debug, Default)]
pub struct LatestView {
    view: ArcSwapOption<FleetView>,
    member_list: Mutex<MemberList>,
    home_regions: Mutex<HomeRegions>,
    /// Assignment of work that follows from the member list and the view's groups.
    assignment: ArcSwapOption<Assignment>,
    /// Notified of every view that is adopted.
    adopted: Notify,
    /// Last views with different fingerprints, the newest last.
    earlier: Mutex<VecDeque<Arc<FleetView>>>,
    /// Newest era of the store that any view was read in, with the request of the first such view.
    newest_era: Mutex<Option<(Era, BootInstant)>>,
}

/// Result of adopting a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adoption {
    /// The view is in force and has a newer configuration.
    NewVersion,
    /// The view is in force and has the same configuration.
    SameVersion,
    /// The store has come back from an older copy; its views are adopted from this time on.
    Settling(BootInstant),
    /// The view is older than the one in force and was dropped.
    Stale,
}

impl LatestView {
    /// Creates the state of a vm that knows no view yet, in a fleet whose domains are in `regions`.
    #[must_use]
    pub fn new(regions: Regions) -> Self {
        Self {
            home_regions: Mutex::new(HomeRegions::new(regions)),
            ..Self::default()
        }
    }

    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> Option<Arc<FleetView>> {
        self.view.load_full()
    }

    /// Returns an earlier view by its fingerprint, if it is remembered.
    #[must_use]
    pub fn earlier_view(&self, fingerprint: Fingerprint) -> Option<Arc<FleetView>> {
        let earlier = lock(&self.earlier);
        let mut found = earlier.iter().rev();
        found.find(|view| view.fingerprint == fingerprint).cloned()
    }

    /// Tells whether a view's era had been known for [`RESTORE_SETTLE`] when it was read.
    #[must_use]
    pub fn is_settled(&self, view: &FleetView) -> bool {
        let newest_era = lock(&self.newest_era);
        let since = newest_era.filter(|(era, _)| *era == view.snapshot.era);
        view.settled || since.is_some_and(|(_, since)| view.asked >= since.after(RESTORE_SETTLE))
    }

    /// Waits for a view younger than `age`; returns `None` after `max_wait`.
    pub async fn wait_for_view(&self, age: Duration, max_wait: Duration) -> Option<Arc<FleetView>> {
        let fresh = async {
            loop {
                let adopted = self.adopted.notified();
                let view = self.view();
                if let Some(view) = view.filter(|view| view.age(BootInstant::now()) < age) {
                    return view;
                }
                adopted.await;
            }
        };
        tokio::time::timeout(max_wait, fresh).await.ok()
    }

    /// Returns the assignment of work that follows from the view in force.
    #[must_use]
    pub fn assignment(&self) -> Option<Arc<Assignment>> {
        self.assignment.load_full()
    }

    /// Adopts a view, unless it, its era or its configuration is older than the one in force.
    ///
    /// A store that has come back from an older copy may lack a configuration, an evacuation or
    /// vms that it had acknowledged. The view in force stays for [`RESTORE_SETTLE`] and ages meanwhile.
    ///
    /// Calls must not overlap; only one task of the process may adopt views.
    pub fn adopt(&self, view: FleetView) -> Adoption {
        let settled_at = self.note_era(view.snapshot.era, view.asked);
        let old = self.view.load_full();
        let Some(old) = old else {
            self.install(view, Duration::ZERO);
            return Adoption::NewVersion;
        };
        let before = old.snapshot.configuration.version;
        let after = view.snapshot.configuration.version;
        let Some(settled_at) = settled_at else {
            return Adoption::Stale;
        };
        let is_settled = view.settled || view.asked >= settled_at;
        if view.snapshot.era > old.snapshot.era && !is_settled {
            return Adoption::Settling(settled_at);
        }
        if after < before || view.asked <= old.asked {
            return Adoption::Stale;
        }
        let gap = view.asked.since(old.asked);
        self.install(view, gap);
        if after > before {
            Adoption::NewVersion
        } else {
            Adoption::SameVersion
        }
    }

    fn remember(&self, view: &Arc<FleetView>) {
        let mut earlier = lock(&self.earlier);
        let last = earlier.back();
        if last.is_some_and(|last| last.fingerprint == view.fingerprint) {
            return;
        }
        if earlier.len() >= REMEMBERED_VIEWS {
            earlier.pop_front();
        }
        earlier.push_back(Arc::clone(view));
    }

    /// Records the era of a view; returns when its views may be adopted, or `None` if it is over.
    fn note_era(&self, era: Era, asked: BootInstant) -> Option<BootInstant> {
        let mut newest_era = lock(&self.newest_era);
        let (newest, since) = match *newest_era {
            Some(known) if known.0 >= era => known,
            Some(_) | None => (era, asked),
        };
        *newest_era = Some((newest, since));
        (newest == era).then(|| since.after(RESTORE_SETTLE))
    }

    /// Puts a view in force that was requested `gap` after the previous one.
    fn install(&self, view: FleetView, gap: Duration) {
        let snapshot = &view.snapshot;
        let members = lock(&self.member_list).update(&snapshot.members, gap, view.asked);
        let home_domains = {
            let mut home_regions = lock(&self.home_regions);
            home_regions.update(&snapshot.upstreams, view.asked);
            home_regions.domains()
        };
        let groups = snapshot.configuration.groups.keys();
        let known = self.assignment.load();
        let same = known
            .as_ref()
            .is_some_and(|known| known.covers(&members, groups.clone(), &home_domains));
        if !same {
            let assignment = Assignment::with_home_domains(members, groups, home_domains);
            self.assignment.store(Some(Arc::new(assignment)));
        }
        let view = Arc::new(view);
        self.remember(&view);
        self.view.store(Some(view));
        self.adopted.notify_waiters();
    }
}
