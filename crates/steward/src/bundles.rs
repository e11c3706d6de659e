//! Actor that fetches newer bundles from the platform or other stewards and publishes them.

mod fetch;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_platform::Platform;
use mustardbay_policy::bundle::ChunkHash;
use mustardbay_policy::bundle::ChunkSet;
use mustardbay_policy::bundle::Head;
use mustardbay_policy::bundle::SignerId;
use mustardbay_policy::names::VmName;
use mustardbay_wire::Chunks;
use mustardbay_wire::peer_message::Body;

use crate::description::Description;
use crate::outbox::Outbox;
use crate::outbox::Outgoing;
use crate::view_publisher::ViewPublisher;

/// Key of the bundle head in the platform's store.
pub(crate) const HEAD_KEY: &str = "mustardbay/bundle/head";
/// Time without new chunks after which the next source is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of chunks that one request names or one reply returns.
const MAX_FETCH_CHUNKS: usize = 128;
/// Maximum number of sources kept for a pending bundle.
const MAX_SOURCES: usize = 8;

/// Actor that holds the chunks of the bundle in force and of a newer, incomplete one.
#[derive(Debug)]
pub(crate) struct Bundles {
    args: BundlesArgs,
    chunks: ChunkSet,
    head: Option<Head>,
    pending: Option<Pending>,
    itself: ActorRef<Self>,
}

/// Arguments of the actor.
#[derive(Debug)]
pub(crate) struct BundlesArgs {
    pub(crate) signers: Vec<SignerId>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) publisher: Arc<ViewPublisher>,
    pub(crate) outbox: Outbox,
}

/// Newer bundle of which chunks are still missing.
#[derive(Debug)]
struct Pending {
    head: Head,
    sources: Vec<Source>,
    attempt: usize,
    asked_at: Option<Instant>,
}

/// Origin of a bundle head, where its chunks can be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Source {
    /// The platform.
    Platform,
    /// Another steward.
    Peer(VmName),
}

impl Actor for Bundles {
    type Args = BundlesArgs;
    type Error = Infallible;

    async fn on_start(args: BundlesArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            args,
            chunks: ChunkSet::default(),
            head: None,
            pending: None,
            itself: actor_ref,
        })
    }
}

impl Bundles {
    /// Starts fetching a bundle if its head is newer and signed by a configured signer.
    fn on_head(&mut self, head: Head, source: Source) {
        if head.version <= self.args.publisher.version() {
            return;
        }
        if let Some(pending) = &mut self.pending
            && pending.head == head
        {
            if !pending.sources.contains(&source) && pending.sources.len() < MAX_SOURCES {
                pending.sources.push(source);
            }
            return;
        }
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.head.version >= head.version)
        {
            return;
        }
        if let Err(e) = head.verify(&self.args.signers) {
            tracing::error!(event = "bundle_head_rejected", ?source, error = %e);
            return;
        }
        self.pending = Some(Pending {
            head,
            sources: vec![source],
            attempt: 0,
            asked_at: None,
        });
        self.fetch_or_activate();
    }

    /// Activates the pending bundle, or asks the next source for missing chunks.
    fn fetch_or_activate(&mut self) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let missing = self.chunks.missing(&pending.head.root);
        if missing.is_empty() {
            self.activate();
            return;
        }
        if let Some(asked_at) = pending.asked_at {
            if asked_at.elapsed() < FETCH_TIMEOUT {
                return;
            }
            pending.attempt += 1;
        }
        pending.asked_at = Some(Instant::now());
        let source = &pending.sources[pending.attempt % pending.sources.len()];
        let wanted: Vec<ChunkHash> = missing.into_iter().take(MAX_FETCH_CHUNKS).collect();
        match source {
            Source::Platform => {
                let platform = Arc::clone(&self.args.platform);
                tokio::spawn(fetch::from_platform(platform, wanted, self.itself.clone()));
            }
            Source::Peer(vm) => {
                let pull = fetch::pull_message(&wanted);
                self.args.outbox.send(Outgoing::To(vm.clone(), pull));
            }
        }
    }

    /// Checks the pending bundle and publishes it.
    fn activate(&mut self) {
        let Some(Pending { head, .. }) = self.pending.take() else {
            return;
        };
        let version = head.version;
        let bundle = match self.chunks.assemble(&head.root, version) {
            Ok(bundle) => bundle,
            Err(e) => {
                tracing::error!(event = "bundle_rejected", %version, error = %e);
                return;
            }
        };
        if let Err(e) = bundle.check() {
            tracing::error!(event = "bundle_rejected", %version, error = %e);
            return;
        }
        self.chunks.retain(&head.root);
        self.head = Some(head);
        if self.args.publisher.publish_bundle(bundle) {
            tracing::info!(event = "bundle_in_force", %version);
            self.args.outbox.send(Outgoing::Bundle);
        }
    }

    fn on_chunks(&mut self, chunks: Vec<Bytes>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let wanted = self.chunks.missing(&pending.head.root);
        let mut added = false;
        for chunk in chunks {
            if !wanted.contains(&ChunkHash::of(&chunk)) {
                continue;
            }
            match self.chunks.add(chunk.to_vec()) {
                Ok(_) => added = true,
                Err(e) => tracing::warn!(event = "bundle_chunk_rejected", error = %e),
            }
        }
        if added {
            pending.asked_at = None;
            self.fetch_or_activate();
        }
    }
}

/// Bundle head read from the platform.
#[derive(Debug)]
pub(crate) struct PlatformHead(pub(crate) Head);

impl Message<PlatformHead> for Bundles {
    type Reply = ();

    async fn handle(&mut self, msg: PlatformHead, _ctx: &mut Context<Self, ()>) {
        self.on_head(msg.0, Source::Platform);
    }
}

/// Bundle head sent by another steward, as JSON.
#[derive(Debug)]
pub(crate) struct PeerHead {
    pub(crate) vm: VmName,
    pub(crate) json: Bytes,
}

impl Message<PeerHead> for Bundles {
    type Reply = ();

    async fn handle(&mut self, msg: PeerHead, _ctx: &mut Context<Self, ()>) {
        match serde_json::from_slice(&msg.json) {
            Ok(head) => self.on_head(head, Source::Peer(msg.vm)),
            Err(e) => tracing::warn!(event = "bundle_head_rejected", vm = %msg.vm, error = %e),
        }
    }
}

/// Chunks received from the platform or another steward.
#[derive(Debug)]
pub(crate) struct ChunksReceived(pub(crate) Vec<Bytes>);

impl Message<ChunksReceived> for Bundles {
    type Reply = ();

    async fn handle(&mut self, msg: ChunksReceived, _ctx: &mut Context<Self, ()>) {
        self.on_chunks(msg.0);
    }
}

/// Periodic tick.
#[derive(Debug)]
pub(crate) struct Tick;

impl Message<Tick> for Bundles {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, _ctx: &mut Context<Self, ()>) {
        self.fetch_or_activate();
    }
}

/// Request of another steward for the head of the bundle in force.
#[derive(Debug)]
pub(crate) struct PullHead {
    pub(crate) vm: VmName,
}

impl Message<PullHead> for Bundles {
    type Reply = ();

    async fn handle(&mut self, msg: PullHead, _ctx: &mut Context<Self, ()>) {
        let json = self.head.as_ref().map(serde_json::to_vec);
        if let Some(Ok(json)) = json {
            let body = Body::Head(Bytes::from(json));
            self.args.outbox.send(Outgoing::To(msg.vm, body));
        }
    }
}

/// Request of another steward for chunks.
#[derive(Debug)]
pub(crate) struct PullChunks {
    pub(crate) vm: VmName,
    pub(crate) hashes: Vec<String>,
}

impl Message<PullChunks> for Bundles {
    type Reply = ();

    async fn handle(&mut self, msg: PullChunks, _ctx: &mut Context<Self, ()>) {
        let hashes = msg.hashes.iter().take(MAX_FETCH_CHUNKS);
        let known = hashes.filter_map(|hash| self.chunks.get(&hash.parse().ok()?));
        let chunks: Vec<Bytes> = known
            .map(|chunk| Bytes::from(chunk.bytes.clone()))
            .collect();
        if !chunks.is_empty() {
            let body = Body::Chunks(Chunks { chunks });
            self.args.outbox.send(Outgoing::To(msg.vm, body));
        }
    }
}

/// Request for the actor's state on the admin endpoint.
#[derive(Debug)]
pub(crate) struct Dump;

impl Message<Dump> for Bundles {
    type Reply = Description;

    async fn handle(&mut self, _msg: Dump, _ctx: &mut Context<Self, Description>) -> Description {
        let pending = self.pending.as_ref();
        Description(serde_json::json!({
            "version": self.args.publisher.version(),
            "root": self.head.as_ref().map(|head| head.root),
            "signer": self.head.as_ref().map(|head| &head.signer),
            "pending_version": pending.map(|pending| pending.head.version),
        }))
    }
}
