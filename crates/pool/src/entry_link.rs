//! Connection from one entry: its requests, its sessions and the messages sent back.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use futures::stream::SplitSink;
use mustardbay_wire::CodecError;
use mustardbay_wire::ConfirmPosition;
use mustardbay_wire::FromPool;
use mustardbay_wire::MessageStream;
use mustardbay_wire::Mode;
use mustardbay_wire::Submit;
use mustardbay_wire::ToPool;
use mustardbay_wire::framed;
use mustardbay_wire::to_pool;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::pool::Pool;
use crate::request::Answer;
use crate::request::Batch;
use crate::request::Session;
use crate::request::Stop;
use crate::request::Window;
use crate::request::serve_confirm;
use crate::request::serve_submit;

/// Capacity of the queue of messages that wait for the socket of an entry.
const OUTBOX_MESSAGES: usize = 256;
/// Time between two checks for open transactions that must end.
const OVERDUE_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Flow control window of answers that carry no rows.
const ROWLESS_WINDOW_BYTES: u64 = 1;

type Socket = MessageStream<TcpStream, FromPool, ToPool>;
type SharedSession = Arc<tokio::sync::Mutex<Session>>;

/// State of the connection from one entry.
struct EntryLink {
    pool: Pool,
    outbox: mpsc::Sender<FromPool>,
    requests: Arc<Mutex<HashMap<u64, RunningRequest>>>,
    sessions: HashMap<u64, SharedSession>,
    tasks: TaskTracker,
    /// Cancelled when the connection is lost.
    link_lost: CancellationToken,
}

/// Controls of a running request: its stop signals and its flow control window.
struct RunningRequest {
    stop: Stop,
    window: Arc<Window>,
}

/// Serves one entry until its connection ends, then ends its sessions.
pub(crate) async fn serve_entry(pool: Pool, stream: TcpStream) -> Result<(), CodecError> {
    stream.set_nodelay(true)?;
    let socket: Socket = framed(stream);
    let (sink, mut messages) = socket.split();
    let (outbox, inbox) = mpsc::channel(OUTBOX_MESSAGES);
    tokio::spawn(write_answers(sink, inbox));
    let mut link = EntryLink {
        pool,
        outbox,
        requests: Arc::default(),
        sessions: HashMap::new(),
        tasks: TaskTracker::new(),
        link_lost: CancellationToken::new(),
    };
    let mut ticks = link.pool.timer().every(OVERDUE_CHECK_PERIOD);
    let ended = loop {
        tokio::select! {
            message = messages.next() => match message {
                Some(Ok(message)) => link.receive(message),
                Some(Err(e)) => break Err(e),
                None => break Ok(()),
            },
            Some(_) = ticks.recv() => link.end_overdue(),
        }
    };
    link.release_all().await;
    ended
}

async fn write_answers(
    mut sink: SplitSink<Socket, FromPool>,
    mut inbox: mpsc::Receiver<FromPool>,
) -> Result<(), CodecError> {
    while let Some(message) = inbox.recv().await {
        sink.feed(message).await?;
        while let Ok(message) = inbox.try_recv() {
            sink.feed(message).await?;
        }
        sink.flush().await?;
    }
    Ok(())
}

impl EntryLink {
    fn receive(&mut self, message: ToPool) {
        match message.body {
            Some(to_pool::Body::Submit(submit)) => self.submit(submit),
            Some(to_pool::Body::Credit(credit)) => {
                if let Some(running) = lock(&self.requests).get(&credit.request) {
                    running.window.grow(credit.bytes);
                }
            }
            Some(to_pool::Body::Cancel(cancel)) => {
                if let Some(running) = lock(&self.requests).get(&cancel.request) {
                    running.stop.cancel();
                }
            }
            Some(to_pool::Body::Release(release)) => {
                if let Some(session) = self.sessions.remove(&release.session) {
                    self.tasks
                        .spawn(async move { session.lock().await.end().await });
                }
            }
            Some(to_pool::Body::Confirm(request)) => self.confirm(request),
            None => {}
        }
    }

    fn submit(&mut self, submit: Submit) {
        let request = submit.request;
        let window = Arc::new(Window::new(submit.window));
        let batch = Batch::new(submit, Instant::now());
        let stop = Stop::new(self.link_lost.clone(), batch.mode == Mode::Read);
        let running = RunningRequest {
            stop: stop.clone(),
            window: Arc::clone(&window),
        };
        lock(&self.requests).insert(request, running);
        let answer = Answer::new(request, self.outbox.clone(), window);
        let session = Arc::clone(self.sessions.entry(batch.session).or_default());
        let requests = Arc::clone(&self.requests);
        let pool = self.pool.clone();
        let served = self.pool.requests().track_future(async move {
            serve_submit(pool, session, batch, answer, stop).await;
            lock(&requests).remove(&request);
        });
        self.tasks.spawn(served);
    }

    /// Rolls back open transactions that are overdue; skips sessions with a running request.
    fn end_overdue(&self) {
        for session in self.sessions.values() {
            let Ok(locked) = Arc::clone(session).try_lock_owned() else {
                continue;
            };
            if locked.is_overdue() {
                self.tasks.spawn(async move {
                    let mut locked = locked;
                    locked.end().await;
                });
            }
        }
    }

    fn confirm(&self, request: ConfirmPosition) {
        let window = Arc::new(Window::new(ROWLESS_WINDOW_BYTES));
        let answer = Answer::new(request.request, self.outbox.clone(), window);
        self.tasks
            .spawn(serve_confirm(self.pool.clone(), request, answer));
    }

    /// Signals the loss of the entry to its requests, ends its sessions and waits for both.
    ///
    /// The windows are opened fully, because no more credit can arrive and a request that waits
    /// for credit would never end.
    async fn release_all(self) {
        let Self {
            outbox,
            requests,
            sessions,
            tasks,
            link_lost,
            ..
        } = self;
        drop(outbox);
        link_lost.cancel();
        for running in lock(&requests).values() {
            running.window.grow(u64::MAX);
        }
        for session in sessions.into_values() {
            tasks.spawn(async move { session.lock().await.end().await });
        }
        tasks.close();
        tasks.wait().await;
    }
}

fn lock(
    requests: &Mutex<HashMap<u64, RunningRequest>>,
) -> std::sync::MutexGuard<'_, HashMap<u64, RunningRequest>> {
    requests.lock().unwrap_or_else(PoisonError::into_inner)
}
