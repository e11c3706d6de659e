//! Client of the steward's local endpoint.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use futures::SinkExt;
use futures::StreamExt;
use mustardbay_policy::bundle::BundleVersion;
use mustardbay_policy::view::FleetView;
use mustardbay_wire::CodecError;
use mustardbay_wire::DrawTokens;
use mustardbay_wire::FromSteward;
use mustardbay_wire::GrantTokens;
use mustardbay_wire::LocalHello;
use mustardbay_wire::MessageStream;
use mustardbay_wire::ToSteward;
use mustardbay_wire::UpstreamHealth;
use mustardbay_wire::ViewUpdate;
use mustardbay_wire::framed;
use mustardbay_wire::from_steward;
use mustardbay_wire::to_steward;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::merge;

/// Delay before another attempt to connect to the steward.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of queued messages to the steward; further ones are dropped.
const MAX_OUTBOX_MESSAGES: usize = 1024;

type Socket = MessageStream<TcpStream, ToSteward, FromSteward>;
type PendingDraws = Mutex<HashMap<u64, oneshot::Sender<GrantTokens>>>;

/// Connection to the local steward that reconnects automatically; clones share it.
#[derive(Debug, Clone)]
pub struct StewardLink {
    shared: Arc<Shared>,
    outbox: mpsc::Sender<to_steward::Body>,
}

#[derive(Debug)]
struct Shared {
    view: ArcSwapOption<FleetView>,
    changes: watch::Sender<u64>,
    pending_draws: PendingDraws,
    next_request: AtomicU64,
}

impl StewardLink {
    /// Starts a background task that connects, and reconnects until all clones are dropped.
    ///
    /// `program` is `entry` or `pool`; `incarnation` is the start time of the process, in
    /// nanoseconds since the Unix epoch.
    pub fn start(address: impl Into<String>, program: &str, incarnation: u64) -> Self {
        let (outbox, inbox) = mpsc::channel(MAX_OUTBOX_MESSAGES);
        let shared = Arc::new(Shared {
            view: ArcSwapOption::empty(),
            changes: watch::Sender::new(0),
            pending_draws: Mutex::default(),
            next_request: AtomicU64::new(1),
        });
        let hello = LocalHello {
            program: program.to_owned(),
            incarnation,
        };
        tokio::spawn(keep_connected(
            address.into(),
            hello,
            Arc::clone(&shared),
            inbox,
        ));
        Self { shared, outbox }
    }

    /// Returns the latest view, or `None` before the first bundle has been received.
    #[must_use]
    pub fn view(&self) -> Option<Arc<FleetView>> {
        let view = self.shared.view.load_full()?;
        (view.bundle.version > BundleVersion(0)).then_some(view)
    }

    /// Returns a receiver that is notified of every new view; its value counts the views.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    /// Requests tokens; returns `None` if the request could not be sent or the connection was lost.
    ///
    /// `spent` is the number of tokens of earlier grants that were spent or discarded.
    pub async fn draw(
        &self,
        account: impl Into<String>,
        wanted: u64,
        spent: u64,
    ) -> Option<GrantTokens> {
        let request = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
        let (reply, recv) = oneshot::channel();
        self.shared.lock_pending_draws().insert(request, reply);
        let draw = DrawTokens {
            request,
            account: account.into(),
            wanted,
            spent,
        };
        if self.outbox.try_send(to_steward::Body::Draw(draw)).is_err() {
            self.shared.lock_pending_draws().remove(&request);
            return None;
        }
        recv.await.ok()
    }

    /// Reports the health of an upstream; the report is dropped if the outbox is full.
    pub fn report(&self, health: UpstreamHealth) {
        if self
            .outbox
            .try_send(to_steward::Body::Health(health))
            .is_err()
        {
            tracing::debug!(event = "health_report_dropped");
        }
    }
}

impl Shared {
    fn lock_pending_draws(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<GrantTokens>>> {
        self.pending_draws
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn receive(&self, message: FromSteward) {
        match message.body {
            Some(from_steward::Body::View(update)) => self.apply(&update),
            Some(from_steward::Body::Grant(grant)) => self.complete_draw(grant),
            None => {}
        }
    }

    fn complete_draw(&self, grant: GrantTokens) {
        let Some(reply) = self.lock_pending_draws().remove(&grant.request) else {
            return;
        };
        if reply.send(grant).is_err() {
            tracing::debug!(event = "grant_unclaimed");
        }
    }

    fn apply(&self, update: &ViewUpdate) {
        let old = self.view.load_full();
        match merge::merge(old.as_deref(), update) {
            Ok(view) => {
                self.view.store(Some(Arc::new(view)));
                self.changes.send_modify(|count| *count += 1);
            }
            Err(e) => tracing::error!(event = "view_rejected", error = %e),
        }
    }
}

async fn keep_connected(
    address: String,
    hello: LocalHello,
    shared: Arc<Shared>,
    mut inbox: mpsc::Receiver<to_steward::Body>,
) {
    loop {
        match TcpStream::connect(&address).await {
            Ok(stream) => {
                tracing::info!(event = "steward_connected", address);
                let closed = exchange_messages(stream, &hello, &shared, &mut inbox).await;
                shared.lock_pending_draws().clear();
                match closed {
                    Ok(Closed::LinkDropped) => return,
                    Ok(Closed::StewardClosed) => tracing::warn!(event = "steward_lost", address),
                    Err(e) => tracing::warn!(event = "steward_lost", address, error = %e),
                }
            }
            Err(e) => tracing::debug!(event = "steward_unreachable", address, error = %e),
        }
        // Discards messages that were not sent and fails the draws that wait for a reply.
        while inbox.try_recv().is_ok() {}
        shared.lock_pending_draws().clear();
        if inbox.is_closed() {
            return;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Reason for which a connection to the steward ended without an error.
enum Closed {
    /// All clones of the [`StewardLink`] were dropped.
    LinkDropped,
    /// The steward closed the connection.
    StewardClosed,
}

async fn exchange_messages(
    stream: TcpStream,
    hello: &LocalHello,
    shared: &Shared,
    inbox: &mut mpsc::Receiver<to_steward::Body>,
) -> Result<Closed, CodecError> {
    stream.set_nodelay(true)?;
    let mut socket: Socket = framed(stream);
    let hello = to_steward::Body::Hello(hello.clone());
    socket.send(ToSteward { body: Some(hello) }).await?;
    loop {
        tokio::select! {
            message = socket.next() => match message {
                Some(message) => shared.receive(message?),
                None => return Ok(Closed::StewardClosed),
            },
            body = inbox.recv() => match body {
                Some(body) => socket.send(ToSteward { body: Some(body) }).await?,
                None => return Ok(Closed::LinkDropped),
            },
        }
    }
}
