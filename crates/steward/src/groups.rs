//! Actor that runs the group monitors and executes their commands.

mod applied_view;
mod command_executor;
mod history;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_policy::group::Command;
use mustardbay_policy::group::Event;
use mustardbay_policy::group::Monitor;
use mustardbay_policy::group::MonitorCandidates;
use mustardbay_policy::group::MonitorTiming;
use mustardbay_policy::group::Proposer;
use mustardbay_policy::group::StoredRecord;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use mustardbay_policy::position::Term;
use mustardbay_wire::AskOpinion;
use mustardbay_wire::peer_message::Body;

use crate::description::Description;
use crate::outbox::Outbox;
use crate::outbox::Outgoing;
use crate::records;
use crate::records::Records;
use crate::stats::Stats;
use crate::view_publisher::ViewPublisher;
pub use applied_view::AppliedView;
pub(crate) use command_executor::CommandExecutor;
pub(crate) use command_executor::RECORD_PREFIX;
pub(crate) use command_executor::parse_record;
use history::History;

/// Actor that owns the monitors of all groups.
#[derive(Debug)]
pub(crate) struct Groups {
    proposer: Proposer,
    start: Instant,
    publisher: Arc<ViewPublisher>,
    executor: Arc<CommandExecutor>,
    records: Arc<Records>,
    outbox: Outbox,
    history: History,
    stats: Arc<Stats>,
    monitors: BTreeMap<GroupName, Monitor>,
    applied: AppliedView,
    assigned: Vec<GroupName>,
    itself: ActorRef<Self>,
}

/// Arguments of the actor.
#[derive(Debug)]
pub(crate) struct GroupsArgs {
    pub(crate) proposer: Proposer,
    pub(crate) publisher: Arc<ViewPublisher>,
    pub(crate) executor: Arc<CommandExecutor>,
    pub(crate) records: Arc<Records>,
    pub(crate) outbox: Outbox,
    pub(crate) stats: Arc<Stats>,
}

impl Actor for Groups {
    type Args = GroupsArgs;
    type Error = Infallible;

    async fn on_start(args: GroupsArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            proposer: args.proposer,
            start: Instant::now(),
            applied: AppliedView::default(),
            assigned: Vec::new(),
            publisher: args.publisher,
            executor: args.executor,
            records: args.records,
            outbox: args.outbox,
            history: History::default(),
            stats: args.stats,
            monitors: BTreeMap::new(),
            itself: actor_ref,
        })
    }
}

impl Groups {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds, removes and configures monitors after a change of the bundle or the live vms.
    fn configure_monitors(&mut self) {
        let view = self.publisher.view();
        if !self.applied.apply(&view) {
            return;
        }
        self.assigned.clear();
        let now = self.now();
        let candidates = MonitorCandidates::new(&view.vms);
        let timing = MonitorTiming::from(&view.bundle.limits);
        let configured: BTreeSet<&GroupName> = view.bundle.groups.iter().map(|g| &g.name).collect();
        self.monitors.retain(|name, _| configured.contains(name));
        for group in &view.bundle.groups {
            let name = &group.name;
            let duty = candidates.duty(&self.proposer.vm, name);
            if duty.is_some() {
                self.assigned.push(name.clone());
            }
            if let Some(monitor) = self.monitors.get_mut(name) {
                monitor.configure(group.clone(), timing);
                monitor.assign(duty, now);
                continue;
            }
            let mut monitor = Monitor::new(self.proposer.clone(), group.clone(), timing, now);
            monitor.assign(duty, now);
            self.monitors.insert(name.clone(), monitor);
            if let Some(recorded) = self.records.get(name) {
                self.handle_event(name, Event::Record(Some(recorded)));
            }
        }
    }

    fn handle_event(&mut self, group: &GroupName, event: Event) {
        let now = self.now();
        let Some(monitor) = self.monitors.get_mut(group) else {
            return;
        };
        let commands = monitor.handle(event, now);
        for command in commands {
            self.execute(group, command);
        }
    }

    fn execute(&self, group: &GroupName, command: Command) {
        match command {
            Command::Announce(recorded) => self.announce(group, &recorded),
            Command::AskOpinion(vm, term) => {
                let ask = AskOpinion {
                    group: group.as_str().to_owned(),
                    term: term.0,
                };
                self.outbox.send(Outgoing::To(vm, Body::AskOpinion(ask)));
            }
            command => self.spawn_command(group, command),
        }
    }

    /// Executes a command in the background and sends the resulting event to the monitor.
    fn spawn_command(&self, group: &GroupName, command: Command) {
        let Some(monitor) = self.monitors.get(group) else {
            return;
        };
        let executor = Arc::clone(&self.executor);
        let itself = self.itself.clone();
        let config = monitor.group().clone();
        tokio::spawn(async move {
            let group = config.name.clone();
            let Some(event) = executor.execute(&config, command).await else {
                return;
            };
            if itself.tell(MonitorEvent { group, event }).await.is_err() {
                tracing::debug!(event = "groups_gone");
            }
        });
    }

    fn announce(&self, group: &GroupName, recorded: &StoredRecord) {
        let state = recorded.record.state();
        let term = state.term;
        let primary = state.primary.as_ref().map_or("", |name| name.as_str());
        tracing::info!(event = "group_changed", group = %group, term = %term, primary);
        if !self.publisher.publish_group(group, state.clone()) {
            tracing::debug!(event = "group_already_published", group = %group);
        }
        self.store_and_send(group, recorded);
    }

    /// Stores a record and sends it to other stewards if it is new.
    fn store_and_send(&self, group: &GroupName, recorded: &StoredRecord) {
        if self.records.put(group, recorded)
            && let Some(update) = records::to_wire(group, recorded)
        {
            self.outbox.send(Outgoing::Group(update));
        }
    }
}

/// Event to be handled by the monitor of a group.
#[derive(Debug)]
pub(crate) struct MonitorEvent {
    pub(crate) group: GroupName,
    pub(crate) event: Event,
}

impl Message<MonitorEvent> for Groups {
    type Reply = ();

    async fn handle(&mut self, msg: MonitorEvent, _ctx: &mut Context<Self, ()>) {
        self.history.record(&msg.group, &msg.event);
        match &msg.event {
            Event::Swapped(recorded) => self.stats.count_swap(&recorded.record),
            Event::Promoted(..) => self.stats.count_promotion(),
            _ => {}
        }
        self.handle_event(&msg.group, msg.event);
    }
}

/// Group record received from another steward or read from the platform.
#[derive(Debug)]
pub(crate) struct RecordReceived {
    pub(crate) group: GroupName,
    pub(crate) recorded: StoredRecord,
}

impl Message<RecordReceived> for Groups {
    type Reply = ();

    async fn handle(&mut self, msg: RecordReceived, _ctx: &mut Context<Self, ()>) {
        if self.monitors.contains_key(&msg.group) {
            self.handle_event(&msg.group, Event::Record(Some(msg.recorded)));
        } else {
            self.store_and_send(&msg.group, &msg.recorded);
        }
    }
}

/// Request of another monitor for an opinion on whether a term's primary is unreachable.
#[derive(Debug)]
pub(crate) struct OpinionRequested {
    pub(crate) vm: VmName,
    pub(crate) group: GroupName,
    pub(crate) term: Term,
}

impl Message<OpinionRequested> for Groups {
    type Reply = ();

    async fn handle(&mut self, msg: OpinionRequested, _ctx: &mut Context<Self, ()>) {
        let opinion = self.monitors.get(&msg.group);
        let opinion = opinion.and_then(|monitor| monitor.opinion(self.now()));
        let Some((term, unreachable)) = opinion.filter(|(term, _)| *term == msg.term) else {
            return;
        };
        let answer = mustardbay_wire::Opinion {
            group: msg.group.as_str().to_owned(),
            term: term.0,
            silent: unreachable,
        };
        self.outbox
            .send(Outgoing::To(msg.vm, Body::Opinion(answer)));
    }
}

/// Opinion of another monitor on whether a term's primary is unreachable.
#[derive(Debug)]
pub(crate) struct OpinionReceived {
    pub(crate) vm: VmName,
    pub(crate) group: GroupName,
    pub(crate) term: Term,
    pub(crate) unreachable: bool,
}

impl Message<OpinionReceived> for Groups {
    type Reply = ();

    async fn handle(&mut self, msg: OpinionReceived, _ctx: &mut Context<Self, ()>) {
        let event = Event::Opinion {
            vm: msg.vm,
            term: msg.term,
            unreachable: msg.unreachable,
        };
        self.handle_event(&msg.group, event);
    }
}

/// Periodic tick.
#[derive(Debug)]
pub(crate) struct Tick;

impl Message<Tick> for Groups {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, _ctx: &mut Context<Self, ()>) {
        self.configure_monitors();
        for name in self.assigned.clone() {
            self.handle_event(&name, Event::Tick);
        }
    }
}

/// Request for the actor's state on the admin endpoint.
#[derive(Debug)]
pub(crate) struct Dump;

impl Message<Dump> for Groups {
    type Reply = Description;

    async fn handle(
        &mut self,
        _message: Dump,
        _ctx: &mut Context<Self, Description>,
    ) -> Description {
        let now = self.now();
        let monitors = self.monitors.iter();
        let monitors: serde_json::Map<_, _> = monitors
            .map(|(name, monitor)| (name.as_str().to_owned(), monitor.dump(now)))
            .collect();
        Description(serde_json::json!({
            "monitors": monitors,
            "history": self.history.dump(),
        }))
    }
}
