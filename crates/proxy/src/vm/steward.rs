//! Actor that applies this vm's assignment and monitors the primaries of its groups.

mod granting;
mod predecessor;
mod promotion;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::Reply;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use mustardbay_process::timer::Timer;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;
use tokio_util::task::AbortOnDropHandle;

use crate::budget::Budget;
use crate::clock::BootInstant;
use crate::fleet::Assignment;
use crate::fleet::EvacuationChange;
use crate::fleet::Evacuations;
use crate::group::Event;
use crate::group::Failover;
use crate::latest_view::FleetView;
use crate::latest_view::LatestView;
use crate::link::Links;
use crate::link_handler::LinkHandler;
use crate::platform::LeaseId;
use crate::platform::Platform;
use crate::pool::Input;
use crate::runner;
use crate::runner::Contacts;
use crate::runner::PoolHandle;
use crate::runner::Probe;
use crate::snapshot::Snapshot;
use crate::vm::steward::granting::Granting;
use crate::vm::steward::predecessor::StopResult;
use crate::vm_lease::VmLease;
use crate::vm_metrics::VmMetrics;
use crate::wire::Wire;

/// Time between two checks of the primaries.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Dependencies of the steward.
pub(super) struct Deps {
    pub(super) me: VmName,
    pub(super) domain: DomainName,
    pub(super) latest_view: Arc<LatestView>,
    pub(super) handler: Arc<LinkHandler>,
    pub(super) links: Arc<Links>,
    pub(super) vm_lease: Arc<VmLease>,
    pub(super) platform: Arc<dyn Platform>,
    pub(super) vm_metrics: Arc<VmMetrics>,
    pub(super) budget: Arc<Budget>,
    pub(super) timer: Timer,
    /// Time from the start of an evacuation until nothing reaches the domain's upstreams.
    pub(super) evacuation: Duration,
}

/// Pool and failover of one group.
struct WatchedGroup {
    pool: PoolHandle,
    failover: Failover,
    home: bool,
    /// Lease under which the promotion duty was last claimed.
    lease: Option<LeaseId>,
    /// Release of the duty after this vm was the home.
    given_up: Option<AbortOnDropHandle<()>>,
}

impl WatchedGroup {
    /// Begins or ends the monitoring of the group's primary, by this vm's rank among the group's vms.
    fn set_rank(
        &mut self,
        deps: &Arc<Deps>,
        group: &GroupName,
        rank: Option<usize>,
        connections: u32,
    ) {
        let home = rank == Some(0);
        if self.home == home {
            return;
        }
        tracing::info!(event = "home_changed", group = %group, home, rank, connections);
        self.home = home;
        let ended = std::mem::take(&mut self.failover);
        let given_up = promotion::give_up_duty(deps, group.clone(), &ended);
        self.given_up = (!home).then_some(given_up);
    }
}

/// Applies this vm's assignment and monitors the primaries of the groups it is home of.
#[derive(Actor)]
pub(crate) struct Steward {
    deps: Arc<Deps>,
    start_pool: fn(GroupName, &Deps) -> PoolHandle,
    groups: BTreeMap<GroupName, WatchedGroup>,
    granting: Granting,
    evacuations: Evacuations,
}

/// Starts the steward of a vm.
pub(super) fn start<W: Wire>(deps: Deps) -> ActorRef<Steward> {
    let mut ticks = deps.timer.every(CHECK_INTERVAL);
    let steward = Steward::spawn(Steward {
        evacuations: Evacuations::new(deps.evacuation),
        deps: Arc::new(deps),
        start_pool: |group, deps| {
            let handler = Arc::clone(&deps.handler);
            let vm_metrics = Arc::clone(&deps.vm_metrics);
            let budget = Arc::clone(&deps.budget);
            let domain = deps.domain.clone();
            runner::start::<W>(group, domain, handler, vm_metrics, budget, &deps.timer)
        },
        groups: BTreeMap::new(),
        granting: Granting::default(),
    });
    let ticked = steward.clone();
    tokio::spawn(async move {
        while ticks.recv().await.is_some() {
            if ticked.tell(CheckPrimaries).await.is_err() {
                return;
            }
        }
    });
    steward
}

/// Returns the state of the vm for a dump.
pub(super) async fn dump(steward: &ActorRef<Steward>) -> Value {
    match steward.ask(Dump).await {
        Ok(DumpReply(state)) => state,
        Err(e) => json!({ "error": e.to_string() }),
    }
}

/// The latest view has changed.
pub(super) struct ViewChanged;

/// The primaries are due for a check.
struct CheckPrimaries;

/// Contacts of a pool with its upstreams.
struct ContactsReceived(GroupName, Contacts);

/// Result of a failover's action.
pub(super) struct ActionDone(GroupName, Event);

/// Result of asking a vm that granted rates before this one to stop.
struct PredecessorStopped(VmName, StopResult);

/// Request for the state of the vm.
struct Dump;

/// State of the vm.
#[derive(Reply)]
struct DumpReply(Value);

impl Message<ViewChanged> for Steward {
    type Reply = ();

    async fn handle(&mut self, _msg: ViewChanged, ctx: &mut Context<Self, ()>) {
        if let Some(view) = self.deps.latest_view.view() {
            self.apply_view(&view, ctx.actor_ref());
        }
    }
}

impl Message<CheckPrimaries> for Steward {
    type Reply = ();

    async fn handle(&mut self, _msg: CheckPrimaries, ctx: &mut Context<Self, ()>) {
        if self.granting.is_outdated(&self.deps.vm_lease) {
            self.update_grants();
        }
        for (group, watched) in self.groups.iter().filter(|(_, watched)| watched.home) {
            let (reply, contacts) = oneshot::channel();
            if watched.pool.probes.send(Probe::Contacts(reply)).is_err() {
                tracing::error!(event = "pool_gone", group = %group);
                continue;
            }
            let steward = ctx.actor_ref().clone();
            let group = group.clone();
            tokio::spawn(async move {
                if let Ok(contacts) = contacts.await
                    && steward
                        .tell(ContactsReceived(group, contacts))
                        .await
                        .is_err()
                {
                    tracing::debug!(event = "steward_gone");
                }
            });
        }
    }
}

impl Message<ContactsReceived> for Steward {
    type Reply = ();

    async fn handle(&mut self, msg: ContactsReceived, ctx: &mut Context<Self, ()>) {
        let ContactsReceived(group, contacts) = msg;
        let Some(watched) = self.groups.get_mut(&group).filter(|watched| watched.home) else {
            return;
        };
        let now = BootInstant::now();
        let lease = self.deps.vm_lease.lease();
        if lease != watched.lease || !self.deps.vm_lease.is_valid(now) {
            watched.lease = lease;
            watched.failover.discard_token();
        }
        let action = watched
            .failover
            .tick(contacts.primary.as_ref(), &contacts.upstreams, now);
        if watched.failover.take_kept_paused() {
            self.deps.vm_metrics.promotion_step("keep_paused");
            tracing::warn!(event = "replicas_kept_paused", group = %group,
                statuses = %contacts.statuses());
        }
        if let Some(unmet) = watched.failover.take_unmet() {
            self.deps.vm_metrics.promotion_step("put_off");
            tracing::warn!(event = "promotion_put_off", group = %group, unmet = ?unmet,
                statuses = %contacts.statuses());
        }
        if let Some(action) = action {
            self.start_action(&group, action, Some(&contacts), ctx.actor_ref());
        }
    }
}

impl Message<ActionDone> for Steward {
    type Reply = ();

    async fn handle(&mut self, msg: ActionDone, ctx: &mut Context<Self, ()>) {
        let ActionDone(group, event) = msg;
        let Some(watched) = self.groups.get_mut(&group) else {
            return;
        };
        let action = watched.failover.handle(event, BootInstant::now());
        tracing::info!(event = "succession_step", group = %group, happened = ?event, next = ?action);
        if let Some(action) = action {
            self.start_action(&group, action, None, ctx.actor_ref());
        }
    }
}

impl Message<PredecessorStopped> for Steward {
    type Reply = ();

    async fn handle(&mut self, msg: PredecessorStopped, _ctx: &mut Context<Self, ()>) {
        let PredecessorStopped(vm, result) = msg;
        self.granting.release(&vm, &result);
        self.update_grants();
        let remainders = match result {
            StopResult::HandedOver(remainders) => remainders,
            StopResult::Ended | StopResult::Unknown => Vec::new(),
        };
        tracing::info!(event = "authority_stopped", vm = %vm, handed_over = remainders.len());
        let now = BootInstant::now();
        self.deps.handler.authority(|rates| {
            for (account, remainder) in remainders {
                rates.take_over(&account, remainder, now);
            }
        });
    }
}

impl Message<Dump> for Steward {
    type Reply = DumpReply;

    async fn handle(&mut self, _msg: Dump, _ctx: &mut Context<Self, DumpReply>) -> DumpReply {
        let now = BootInstant::now();
        let mut pools = BTreeMap::new();
        for (group, watched) in &self.groups {
            let (reply, state) = oneshot::channel();
            if watched.pool.probes.send(Probe::State(reply)).is_ok()
                && let Ok(state) = state.await
            {
                pools.insert(group.clone(), state);
            }
        }
        let view = self.deps.latest_view.view();
        DumpReply(json!({
            "vm": self.deps.me,
            "lease_holds": self.deps.vm_lease.is_valid(now),
            "configuration_version": view.as_ref().map(|view| view.snapshot.configuration.version),
            "belief_age_ms": view.as_ref().map(|view| view.age(now).as_millis()),
            "evacuated": self.evacuations.state(now),
            "members": view.as_ref().map(|view| Arc::clone(&view.snapshot.members)),
            "granting": self.granting.dump(now),
            "pools": pools,
        }))
    }
}

impl Steward {
    /// Applies a view's assignment to the pools and the granted rates.
    fn apply_view(&mut self, view: &FleetView, steward: &ActorRef<Self>) {
        let snapshot = &view.snapshot;
        let deps = Arc::clone(&self.deps);
        let Some(assignment) = deps.latest_view.assignment() else {
            return;
        };
        self.update_evacuations(view);
        let status_account: Option<AccountName> =
            snapshot.configuration.accounts.keys().next().cloned();
        for (group, limits) in &snapshot.configuration.groups {
            let ranking = assignment.ranking(group);
            let rank = ranking.rank_of(&deps.me);
            let connections = ranking.share(&deps.me, limits.connections);
            let cold_limit = ranking.cold_limit(&deps.me, limits.cold_rate);
            let home = rank == Some(0);
            let upstreams = self.upstreams_of(group, snapshot);
            let watched = self.watched_group(group);
            watched.set_rank(&deps, group, rank, connections);
            watched.failover.set_sync_replicas(limits.sync_replicas);
            watched.pool.tell(group, upstreams);
            let share = Input::Share {
                connections,
                cold_limit,
                home,
                status_account: status_account.clone(),
            };
            watched.pool.tell(group, share);
        }
        self.update_dropped_groups(snapshot);
        self.assign_accounts(view, &assignment, steward);
    }

    /// Withdraws from groups that the configuration has dropped.
    ///
    /// Transactions that were open then go on there, so their pools still hear of the upstreams.
    fn update_dropped_groups(&mut self, snapshot: &Snapshot) {
        let configured = &snapshot.configuration.groups;
        let groups = self.groups.keys();
        let dropped = groups.filter(|group| !configured.contains_key(*group));
        let dropped = dropped.map(|group| (group.clone(), self.upstreams_of(group, snapshot)));
        let dropped: Vec<(GroupName, Input)> = dropped.collect();
        let deps = Arc::clone(&self.deps);
        for (group, upstreams) in dropped {
            let watched = self.watched_group(&group);
            watched.set_rank(&deps, &group, None, 0);
            watched.pool.tell(&group, upstreams);
            let nothing_new = Input::Share {
                connections: 0,
                cold_limit: None,
                home: false,
                status_account: None,
            };
            watched.pool.tell(&group, nothing_new);
        }
    }

    /// Returns the list of a group's registered upstreams, with the evacuated domains.
    fn upstreams_of(&self, group: &GroupName, snapshot: &Snapshot) -> Input {
        Input::Upstreams {
            registrations: snapshot.upstreams.get(group).cloned().unwrap_or_default(),
            evacuated: self.evacuations.cutoffs(),
        }
    }

    /// Updates which domains are evacuated.
    fn update_evacuations(&mut self, view: &FleetView) {
        let listed = &view.snapshot.evacuated;
        let age_ms = view.age(BootInstant::now()).as_millis();
        for change in self.evacuations.update(listed, view.asked) {
            match change {
                EvacuationChange::Started(domain, cutoff) => {
                    let serves = cutoff.0.since(BootInstant::now());
                    tracing::info!(event = "evacuation_started", domain = %domain, age_ms,
                        serves_ms = serves.as_millis());
                }
                EvacuationChange::Ended(domain) => {
                    tracing::info!(event = "evacuation_ended", domain = %domain, age_ms);
                }
            }
        }
    }

    /// Updates which accounts this vm grants, and asks the vms that granted them before to stop.
    fn assign_accounts(
        &mut self,
        view: &FleetView,
        assignment: &Arc<Assignment>,
        steward: &ActorRef<Self>,
    ) {
        let listed_at = view.asked;
        self.deps
            .handler
            .authority(|rates| rates.note_list(listed_at));
        let me = &self.deps.me;
        let lease = &self.deps.vm_lease;
        let predecessors = self.granting.assign(&view.snapshot, assignment, me, lease);
        for predecessor in predecessors {
            tracing::info!(event = "authority_awaited", vm = %predecessor.vm,
                accounts = predecessor.accounts.len());
            let links = Arc::clone(&self.deps.links);
            let steward = steward.clone();
            tokio::spawn(async move {
                let result = predecessor.stop(&links, listed_at).await;
                if result != StopResult::Unknown
                    && steward
                        .tell(PredecessorStopped(predecessor.vm, result))
                        .await
                        .is_err()
                {
                    tracing::debug!(event = "steward_gone");
                }
            });
        }
        self.update_grants();
    }

    fn update_grants(&mut self) {
        let deps = &self.deps;
        self.granting.update(&deps.vm_lease, &deps.handler);
    }

    fn watched_group(&mut self, group: &GroupName) -> &mut WatchedGroup {
        let deps = &self.deps;
        let start_pool = self.start_pool;
        self.groups.entry(group.clone()).or_insert_with(|| {
            let pool = start_pool(group.clone(), deps);
            deps.handler.add_pool(group.clone(), pool.inbox.clone());
            WatchedGroup {
                pool,
                failover: Failover::new(),
                home: false,
                lease: None,
                given_up: None,
            }
        })
    }
}
