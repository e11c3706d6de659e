//! Multiplexed connection to one pool.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use futures::stream::SplitStream;
use mustardbay_policy::position::Position;
use mustardbay_process::byte_budget::Share;
use mustardbay_process::dialer::Dialer;
use mustardbay_wire::Cancel;
use mustardbay_wire::CodecError;
use mustardbay_wire::ConfirmPosition;
use mustardbay_wire::Credit;
use mustardbay_wire::Finished;
use mustardbay_wire::FromPool;
use mustardbay_wire::MessageStream;
use mustardbay_wire::Refused;
use mustardbay_wire::Release;
use mustardbay_wire::Submit;
use mustardbay_wire::ToPool;
use mustardbay_wire::framed;
use mustardbay_wire::from_pool;
use mustardbay_wire::to_pool;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

/// Timeout for connecting to a pool.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two connection attempts.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Time without a message after which a pool with pending requests is probed.
const PROBE_IDLE_TIME: Duration = Duration::from_millis(500);
/// Timeout for a pool to send anything after a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of messages queued for the connection.
const MAX_QUEUED_MESSAGES: usize = 16 * 1024;
/// Largest number of messages written between two flushes.
const MAX_WRITE_BATCH: usize = 64;

/// Next request number, unique across all links of the process.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

type Socket = MessageStream<TcpStream, ToPool, FromPool>;

/// Answer of a pool to a request, or the loss of the connection.
#[derive(Debug)]
pub(crate) enum Answer {
    /// Complete encoded backend messages, and the share of the client that they are kept for.
    Chunk(Bytes, Option<Share>),
    /// The answer is complete.
    Finished(Finished),
    /// The pool refused the request, or could not complete its answer.
    Refused(Refused),
    /// Position that a replica confirmed, if any.
    Confirmed(Option<Position>),
    /// The connection was lost before the request was written to it.
    NotSent,
    /// The connection was lost after the request may have reached the pool.
    Lost,
}

/// Channel for the answers to a session's requests, each with its request number.
#[derive(Debug, Clone)]
pub(crate) struct AnswerSender {
    channel: mpsc::UnboundedSender<(u64, Answer)>,
    share: Option<Arc<Share>>,
}

impl AnswerSender {
    /// Creates the channel; parts of answers that wait count for the client of `share`.
    pub fn channel(share: Option<Share>) -> (Self, mpsc::UnboundedReceiver<(u64, Answer)>) {
        let (channel, answers) = mpsc::unbounded_channel();
        let share = share.map(Arc::new);
        (Self { channel, share }, answers)
    }

    /// Delivers a part of an answer; if its client is evicted, the answer counts as lost.
    fn deliver_chunk(&self, request: u64, messages: Bytes) {
        let mut share = self.share.as_ref().map(|share| share.sibling());
        if share.as_mut().is_none_or(|s| s.set(messages.len()).is_ok()) {
            self.deliver(request, Answer::Chunk(messages, share));
        } else {
            self.deliver(request, Answer::Lost);
        }
    }

    fn deliver(&self, request: u64, answer: Answer) {
        if self.channel.send((request, answer)).is_err() {
            tracing::debug!(event = "answer_unclaimed", request);
        }
    }
}

/// Reason why a request was not queued; it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum SubmitError {
    /// The pool cannot be reached.
    #[error("pool cannot be reached")]
    Unreachable,
    /// The queue of messages to the pool is full.
    #[error("link to the pool is congested")]
    Congested,
}

/// State of the connection to a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    Connecting,
    Up,
    Down,
}

/// Link to one pool; it reconnects automatically until it is dropped.
#[derive(Debug)]
pub(crate) struct PoolLink {
    address: String,
    state: watch::Sender<LinkState>,
    outbox: mpsc::Sender<to_pool::Body>,
    waiters: Mutex<HashMap<u64, AnswerSender>>,
}

impl PoolLink {
    /// Creates a link and connects it in the background.
    pub fn start(address: &str, dialer: Dialer) -> Arc<Self> {
        let (outbox, inbox) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let link = Arc::new(Self {
            address: address.to_owned(),
            state: watch::Sender::new(LinkState::Connecting),
            outbox,
            waiters: Mutex::default(),
        });
        tokio::spawn(keep_connected(
            address.to_owned(),
            dialer,
            Arc::downgrade(&link),
            inbox,
        ));
        link
    }

    /// Returns the address of the pool.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Tells whether the connection is up.
    pub fn is_up(&self) -> bool {
        *self.state.borrow() == LinkState::Up
    }

    /// Returns the number of requests without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.lock().len()
    }

    /// Submits a batch and returns its request number; the answer is sent to `answers`.
    ///
    /// # Errors
    ///
    /// Fails if the pool cannot be reached or the queue is full; the batch did not run.
    pub async fn submit(
        &self,
        mut submit: Submit,
        answers: &AnswerSender,
    ) -> Result<u64, SubmitError> {
        self.wait_connected().await?;
        let request = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        submit.request = request;
        self.send(request, to_pool::Body::Submit(submit), answers)?;
        Ok(request)
    }

    /// Requests a confirmed position and returns the request number.
    ///
    /// # Errors
    ///
    /// Fails if the pool cannot be reached or the queue is full.
    pub async fn confirm(
        &self,
        mut confirm: ConfirmPosition,
        answers: &AnswerSender,
    ) -> Result<u64, SubmitError> {
        self.wait_connected().await?;
        let request = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        confirm.request = request;
        self.send(request, to_pool::Body::Confirm(confirm), answers)?;
        Ok(request)
    }

    /// Allows the pool to send `bytes` more of an answer.
    pub fn credit(&self, request: u64, bytes: u64) {
        self.send_if_up(to_pool::Body::Credit(Credit { request, bytes }));
    }

    /// Asks the pool to cancel a request; the pool still answers it.
    pub fn cancel(&self, request: u64) {
        self.send_if_up(to_pool::Body::Cancel(Cancel { request }));
    }

    /// Tells the pool that a session ended or abandoned its transaction.
    pub fn release(&self, session: u64) {
        self.send_if_up(to_pool::Body::Release(Release { session }));
    }

    /// Drops later answers to a request.
    pub fn forget(&self, request: u64) {
        self.lock().remove(&request);
    }

    /// Waits while a connection attempt is in progress, and fails unless the link is up.
    async fn wait_connected(&self) -> Result<(), SubmitError> {
        if self.is_up() {
            return Ok(());
        }
        let mut state = self.state.subscribe();
        let connected = state.wait_for(|s| *s != LinkState::Connecting).await;
        match connected.as_deref() {
            Ok(LinkState::Up) => Ok(()),
            _ => Err(SubmitError::Unreachable),
        }
    }

    fn send(
        &self,
        request: u64,
        body: to_pool::Body,
        answers: &AnswerSender,
    ) -> Result<(), SubmitError> {
        // Under the lock, `on_disconnect` sees either both the message and the waiter or neither.
        let mut waiters = self.lock();
        if !self.is_up() {
            return Err(SubmitError::Unreachable);
        }
        if self.outbox.try_send(body).is_err() {
            return Err(SubmitError::Congested);
        }
        waiters.insert(request, answers.clone());
        Ok(())
    }

    fn send_if_up(&self, body: to_pool::Body) {
        if self.is_up() && self.outbox.try_send(body).is_err() {
            tracing::warn!(event = "pool_message_dropped", pool = self.address);
        }
    }

    fn receive(&self, message: FromPool) {
        match message.body {
            Some(from_pool::Body::Chunk(chunk)) => {
                if let Some(waiter) = self.lock().get(&chunk.request) {
                    waiter.deliver_chunk(chunk.request, chunk.messages);
                }
            }
            Some(from_pool::Body::Finished(done)) => {
                self.finish(done.request, Answer::Finished(done));
            }
            Some(from_pool::Body::Refused(refused)) => {
                self.finish(refused.request, Answer::Refused(refused));
            }
            Some(from_pool::Body::Confirmed(done)) => {
                let position = done.position.map(Position::from);
                self.finish(done.request, Answer::Confirmed(position));
            }
            None => {}
        }
    }

    fn finish(&self, request: u64, answer: Answer) {
        let waiter = self.lock().remove(&request);
        if let Some(waiter) = waiter {
            waiter.deliver(request, answer);
        }
    }

    /// Answers every pending request after the connection was lost.
    fn on_disconnect(&self, inbox: &mut mpsc::Receiver<to_pool::Body>) {
        let mut waiters = self.lock();
        self.state.send_replace(LinkState::Connecting);
        while let Ok(body) = inbox.try_recv() {
            let request = match body {
                to_pool::Body::Submit(submit) => submit.request,
                to_pool::Body::Confirm(confirm) => confirm.request,
                _ => continue,
            };
            if let Some(waiter) = waiters.remove(&request) {
                waiter.deliver(request, Answer::NotSent);
            }
        }
        for (request, waiter) in waiters.drain() {
            waiter.deliver(request, Answer::Lost);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, AnswerSender>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn keep_connected(
    address: String,
    dialer: Dialer,
    link: Weak<PoolLink>,
    mut inbox: mpsc::Receiver<to_pool::Body>,
) {
    loop {
        let stream = timeout(CONNECT_TIMEOUT, dialer.connect(&address)).await;
        let Some(up) = link.upgrade() else { return };
        match stream {
            Ok(Ok(stream)) => {
                up.state.send_replace(LinkState::Up);
                drop(up);
                tracing::info!(event = "pool_connected", pool = address);
                let opened = Instant::now();
                let ended = run_connection(stream, &link, &mut inbox).await;
                let Some(link) = link.upgrade() else { return };
                link.on_disconnect(&mut inbox);
                match ended {
                    Ok(()) => tracing::warn!(event = "pool_lost", pool = address),
                    Err(e) => tracing::warn!(event = "pool_lost", pool = address, error = %e),
                }
                if opened.elapsed() > RECONNECT_DELAY {
                    continue;
                }
            }
            Ok(Err(e)) => {
                up.state.send_replace(LinkState::Down);
                tracing::debug!(event = "pool_unreachable", pool = address, error = %e);
            }
            Err(_) => {
                up.state.send_replace(LinkState::Down);
                tracing::debug!(
                    event = "pool_unreachable",
                    pool = address,
                    error = "timeout"
                );
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run_connection(
    stream: TcpStream,
    link: &Weak<PoolLink>,
    inbox: &mut mpsc::Receiver<to_pool::Body>,
) -> Result<(), CodecError> {
    let socket: Socket = framed(stream);
    let (mut sink, mut source) = socket.split();
    let write = async {
        let mut bodies = Vec::with_capacity(MAX_WRITE_BATCH);
        while inbox.recv_many(&mut bodies, MAX_WRITE_BATCH).await > 0 {
            for body in bodies.drain(..) {
                sink.feed(ToPool { body: Some(body) }).await?;
            }
            sink.flush().await?;
        }
        Ok(())
    };
    let read = async {
        loop {
            let message = match timeout(PROBE_IDLE_TIME, source.next()).await {
                Ok(message) => message,
                Err(_) => match probe(link, &mut source).await {
                    ProbeResult::Alive(message) => message,
                    ProbeResult::Idle => continue,
                    ProbeResult::Dead => return Err(probe_timed_out()),
                },
            };
            let (Some(message), Some(link)) = (message, link.upgrade()) else {
                return Ok(());
            };
            link.receive(message?);
        }
    };
    tokio::select! {
        ended = write => ended,
        ended = read => ended,
    }
}

/// Result of probing an idle connection.
enum ProbeResult {
    /// A message arrived, or the connection ended.
    Alive(Option<Result<FromPool, CodecError>>),
    /// No request is pending, so no probe was sent.
    Idle,
    /// Nothing arrived within the probe timeout.
    Dead,
}

/// Probes a pool that has pending requests.
async fn probe(link: &Weak<PoolLink>, source: &mut SplitStream<Socket>) -> ProbeResult {
    let Some(link) = link.upgrade() else {
        return ProbeResult::Alive(None);
    };
    if link.pending_requests() == 0 {
        return ProbeResult::Idle;
    }
    // The empty group is unknown to every pool, and a live pool refuses it immediately.
    link.send_if_up(to_pool::Body::Confirm(ConfirmPosition {
        request: NEXT_REQUEST.fetch_add(1, Ordering::Relaxed),
        ..ConfirmPosition::default()
    }));
    drop(link);
    match timeout(PROBE_TIMEOUT, source.next()).await {
        Ok(message) => ProbeResult::Alive(message),
        Err(_) => ProbeResult::Dead,
    }
}

fn probe_timed_out() -> CodecError {
    std::io::Error::from(std::io::ErrorKind::TimedOut).into()
}
