//! Actor that reads the platform: virtual machines, bundle and group records.

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

use crate::board::Board;
use crate::bundles::Bundles;
use crate::bundles::PlatformHead;
use crate::description::Description;
use crate::groups;
use crate::groups::Groups;
use crate::peers;
use crate::peers::Peers;
use subject::Subject;
use tracker::Tracker;

/// Actor that keeps up with the platform.
#[derive(Debug)]
pub(crate) struct Directory {
    args: DirectoryArgs,
    trackers: Vec<Tracker>,
    vms: Vec<Entry>,
    itself: ActorRef<Self>,
}

/// What the actor starts with.
#[derive(Debug)]
pub(crate) struct DirectoryArgs {
    pub(crate) vm: VmName,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) board: Arc<Board>,
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
    /// Reads or watches again whatever is due.
    fn tick(&mut self) {
        let now = Instant::now();
        let watches = subject::is_watcher(&self.args.vm, &self.args.board.view().vms);
        for tracker in &mut self.trackers {
            if tracker.begin(now) {
                let platform = Arc::clone(&self.args.platform);
                let itself = self.itself.clone();
                tokio::spawn(tracker::run(tracker.subject(), watches, platform, itself));
            }
        }
    }

    async fn take_in(&mut self, subject: Subject, entries: Vec<Entry>, whole: bool) {
        match subject {
            Subject::Vms => self.take_in_vms(entries, whole).await,
            Subject::Head => self.take_in_heads(entries).await,
            Subject::Groups => self.take_in_groups(entries).await,
        }
    }

    async fn take_in_vms(&mut self, entries: Vec<Entry>, whole: bool) {
        if whole {
            self.vms = entries;
        } else {
            self.vms
                .retain(|known| entries.iter().all(|entry| entry.key != known.key));
            self.vms.extend(entries);
        }
        let listed = self.vms.iter().filter_map(parse::vm).collect();
        if self.args.peers.tell(peers::Listed(listed)).await.is_err() {
            tracing::debug!(event = "peers_gone");
        }
    }

    async fn take_in_heads(&self, entries: Vec<Entry>) {
        for head in entries.iter().filter_map(parse::head) {
            if self.args.bundles.tell(PlatformHead(head)).await.is_err() {
                tracing::debug!(event = "bundles_gone");
            }
        }
    }

    async fn take_in_groups(&self, entries: Vec<Entry>) {
        for (group, recorded) in entries.iter().filter_map(parse::group) {
            let heard = groups::Heard { group, recorded };
            if self.args.groups.tell(heard).await.is_err() {
                tracing::debug!(event = "groups_gone");
            }
        }
    }
}

/// Passage of time.
#[derive(Debug)]
pub(crate) struct Tick;

impl Message<Tick> for Directory {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, _ctx: &mut Context<Self, ()>) {
        self.tick();
    }
}

/// Entries that were read or that changed.
#[derive(Debug)]
struct Read {
    subject: Subject,
    entries: Vec<Entry>,
    /// Whether these are all entries of the subject.
    whole: bool,
}

impl Message<Read> for Directory {
    type Reply = ();

    async fn handle(&mut self, msg: Read, _ctx: &mut Context<Self, ()>) {
        self.take_in(msg.subject, msg.entries, msg.whole).await;
    }
}

/// Key that was deleted.
#[derive(Debug)]
struct Deleted {
    subject: Subject,
    key: String,
}

impl Message<Deleted> for Directory {
    type Reply = ();

    async fn handle(&mut self, msg: Deleted, _ctx: &mut Context<Self, ()>) {
        if let Subject::Vms = msg.subject {
            let mut left = std::mem::take(&mut self.vms);
            left.retain(|entry| entry.key != msg.key);
            self.take_in_vms(left, true).await;
        }
    }
}

/// End of a read and of the watch after it.
#[derive(Debug)]
struct Ended {
    subject: Subject,
    answered: bool,
    watched: bool,
}

impl Message<Ended> for Directory {
    type Reply = ();

    async fn handle(&mut self, msg: Ended, _ctx: &mut Context<Self, ()>) {
        let now = Instant::now();
        for tracker in &mut self.trackers {
            if tracker.subject() == msg.subject {
                tracker.end(msg.answered, msg.watched, now);
            }
        }
    }
}

/// Request for a description of what is read.
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
