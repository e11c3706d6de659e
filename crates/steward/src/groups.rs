//! Actor around the monitors of the groups: it carries out their decisions.

mod effects;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_policy::group::Bounds;
use mustardbay_policy::group::Command;
use mustardbay_policy::group::Duty;
use mustardbay_policy::group::Event;
use mustardbay_policy::group::Monitor;
use mustardbay_policy::group::Proposer;
use mustardbay_policy::group::Recorded;
use mustardbay_policy::names::GroupName;

use crate::board::Board;
use crate::description::Description;
pub(crate) use effects::Effects;
pub(crate) use effects::RECORD_PREFIX;
pub(crate) use effects::parse_record;

/// Actor that owns the monitors of all groups.
#[derive(Debug)]
pub(crate) struct Groups {
    me: Proposer,
    start: Instant,
    board: Arc<Board>,
    effects: Arc<Effects>,
    monitors: BTreeMap<GroupName, Monitor>,
    itself: ActorRef<Self>,
}

/// What the actor starts with.
#[derive(Debug)]
pub(crate) struct GroupsArgs {
    pub(crate) me: Proposer,
    pub(crate) board: Arc<Board>,
    pub(crate) effects: Arc<Effects>,
}

impl Actor for Groups {
    type Args = GroupsArgs;
    type Error = Infallible;

    async fn on_start(args: GroupsArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            me: args.me,
            start: Instant::now(),
            board: args.board,
            effects: args.effects,
            monitors: BTreeMap::new(),
            itself: actor_ref,
        })
    }
}

impl Groups {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Aligns the monitors with the bundle and the live virtual machines.
    fn align(&mut self) {
        let now = self.now();
        let view = self.board.view();
        let bounds = Bounds::from(&view.bundle.limits);
        for group in &view.bundle.groups {
            let monitor = self
                .monitors
                .entry(group.name.clone())
                .or_insert_with(|| Monitor::new(self.me.clone(), group.clone(), bounds, now));
            monitor.configure(group.clone(), bounds);
            monitor.assign(Duty::of(&self.me.vm, &group.name, &view.vms), now);
        }
        let configured = |name: &GroupName| view.bundle.groups.iter().any(|g| g.name == *name);
        self.monitors.retain(|name, _| configured(name));
    }

    fn handle_event(&mut self, group: &GroupName, event: Event) {
        let now = self.now();
        let Some(monitor) = self.monitors.get_mut(group) else {
            return;
        };
        let commands = monitor.handle(event, now);
        for command in commands {
            self.carry_out(group, command);
        }
    }

    fn carry_out(&self, group: &GroupName, command: Command) {
        if let Command::Announce(recorded) = &command {
            self.announce(group, recorded);
            return;
        }
        let Some(monitor) = self.monitors.get(group) else {
            return;
        };
        let effects = Arc::clone(&self.effects);
        let itself = self.itself.clone();
        let config = monitor.group().clone();
        tokio::spawn(async move {
            let group = config.name.clone();
            let Some(event) = effects.carry_out(&config, command).await else {
                return;
            };
            if itself.tell(Report { group, event }).await.is_err() {
                tracing::debug!(event = "groups_gone");
            }
        });
    }

    fn announce(&self, group: &GroupName, recorded: &Recorded) {
        let state = recorded.record.state();
        let term = state.term;
        let primary = state.primary.as_ref().map_or("", |name| name.as_str());
        if self.board.post_group(group, state.clone()) {
            tracing::info!(event = "group_changed", group = %group, term = %term, primary);
        }
    }
}

/// Event for the monitor of a group.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) group: GroupName,
    pub(crate) event: Event,
}

impl Message<Report> for Groups {
    type Reply = ();

    async fn handle(&mut self, msg: Report, _ctx: &mut Context<Self, ()>) {
        self.handle_event(&msg.group, msg.event);
    }
}

/// Passage of time.
#[derive(Debug)]
pub(crate) struct Tick;

impl Message<Tick> for Groups {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, _ctx: &mut Context<Self, ()>) {
        self.align();
        let names: Vec<_> = self.monitors.keys().cloned().collect();
        for name in names {
            self.handle_event(&name, Event::Tick);
        }
    }
}

/// Request for a description of the monitors.
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
        Description(monitors.into())
    }
}
