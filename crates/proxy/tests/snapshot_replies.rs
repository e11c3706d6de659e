//! Snapshots that a vm sends to others when a large fleet starts at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardbay_proxy::clock::BootInstant;
use mustardbay_proxy::configuration::Configuration;
use mustardbay_proxy::configuration::Version;
use mustardbay_proxy::latest_view::FleetView;
use mustardbay_proxy::latest_view::LatestView;
use mustardbay_proxy::link::Ask;
use mustardbay_proxy::link::AskBody;
use mustardbay_proxy::link::AskSnapshot;
use mustardbay_proxy::link::OutgoingReply;
use mustardbay_proxy::link::ReplyBody;
use mustardbay_proxy::link::SnapshotReply;
use mustardbay_proxy::link_handler::LinkHandler;
use mustardbay_proxy::platform::Era;
use mustardbay_proxy::snapshot::Fingerprint;
use mustardbay_proxy::snapshot::Snapshot;
use tokio::sync::mpsc;

/// Vms that ask at once.
const VMS: u64 = 6;

fn view(version: u64) -> FleetView {
    let configuration = Configuration {
        version: Version(version),
        routes: BTreeMap::new(),
        accounts: BTreeMap::new(),
        account_regions: BTreeMap::new(),
        keys: BTreeMap::new(),
        groups: BTreeMap::new(),
        transaction_idle: Duration::from_secs(3),
    };
    let snapshot = Snapshot {
        configuration: Arc::new(configuration),
        upstreams: Arc::default(),
        members: Arc::default(),
        evacuated: Arc::default(),
        era: Era(1),
    };
    FleetView {
        fingerprint: snapshot.fingerprint().expect("it can be encoded"),
        snapshot,
        asked: BootInstant::from_boot(Duration::from_secs(version)),
        settled: false,
    }
}

/// Handler with a link on which snapshots are asked for.
struct Fixture {
    handler: Arc<LinkHandler>,
    latest_view: Arc<LatestView>,
    link: u64,
    replies: mpsc::UnboundedReceiver<OutgoingReply>,
}

impl Fixture {
    fn new() -> Self {
        let latest_view = Arc::new(LatestView::default());
        latest_view.adopt(view(7));
        let window = Duration::from_secs(5);
        let handler = Arc::new(LinkHandler::new(Arc::clone(&latest_view), window));
        let (sender, replies) = mpsc::unbounded_channel();
        let link = handler.open_link(sender);
        Self {
            handler,
            latest_view,
            link,
            replies,
        }
    }

    fn ask(&self, number: u64, fingerprint: Fingerprint, version: u64, whole: bool) {
        let ask = AskSnapshot {
            fingerprint: fingerprint.0,
            version,
            whole,
            max_wait_ms: 0,
        };
        let body = Some(AskBody::Snapshot(ask));
        self.handler.handle(self.link, Ask { number, body });
    }

    async fn reply(&mut self) -> (SnapshotReply, OutgoingReply) {
        let mut outgoing = self.replies.recv().await.expect("a reply");
        match outgoing.reply.body.take() {
            Some(ReplyBody::SnapshotReply(reply)) => (reply, outgoing),
            other => panic!("{other:?}"),
        }
    }
}

/// All transfers at once share the vm's link and come too late; the vms ask others meanwhile.
#[tokio::test]
async fn whole_snapshots_are_sent_a_few_at_a_time() {
    let mut fixture = Fixture::new();
    for number in 0..VMS {
        fixture.ask(number, Fingerprint(0), 0, true);
    }
    let mut unwritten = Vec::new();
    let mut empty = 0;
    for _ in 0..VMS {
        let (reply, outgoing) = fixture.reply().await;
        if reply.snapshot.is_empty() {
            assert_eq!(reply.fingerprint, 0, "nothing is offered");
            empty += 1;
        } else {
            unwritten.push(outgoing);
        }
    }
    assert_eq!((unwritten.len(), empty), (2, 4));
    unwritten.pop();
    fixture.ask(VMS, Fingerprint(0), 0, true);
    let (reply, _) = fixture.reply().await;
    assert!(
        !reply.snapshot.is_empty(),
        "one is written, so there is room"
    );
}

#[tokio::test]
async fn vm_with_a_remembered_view_is_sent_the_changes() {
    let mut fixture = Fixture::new();
    let base = view(7).fingerprint;
    fixture.latest_view.adopt(view(9));
    fixture.ask(1, base, 7, false);
    let (reply, _) = fixture.reply().await;
    assert!(!reply.delta.is_empty());
    assert!(reply.snapshot.is_empty() && reply.topology.is_empty());
    fixture.ask(2, Fingerprint(3), 9, false);
    let (reply, _) = fixture.reply().await;
    assert!(reply.delta.is_empty(), "the other view is not remembered");
    assert!(!reply.topology.is_empty());
}
