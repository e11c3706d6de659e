//! Actor that reads vms, the bundle head and group records from the platform.

mod parse;
mod subject;
mod tracker;

use std::sync::Arc;
use std::time::Instant;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_platform::Entry;
use mustardbay_platform::Platform;
use mustardbay_policy::names::VmName;

use crate::bundles::Bundles;
use crate::bundles::PlatformHead;
use crate::description::Description;
use crate::groups;
use crate::groups::Groups;
use crate::peers;
use crate::peers::Peers;
use crate::view_publisher::ViewPublisher;
use subject::Subject;
use tracker::Tracker;

/// Actor that lists and watches the platform's store and forwards changes.
#[derive(Debug)]
pub(crate) struct Directory {
    args: DirectoryArgs,
    trackers: Vec<Tracker>,
    vms: Vec<Entry>,
    itself: ActorRef<Self>,
}

/// Arguments of the actor.
#[derive(Debug)]
pub(crate) struct DirectoryArgs {
    pub(crate) vm: VmName,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) publisher: Arc<ViewPublisher>,
    pub(crate) bundles: ActorRef<Bundles>,
    pub(crate) groups: ActorRef<Groups>,
    pub(crate) peers: ActorRef<Peers>,
}

impl Actor for Directory {
    type Args = DirectoryArgs;
    type Error = Infallible;

    async fn on_start(args: DirectoryArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        let now = Instant::now();
        Ok(Self {
            args,
            trackers: Subject::ALL
                .map(|subject| Tracker::new(subject, now))
                .into(),
            vms: Vec::new(),
            itself: actor_ref,
        })
    }
}

impl Directory {
    /// Starts a read, and a watch if this vm is a watcher, for each subject that is due.
    fn tick(&mut self) {
        let now = Instant::now();
        let watches = subject::is_watcher(&self.args.vm, &self.args.publisher.view().vms);
        for tracker in &mut self.trackers {
            if tracker.begin(now) {
                let platform = Arc::clone(&self.args.platform);
                let itself = self.itself.clone();
                tokio::spawn(tracker::run(tracker.subject(), watches, platform, itself));
            }
        }
    }

    async fn on_entries(&mut self, subject: Subject, entries: Vec<Entry>, complete: bool) {
        match subject {
            Subject::Vms => self.on_vms(entries, complete).await,
            Subject::Head => self.on_heads(entries).await,
            Subject::Groups => self.on_groups(entries).await,
        }
    }

    async fn on_vms(&mut self, entries: Vec<Entry>, complete: bool) {
        if complete {
            self.vms = entries;
        } else {
            self.vms
                .retain(|known| entries.iter().all(|entry| entry.key != known.key));
            self.vms.extend(entries);
        }
        let listed = self.vms.iter().filter_map(parse::vm).collect();
        if self
            .args
            .peers
            .tell(peers::VmsListed(listed))
            .await
            .is_err()
        {
            tracing::debug!(event = "peers_gone");
        }
    }

    async fn on_heads(&self, entries: Vec<Entry>) {
        for head in entries.iter().filter_map(parse::head) {
            if self.args.bundles.tell(PlatformHead(head)).await.is_err() {
                tracing::debug!(event = "bundles_gone");
            }
        }
    }

    async fn on_groups(&self, entries: Vec<Entry>) {
        for (group, recorded) in entries.iter().filter_map(parse::group) {
            let received = groups::RecordReceived { group, recorded };
            if self.args.groups.tell(received).await.is_err() {
                tracing::debug!(event = "groups_gone");
            }
        }
    }
}

/// Periodic tick.
#[derive(Debug)]
pub(crate) struct Tick;

impl Message<Tick> for Directory {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, _ctx: &mut Context<Self, ()>) {
        self.tick();
    }
}

/// Entries of a subject that were listed or changed.
#[derive(Debug)]
struct EntriesRead {
    subject: Subject,
    entries: Vec<Entry>,
    /// Whether these are all entries of the subject, not only changed ones.
    complete: bool,
}

impl Message<EntriesRead> for Directory {
    type Reply = ();

    async fn handle(&mut self, msg: EntriesRead, _ctx: &mut Context<Self, ()>) {
        self.on_entries(msg.subject, msg.entries, msg.complete)
            .await;
    }
}

/// Deletion of a key that a watch reported.
#[derive(Debug)]
struct KeyDeleted {
    subject: Subject,
    key: String,
}

impl Message<KeyDeleted> for Directory {
    type Reply = ();

    async fn handle(&mut self, msg: KeyDeleted, _ctx: &mut Context<Self, ()>) {
        if let Subject::Vms = msg.subject {
            let mut remaining = std::mem::take(&mut self.vms);
            remaining.retain(|entry| entry.key != msg.key);
            self.on_vms(remaining, true).await;
        }
    }
}

/// End of a read and of the watch that followed it.
#[derive(Debug)]
struct RunEnded {
    subject: Subject,
    answered: bool,
    watched: bool,
}

impl Message<RunEnded> for Directory {
    type Reply = ();

    async fn handle(&mut self, msg: RunEnded, _ctx: &mut Context<Self, ()>) {
        let now = Instant::now();
        for tracker in &mut self.trackers {
            if tracker.subject() == msg.subject {
                tracker.end(msg.answered, msg.watched, now);
            }
        }
    }
}

/// Request for the actor's state on the admin endpoint.
#[derive(Debug)]
pub(crate) struct Dump;

impl Message<Dump> for Directory {
    type Reply = Description;

    async fn handle(&mut self, _msg: Dump, _ctx: &mut Context<Self, Description>) -> Description {
        let now = Instant::now();
        let trackers = self.trackers.iter().map(|tracker| tracker.dump(now));
        Description(trackers.collect())
    }
}
