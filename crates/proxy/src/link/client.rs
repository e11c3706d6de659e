//! Client side of the links to other vms.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use mustardbay_policy::names::VmName;
use mustardbay_wire::framed;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::link::frame::Ask;
use crate::link::frame::AskBody;
use crate::link::frame::Ping;
use crate::link::frame::Reply;
use crate::link::frame::ReplyBody;
use crate::link::reply_watch::LinkCheck;
use crate::link::reply_watch::ReplyWatch;
use crate::link::round_trips::RoundTrips;
use crate::link::round_trips::SharedRoundTrip;
use crate::socket;
use crate::sync::lock;

/// Maximum time to connect: a few round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum wait for a link that another request is opening: a connection within a region.
const MAX_OPENING_WAIT: Duration = Duration::from_millis(60);
/// Number of a link's own pings, which no request has.
const PING_NUMBER: u64 = 0;
/// Time after a failed connection during which the same vm is not tried again.
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Time after a refused connection during which the same vm is not tried again.
///
/// A refusal costs no wait, and a process that is starting listens soon.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_millis(30);

/// Why a request got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The vm cannot be reached; the request was not sent.
    #[error("the vm cannot be reached")]
    NotSent,
    /// The link broke after the request was sent.
    #[error("the link broke before the reply")]
    Lost,
}

type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<ReplyBody>>>>;

/// Link to another vm, or to this vm's own pools.
#[derive(Debug)]
pub struct Link {
    requests: mpsc::UnboundedSender<Ask>,
    pending: Pending,
    next_number: AtomicU64,
    alive: Arc<AtomicBool>,
    silent: watch::Sender<bool>,
    /// Round trip to the vm, if it is in another region.
    round_trip: Option<SharedRoundTrip>,
}

impl Link {
    /// Creates a link whose requests are received from the returned channel.
    ///
    /// The receiver passes replies to [`Link::resolve`].
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Ask>) {
        Self::over(None)
    }

    /// Creates a link to a vm of another region, if `round_trip` is given.
    fn over(round_trip: Option<SharedRoundTrip>) -> (Self, mpsc::UnboundedReceiver<Ask>) {
        let (requests, received) = mpsc::unbounded_channel();
        let link = Self {
            requests,
            pending: Pending::default(),
            next_number: AtomicU64::new(1),
            alive: Arc::new(AtomicBool::new(true)),
            silent: watch::Sender::new(false),
            round_trip,
        };
        (link, received)
    }

    /// Returns a new request number, unique on this link.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether the link is not known to be broken.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::Acquire)
    }

    /// Returns whether the vm has left a ping unanswered; it may be slow, cut off or dead.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        *self.silent.borrow()
    }

    /// Returns the time that the distance adds to a wait for a reply; none within a region.
    #[must_use]
    pub fn added_wait(&self) -> Duration {
        added_wait(self.round_trip.as_ref())
    }

    /// Waits until the vm counts as silent (see [`Link::is_silent`]).
    pub async fn until_silent(&self) {
        let mut silent = self.silent.subscribe();
        if silent.wait_for(|silent| *silent).await.is_err() {
            // The sender is a field of the link, so the channel cannot close here.
            std::future::pending::<()>().await;
        }
    }

    /// Sends a request under a number from [`Link::number`] and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails if the link is broken ([`LinkError::NotSent`]) or breaks before the reply ([`LinkError::Lost`]).
    pub async fn call(&self, number: u64, body: AskBody) -> Result<ReplyBody, LinkError> {
        let (send, reply) = oneshot::channel();
        lock(&self.pending).insert(number, send);
        let request = Ask {
            number,
            body: Some(body),
        };
        if !self.is_alive() || self.requests.send(request).is_err() {
            lock(&self.pending).remove(&number);
            return Err(LinkError::NotSent);
        }
        match reply.await {
            Ok(body) => Ok(body),
            Err(oneshot::error::RecvError { .. }) => Err(LinkError::Lost),
        }
    }

    /// Sends a message that has no reply and abandons the request of the same number, if one is pending.
    ///
    /// On a broken link the message is dropped.
    pub fn tell(&self, number: u64, body: AskBody) {
        lock(&self.pending).remove(&number);
        let request = Ask {
            number,
            body: Some(body),
        };
        if self.requests.send(request).is_err() {
            tracing::debug!(event = "link_gone", number);
        }
    }

    /// Delivers a reply to the pending request of its number; a reply that nobody awaits is dropped.
    pub fn resolve(&self, reply: Reply) {
        let Some(body) = reply.body else {
            return;
        };
        let pending_reply = lock(&self.pending).remove(&reply.number);
        if let Some(pending_reply) = pending_reply
            && pending_reply.send(body).is_err()
        {
            tracing::debug!(event = "reply_unwanted", number = reply.number);
        }
    }

    /// Marks the link as broken and fails every pending request.
    fn mark_broken(&self) {
        self.alive.store(false, Ordering::Release);
        lock(&self.pending).clear();
    }

    fn has_pending(&self) -> bool {
        !lock(&self.pending).is_empty()
    }
}

/// Links of this vm to the other vms, by name.
#[derive(Debug)]
pub struct Links {
    me: VmName,
    own: Arc<Link>,
    others: Mutex<BTreeMap<VmName, LinkState>>,
    round_trips: RoundTrips,
}

/// State of the link to one vm.
#[derive(Debug, Clone)]
enum LinkState {
    Open(SocketAddr, Arc<Link>),
    /// Being opened; the channel closes when the attempt has ended.
    Opening(SocketAddr, watch::Receiver<()>),
    /// Failed; not to be tried before this time.
    Down(SocketAddr, Instant),
}

impl Links {
    /// Creates the links of a vm; `own` is the link to its own pools.
    #[must_use]
    pub fn new(me: VmName, own: Arc<Link>) -> Self {
        Self {
            me,
            own,
            others: Mutex::default(),
            round_trips: RoundTrips::default(),
        }
    }

    /// Returns the links with round trips that lengthen the waits for vms of other regions.
    #[must_use]
    pub fn with_round_trips(self, round_trips: RoundTrips) -> Self {
        Self {
            round_trips,
            ..self
        }
    }

    /// Returns the round trips to the other regions.
    #[must_use]
    pub fn round_trips(&self) -> &RoundTrips {
        &self.round_trips
    }

    /// Returns the time that the distance to a vm adds to a wait for its reply.
    ///
    /// Opening the link takes a round trip more.
    #[must_use]
    pub fn added_wait(&self, vm: &VmName) -> Duration {
        let round_trip = added_wait(self.round_trips.to_vm(vm).as_ref());
        if self.is_open(vm) {
            round_trip
        } else {
            round_trip * 2
        }
    }

    /// Returns the link to this vm's own pools.
    #[must_use]
    pub fn own(&self) -> Arc<Link> {
        Arc::clone(&self.own)
    }

    /// Returns whether the link to a vm is open but the vm does not answer.
    #[must_use]
    pub fn is_silent(&self, vm: &VmName) -> bool {
        let others = lock(&self.others);
        matches!(others.get(vm), Some(LinkState::Open(_, link)) if link.is_silent())
    }

    /// Returns whether the link to a vm is open and not known to be broken or silent.
    #[must_use]
    pub fn is_open(&self, vm: &VmName) -> bool {
        match lock(&self.others).get(vm) {
            Some(LinkState::Open(_, link)) => link.is_alive() && !link.is_silent(),
            Some(LinkState::Opening(..) | LinkState::Down(..)) | None => *vm == self.me,
        }
    }

    /// Returns the link to a vm, opening it if there is none.
    ///
    /// Returns nothing if the connection fails or has failed recently, or if another request is still
    /// opening the link after a short wait.
    pub async fn to(&self, vm: &VmName, address: SocketAddr) -> Option<Arc<Link>> {
        if *vm == self.me {
            return Some(self.own());
        }
        if let Some(opened) = self.being_opened(vm, address) {
            let max_wait = MAX_OPENING_WAIT + added_wait(self.round_trips.to_vm(vm).as_ref());
            wait_until_closed(opened, max_wait).await;
        }
        let opening = {
            let mut others = lock(&self.others);
            match others.get(vm) {
                Some(LinkState::Open(at, link)) if *at == address && link.is_alive() => {
                    return Some(Arc::clone(link));
                }
                Some(LinkState::Down(at, until)) if *at == address && Instant::now() < *until => {
                    return None;
                }
                Some(LinkState::Opening(at, opened)) if *at == address && is_opening(opened) => {
                    return None;
                }
                _ => {}
            }
            let (opening, opened) = watch::channel(());
            others.insert(vm.clone(), LinkState::Opening(address, opened));
            opening
        };
        let link = self.open(vm, address).await;
        drop(opening);
        link
    }

    /// Returns the channel that closes when another request's attempt to open the link has ended.
    fn being_opened(&self, vm: &VmName, address: SocketAddr) -> Option<watch::Receiver<()>> {
        match lock(&self.others).get(vm) {
            Some(LinkState::Opening(at, opened)) if *at == address => Some(opened.clone()),
            _ => None,
        }
    }

    async fn open(&self, vm: &VmName, address: SocketAddr) -> Option<Arc<Link>> {
        match connect(address, self.round_trips.to_vm(vm)).await {
            Ok(link) => {
                tracing::info!(event = "link_open", vm = %vm);
                self.set_state(vm, LinkState::Open(address, Arc::clone(&link)));
                Some(link)
            }
            Err(e) => {
                tracing::info!(event = "link_failed", vm = %vm, error = %e);
                let pause = match e.kind() {
                    ErrorKind::ConnectionRefused => RETRY_AFTER_REFUSAL,
                    _ => RETRY_AFTER_FAILURE,
                };
                self.set_state(vm, LinkState::Down(address, Instant::now() + pause));
                None
            }
        }
    }

    fn set_state(&self, vm: &VmName, state: LinkState) {
        lock(&self.others).insert(vm.clone(), state);
    }
}

/// Waits until the attempt to open a link has ended, at most for `max_wait`.
async fn wait_until_closed(mut opened: watch::Receiver<()>, max_wait: Duration) {
    // No value is ever sent: the wait ends when the channel closes or the time is up.
    let result = tokio::time::timeout(max_wait, opened.changed()).await;
    if result.is_err() {
        tracing::debug!(event = "link_opening_slow");
    }
}

/// Returns whether a link is still being opened; the request that was opening it may have been cancelled.
fn is_opening(opened: &watch::Receiver<()>) -> bool {
    opened.has_changed().is_ok()
}

/// Returns the time that a distance adds to a wait for a reply; none within a region.
fn added_wait(round_trip: Option<&SharedRoundTrip>) -> Duration {
    round_trip.map_or(Duration::ZERO, |to| lock(to).added_wait())
}

async fn connect(
    address: SocketAddr,
    round_trip: Option<SharedRoundTrip>,
) -> std::io::Result<Arc<Link>> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await?;
    let (link, requests) = Link::over(round_trip);
    let link = Arc::new(link);
    tokio::spawn(carry_frames(stream, requests, Arc::clone(&link), address));
    Ok(link)
}

/// Carries frames until the link breaks or leaves a ping unanswered for too long.
async fn carry_frames(
    stream: TcpStream,
    mut requests: mpsc::UnboundedReceiver<Ask>,
    link: Arc<Link>,
    address: SocketAddr,
) {
    let (mut sink, mut replies) = framed::<_, Ask, Reply>(stream).split();
    let mut watch = ReplyWatch::new(link.round_trip.is_some(), Instant::now());
    let reason = loop {
        let check = watch.next_check(link.has_pending(), link.added_wait());
        tokio::select! {
            request = requests.recv() => {
                let Some(request) = request else { break "unused" };
                watch.on_request(Instant::now());
                if sink.feed(request).await.is_err() { break "write failed" }
                while let Ok(request) = requests.try_recv() {
                    if sink.feed(request).await.is_err() { break }
                }
                if sink.flush().await.is_err() { break "write failed" }
            }
            reply = replies.next() => match reply {
                Some(Ok(reply)) => {
                    watch.on_reply(Instant::now());
                    link.silent.send_if_modified(|silent| std::mem::replace(silent, false));
                    if reply.number == PING_NUMBER {
                        record_round_trip(&link, &mut watch);
                    }
                    link.resolve(reply);
                }
                Some(Err(_)) | None => break "closed",
            },
            () = tokio::time::sleep_until(check) => match watch.check(Instant::now()) {
                LinkCheck::Close => break "silent",
                LinkCheck::Silent => {
                    link.silent.send_replace(true);
                }
                LinkCheck::Ping => {
                    let ping = Ask { number: PING_NUMBER, body: Some(AskBody::Ping(Ping { number: 0 })) };
                    if sink.send(ping).await.is_err() { break "write failed" }
                }
            }
        }
    };
    tracing::info!(event = "link_lost", address = %address, reason);
    link.mark_broken();
}

/// Records the round trip of a ping that has been answered.
fn record_round_trip(link: &Link, watch: &mut ReplyWatch) {
    let sample = watch.on_pong(Instant::now());
    if let (Some(round_trip), Some(sample)) = (&link.round_trip, sample) {
        lock(round_trip).record(sample);
    }
}
