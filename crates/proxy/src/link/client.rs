//! Entry's side of the links to other vms.

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
use crate::socket;
use crate::sync::lock;

/// Longest wait for a link to open: a few round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence of a link, with something asked, after which it is pinged: most statements are answered by then.
const DOUBT: Duration = Duration::from_millis(60);
/// Silence after a ping from which the vm counts as silent: a round trip between regions.
const SUSPECT: Duration = Duration::from_millis(60);
/// Silence after a ping for which a link is given up: beyond a vm's longest wait for its processor.
const SILENCE: Duration = Duration::from_millis(400);
/// Silence of a link with nothing asked after which it is pinged.
const QUIET: Duration = Duration::from_secs(2);
/// Longest wait for a link that another request opens: a round trip between regions.
const OPENING_WAIT: Duration = Duration::from_millis(60);
/// Time after a failure during which no new link to the same vm is waited for.
const DOWN: Duration = Duration::from_millis(500);
/// The same after the vm refused: it costs no wait, and a process that starts listens in a moment.
const REFUSED: Duration = Duration::from_millis(30);

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
    asks: mpsc::UnboundedSender<Ask>,
    pending: Pending,
    next: AtomicU64,
    alive: Arc<AtomicBool>,
    silent: watch::Sender<bool>,
}

impl Link {
    /// Creates a link whose asks are taken from the channel that is returned.
    ///
    /// Replies are given to [`Link::resolve`].
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Ask>) {
        let (asks, taken) = mpsc::unbounded_channel();
        let link = Self {
            asks,
            pending: Pending::default(),
            next: AtomicU64::new(1),
            alive: Arc::new(AtomicBool::new(true)),
            silent: watch::Sender::new(false),
        };
        (link, taken)
    }

    /// Returns a number for a unit or another request.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells whether the link still works, as far as is known.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::Acquire)
    }

    /// Tells whether the vm has not answered a ping for a while; it may be slow, cut off or gone.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        *self.silent.borrow()
    }

    /// Waits until the vm counts as silent.
    pub async fn until_silent(&self) {
        let mut silent = self.silent.subscribe();
        if silent.wait_for(|silent| *silent).await.is_err() {
            // The sender lives as long as the link itself.
            std::future::pending::<()>().await;
        }
    }

    /// Sends a request under a number and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails if the link is broken, or breaks before the reply.
    pub async fn call(&self, number: u64, body: AskBody) -> Result<ReplyBody, LinkError> {
        let (send, reply) = oneshot::channel();
        lock(&self.pending).insert(number, send);
        let ask = Ask {
            number,
            body: Some(body),
        };
        if !self.is_alive() || self.asks.send(ask).is_err() {
            lock(&self.pending).remove(&number);
            return Err(LinkError::NotSent);
        }
        match reply.await {
            Ok(body) => Ok(body),
            Err(oneshot::error::RecvError { .. }) => Err(LinkError::Lost),
        }
    }

    /// Sends a request that has no reply; on a broken link it is of no use and dropped.
    pub fn tell(&self, number: u64, body: AskBody) {
        lock(&self.pending).remove(&number);
        let ask = Ask {
            number,
            body: Some(body),
        };
        if self.asks.send(ask).is_err() {
            tracing::debug!(event = "link_gone", number);
        }
    }

    /// Gives a reply to whoever waits for it.
    pub fn resolve(&self, reply: Reply) {
        let Some(body) = reply.body else {
            return;
        };
        let waiting = lock(&self.pending).remove(&reply.number);
        if let Some(waiting) = waiting
            && waiting.send(body).is_err()
        {
            tracing::debug!(event = "reply_unwanted", number = reply.number);
        }
    }

    /// Ends the link: every request without a reply is lost.
    fn end(&self) {
        self.alive.store(false, Ordering::Release);
        lock(&self.pending).clear();
    }

    fn is_waiting(&self) -> bool {
        !lock(&self.pending).is_empty()
    }
}

/// Links of this vm by the name of the other.
#[derive(Debug)]
pub struct Links {
    me: VmName,
    own: Arc<Link>,
    others: Mutex<BTreeMap<VmName, Entry>>,
}

/// State of the link to one vm.
#[derive(Debug, Clone)]
enum Entry {
    Open(SocketAddr, Arc<Link>),
    /// It is being opened; the channel closes when that has ended.
    Opening(SocketAddr, watch::Receiver<()>),
    /// Not to be tried before a moment.
    Down(SocketAddr, Instant),
}

impl Links {
    /// Creates the links of a vm; `own` leads to its own pools.
    #[must_use]
    pub fn new(me: VmName, own: Arc<Link>) -> Self {
        Self {
            me,
            own,
            others: Mutex::default(),
        }
    }

    /// Returns the link to this vm's own pools.
    #[must_use]
    pub fn own(&self) -> Arc<Link> {
        Arc::clone(&self.own)
    }

    /// Tells whether a vm with an open link does not answer.
    #[must_use]
    pub fn is_silent(&self, vm: &VmName) -> bool {
        let others = lock(&self.others);
        matches!(others.get(vm), Some(Entry::Open(_, link)) if link.is_silent())
    }

    /// Tells whether a link to a vm is open and the vm answers, as far as is known.
    #[must_use]
    pub fn is_open(&self, vm: &VmName) -> bool {
        match lock(&self.others).get(vm) {
            Some(Entry::Open(_, link)) => link.is_alive() && !link.is_silent(),
            Some(Entry::Opening(..) | Entry::Down(..)) | None => *vm == self.me,
        }
    }

    /// Returns the link to a vm, opening it if there is none; nothing while the vm is down.
    pub async fn to(&self, vm: &VmName, address: SocketAddr) -> Option<Arc<Link>> {
        if *vm == self.me {
            return Some(self.own());
        }
        if let Some(opened) = self.being_opened(vm, address) {
            wait_until_closed(opened).await;
        }
        let opening = {
            let mut others = lock(&self.others);
            match others.get(vm) {
                Some(Entry::Open(at, link)) if *at == address && link.is_alive() => {
                    return Some(Arc::clone(link));
                }
                Some(Entry::Down(at, until)) if *at == address && Instant::now() < *until => {
                    return None;
                }
                Some(Entry::Opening(at, opened)) if *at == address && is_open(opened) => {
                    return None;
                }
                _ => {}
            }
            let (opening, opened) = watch::channel(());
            others.insert(vm.clone(), Entry::Opening(address, opened));
            opening
        };
        let link = self.open(vm, address).await;
        drop(opening);
        link
    }

    /// Returns the channel that closes when the link to a vm has been opened, if another request opens it.
    fn being_opened(&self, vm: &VmName, address: SocketAddr) -> Option<watch::Receiver<()>> {
        match lock(&self.others).get(vm) {
            Some(Entry::Opening(at, opened)) if *at == address => Some(opened.clone()),
            _ => None,
        }
    }

    async fn open(&self, vm: &VmName, address: SocketAddr) -> Option<Arc<Link>> {
        match connect(address).await {
            Ok(link) => {
                tracing::info!(event = "link_open", vm = %vm);
                self.note(vm, Entry::Open(address, Arc::clone(&link)));
                Some(link)
            }
            Err(e) => {
                tracing::info!(event = "link_failed", vm = %vm, error = %e);
                let pause = match e.kind() {
                    ErrorKind::ConnectionRefused => REFUSED,
                    _ => DOWN,
                };
                self.note(vm, Entry::Down(address, Instant::now() + pause));
                None
            }
        }
    }

    fn note(&self, vm: &VmName, entry: Entry) {
        lock(&self.others).insert(vm.clone(), entry);
    }
}

/// Waits until whoever opens a link has ended, for a moment at most.
async fn wait_until_closed(mut opened: watch::Receiver<()>) {
    // Nothing is ever sent: the wait ends with the channel, or with the time.
    let ended = tokio::time::timeout(OPENING_WAIT, opened.changed()).await;
    if ended.is_err() {
        tracing::debug!(event = "link_opens_slowly");
    }
}

/// Tells whether a link is still being opened; the request that did so may have been given up.
fn is_open(opened: &watch::Receiver<()>) -> bool {
    opened.has_changed().is_ok()
}

async fn connect(address: SocketAddr) -> std::io::Result<Arc<Link>> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await?;
    let (link, asks) = Link::new();
    let link = Arc::new(link);
    tokio::spawn(drive(stream, asks, Arc::clone(&link), address));
    Ok(link)
}

/// Carries frames until the link breaks or is silent for too long.
async fn drive(
    stream: TcpStream,
    mut asks: mpsc::UnboundedReceiver<Ask>,
    link: Arc<Link>,
    address: SocketAddr,
) {
    let (mut sink, mut replies) = framed::<_, Ask, Reply>(stream).split();
    let mut heard = Instant::now();
    // When the first request since the last reply was sent.
    let mut asked = heard;
    let mut pinged: Option<Instant> = None;
    let reason = loop {
        let check = match pinged {
            Some(at) if link.is_silent() => at + SILENCE,
            Some(at) => at + SUSPECT,
            None if link.is_waiting() => heard.max(asked) + DOUBT,
            None => heard + QUIET,
        };
        tokio::select! {
            ask = asks.recv() => {
                let Some(ask) = ask else { break "unused" };
                if asked <= heard {
                    asked = Instant::now();
                }
                if sink.feed(ask).await.is_err() { break "write failed" }
                while let Ok(ask) = asks.try_recv() {
                    if sink.feed(ask).await.is_err() { break }
                }
                if sink.flush().await.is_err() { break "write failed" }
            }
            reply = replies.next() => match reply {
                Some(Ok(reply)) => {
                    heard = Instant::now();
                    pinged = None;
                    link.silent.send_if_modified(|silent| std::mem::replace(silent, false));
                    link.resolve(reply);
                }
                Some(Err(_)) | None => break "closed",
            },
            () = tokio::time::sleep_until(check) => {
                if link.is_silent() { break "silent" }
                if pinged.is_some() {
                    link.silent.send_replace(true);
                    continue;
                }
                pinged = Some(Instant::now());
                let ping = Ask { number: 0, body: Some(AskBody::Ping(Ping { number: 0 })) };
                if sink.send(ping).await.is_err() { break "write failed" }
            }
        }
    };
    tracing::info!(event = "link_lost", address = %address, reason);
    link.end();
}
