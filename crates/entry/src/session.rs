//! Session of one caller, from its start-up to its end.

mod answer;
mod batch;
mod execute;
mod local;
mod login;
mod parameters;
mod prepared;
mod startup;
mod transaction;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_policy::session::Floor;
use mustardbay_policy::session::Round;
use mustardbay_policy::session::RoundState;
use mustardbay_policy::session::SessionToken;
use pgwire::error::PgWireError;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::SecretKey;
use pgwire::messages::startup::Startup;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::codec::Framed;

use crate::caller::CallerCodec;
use crate::caller::ProtocolError;
use crate::caller::Severity;
use crate::caller::error;
use crate::caller::parameter;
use crate::caller::refusal;
use crate::confirm;
use crate::context::Context;
use crate::context::SharedBudget;
use crate::groups::SharedSight;
use crate::pools::Answer;
use crate::pools::AnswerSender;
use crate::rates::AccountRate;
use crate::session::batch::Batch;
use crate::session::login::Grant;
use crate::session::parameters::Parameters;
use crate::session::prepared::Statements;
use crate::session::startup::Opening;
use crate::session::startup::Started;
use crate::session::startup::StartupError;
use crate::session::startup::negotiate;
use crate::session::startup::start_up;
use crate::session::transaction::Transaction;
use crate::sessions::SessionHandle;

/// Time in which a connection that is not served must ask for one and read the answer.
const TURN_AWAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of the next session, unique over the life of the process.
static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Byte stream to a caller.
pub(crate) trait Transport: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Transport for T {}

pub(crate) use login::Login;

/// Framed connection to a caller.
pub(crate) type Caller<S> = Framed<S, CallerCodec>;

/// Why a session ended.
#[derive(Debug, Error)]
pub(crate) enum End {
    /// The caller said goodbye or closed the connection.
    #[error("closed by the caller")]
    Closed,
    /// The connection failed or the input cannot be served.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The session may not go on.
    #[error("{}", .0.message)]
    Refused(Refusal),
}

impl From<PgWireError> for End {
    fn from(e: PgWireError) -> Self {
        Self::Protocol(e.into())
    }
}

/// Session of one caller.
#[derive(Debug)]
pub(crate) struct Session<S> {
    ctx: Arc<Context>,
    caller: Caller<S>,
    id: u64,
    handle: Arc<SessionHandle>,
    login: Login,
    grant: Grant,
    sight: Arc<SharedSight>,
    parameters: Parameters,
    floor: Floor,
    round: Option<Round>,
    budget: SharedBudget,
    rate: Option<Arc<AccountRate>>,
    reported: Option<SessionToken>,
    statements: Statements,
    transaction: Transaction,
    skipping: bool,
    answers_in: AnswerSender,
    answers: mpsc::UnboundedReceiver<(u64, Answer)>,
}

/// Why a connection is not served at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TurnAway {
    /// Every connection that is allowed is taken.
    Full,
    /// The process drains.
    Draining,
}

/// Serves one connection until it ends.
pub(crate) async fn serve(stream: TcpStream, ctx: Arc<Context>) {
    let mut caller = Framed::new(stream, codec(&ctx));
    let bound = Duration::from_millis(ctx.settings.limits.startup_ms);
    let until = Instant::now() + bound;
    let offers_tls = ctx.tls.is_some();
    match timeout_at(until, negotiate(&mut caller, offers_tls)).await {
        Ok(Ok(Opening::Startup(startup))) => start(caller, &startup, &ctx, false, until).await,
        Ok(Ok(Opening::Tls)) => serve_tls(caller, &ctx, until).await,
        Ok(Ok(Opening::Cancel(cancel))) => cancel_other(&ctx, &cancel),
        Ok(Err(e)) => reject(caller, e).await,
        Err(_) => tracing::debug!(event = "startup_timed_out"),
    }
}

/// Tells a new connection that it is not served.
pub(crate) async fn turn_away(stream: TcpStream, ctx: Arc<Context>, why: TurnAway) {
    let mut caller = Framed::new(stream, codec(&ctx));
    let opening = timeout(TURN_AWAY_TIMEOUT, negotiate(&mut caller, false)).await;
    let last = match (opening, why) {
        (Ok(Ok(Opening::Cancel(cancel))), _) => return cancel_other(&ctx, &cancel),
        (Ok(Ok(_)), TurnAway::Full) => error(
            Severity::Fatal,
            "53300",
            "too many connections at this entry",
        ),
        (Ok(Ok(_)), TurnAway::Draining) => refusal(Severity::Fatal, &draining()),
        _ => return,
    };
    if let Ok(Err(e)) = timeout(TURN_AWAY_TIMEOUT, caller.send(last)).await {
        tracing::debug!(event = "turn_away_unsent", error = %e);
    }
}

fn codec(ctx: &Context) -> CallerCodec {
    CallerCodec::new(ctx.settings.limits.message_bytes)
}

fn cancel_other(ctx: &Context, cancel: &CancelRequest) {
    ctx.sessions.cancel(cancel.pid, cancel.secret_key.as_i32());
}

fn draining() -> Refusal {
    Refusal::not_run(
        Reason::Draining,
        "entry is shutting down, connect again",
        Some(Duration::ZERO),
    )
}

/// Goes on over TLS after the caller was told to begin its handshake.
async fn serve_tls(caller: Caller<TcpStream>, ctx: &Arc<Context>, until: Instant) {
    let parts = caller.into_parts();
    // Bytes sent ahead of the handshake would be taken for encrypted ones.
    let Some(tls) = ctx.tls.as_ref().filter(|_| parts.read_buf.is_empty()) else {
        return;
    };
    let stream = match timeout_at(until, tls.accept(parts.io)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return tracing::debug!(event = "tls_failed", error = %e),
        Err(_) => return tracing::debug!(event = "startup_timed_out"),
    };
    let mut caller = Framed::new(stream, codec(ctx));
    match timeout_at(until, negotiate(&mut caller, false)).await {
        Ok(Ok(Opening::Startup(startup))) => start(caller, &startup, ctx, true, until).await,
        Ok(Ok(Opening::Cancel(cancel))) => cancel_other(ctx, &cancel),
        Ok(Err(e)) => reject(caller, e).await,
        Ok(Ok(Opening::Tls)) | Err(_) => {}
    }
}

/// Checks the key and runs the session.
async fn start<S: Transport>(
    mut caller: Caller<S>,
    startup: &Startup,
    ctx: &Arc<Context>,
    is_secure: bool,
    until: Instant,
) {
    let started = timeout_at(until, start_up(&mut caller, startup, ctx, is_secure)).await;
    match started {
        Ok(Ok(started)) => Session::open(caller, Arc::clone(ctx), started).run().await,
        Ok(Err(e)) => reject(caller, e).await,
        Err(_) => tracing::debug!(event = "startup_timed_out"),
    }
}

/// Tells a caller why it gets no session, as far as it can be told.
async fn reject<S: Transport>(mut caller: Caller<S>, reason: StartupError) {
    let last = match reason {
        StartupError::Closed | StartupError::Protocol(ProtocolError::Io(_)) => return,
        StartupError::Protocol(e) => error(Severity::Fatal, "08P01", e.to_string()),
        StartupError::Refused(refused) => {
            tracing::info!(event = "startup_refused", reason = ?refused.reason, message = refused.message);
            refusal(Severity::Fatal, &refused)
        }
    };
    if let Err(e) = caller.send(last).await {
        tracing::debug!(event = "reject_unsent", error = %e);
    }
}

impl<S: Transport> Session<S> {
    fn open(caller: Caller<S>, ctx: Arc<Context>, started: Started) -> Self {
        let grant = started.grant;
        let group = grant.group().name.clone();
        let id = NEXT_SESSION.fetch_add(1, Ordering::Relaxed);
        let handle = Arc::new(SessionHandle::new(id, started.login.clone()));
        ctx.sessions.add(&handle);
        let (answers_in, answers) = mpsc::unbounded_channel();
        let account = started.login.identity.as_ref().map(|i| i.account.clone());
        let mut session = Self {
            rate: account.as_ref().map(|a| ctx.rates.account(a)),
            budget: ctx.budget(&account.unwrap_or_else(|| AccountName::from(""))),
            sight: ctx.groups.sight(&group),
            ctx,
            caller,
            id,
            handle,
            login: started.login,
            grant,
            parameters: Parameters::default(),
            floor: Floor::unknown(group),
            round: None,
            reported: None,
            statements: Statements::new(),
            transaction: Transaction::Idle,
            skipping: false,
            answers_in,
            answers,
        };
        session.take_parameters(&started.parameters);
        session.learn_floor();
        session
    }

    /// Takes in the start-up parameters; those that cannot be honoured are left out.
    fn take_parameters(&mut self, given: &[(String, String)]) {
        for (name, value) in given {
            if name == parameters::SESSION {
                if let Ok(token) = value.parse() {
                    self.floor.present(&token);
                }
            } else if let Err(e) = self.parameters.set(name, value) {
                tracing::debug!(event = "parameter_ignored", reason = e.message());
            }
        }
        self.parameters.start();
    }

    async fn run(mut self) {
        let ended = match self.greet().await {
            Ok(()) => self.serve_messages().await,
            Err(end) => end,
        };
        self.close(ended).await;
    }

    async fn greet(&mut self) -> Result<(), End> {
        for (name, value) in self.parameters.reported() {
            self.caller.feed(parameter(name, value)).await?;
        }
        let secret = SecretKey::I32(self.handle.secret);
        let key = BackendKeyData::new(self.handle.pid, secret);
        self.caller
            .feed(PgWireBackendMessage::BackendKeyData(key).into())
            .await?;
        self.finish_answer().await
    }

    async fn serve_messages(&mut self) -> End {
        let ctx = Arc::clone(&self.ctx);
        let mut views = ctx.steward.changes();
        let mut batch = Batch::default();
        loop {
            let idle = batch.is_empty() && !self.transaction.is_open();
            let message = tokio::select! {
                message = self.caller.next() => message,
                _ = views.changed() => match self.check_grant() {
                    Ok(()) => continue,
                    Err(refused) => return End::Refused(refused),
                },
                () = ctx.life.drained_from_now(), if idle => return End::Refused(draining()),
            };
            let message = match message {
                Some(Ok(message)) => message,
                Some(Err(e)) => return e.into(),
                None => return End::Closed,
            };
            if let Err(end) = self.take(message, &mut batch).await {
                return end;
            }
        }
    }

    /// Takes one message: adds it to the batch, or runs the batch that it completes.
    async fn take(&mut self, message: PgWireFrontendMessage, batch: &mut Batch) -> Result<(), End> {
        match message {
            PgWireFrontendMessage::Terminate(_) => return Err(End::Closed),
            PgWireFrontendMessage::Sync(_) if self.skipping => {
                self.skipping = false;
                return self.finish_answer().await;
            }
            _ if self.skipping => {}
            PgWireFrontendMessage::Query(query) => {
                *batch = Batch::default();
                return self.execute(Batch::query(&query)?).await;
            }
            PgWireFrontendMessage::Sync(_) => {
                let mut whole = std::mem::take(batch);
                if whole.is_empty() {
                    return self.finish_answer().await;
                }
                whole.sync()?;
                return self.execute(whole).await;
            }
            PgWireFrontendMessage::Parse(parse) => batch.parse(parse)?,
            PgWireFrontendMessage::Bind(bind) => batch.bind(bind, &self.statements)?,
            PgWireFrontendMessage::Describe(describe) => {
                batch.describe(describe, &self.statements)?;
            }
            PgWireFrontendMessage::Execute(execute) => batch.execute(&execute)?,
            PgWireFrontendMessage::Close(close) => batch.close(close)?,
            _ => {}
        }
        if batch.bytes() > self.ctx.settings.limits.batch_bytes {
            *batch = Batch::default();
            return self
                .skip("54000", "messages up to Sync exceed the limit")
                .await;
        }
        Ok(())
    }

    /// Refuses the rest of the messages up to the next `Sync`.
    async fn skip(&mut self, code: &str, message: &str) -> Result<(), End> {
        self.skipping = true;
        self.caller
            .send(error(Severity::Error, code, message))
            .await?;
        Ok(())
    }

    /// Checks the login against the bundle in force, if that changed.
    fn check_grant(&mut self) -> Result<(), Refusal> {
        let Some(view) = self.ctx.steward.view() else {
            return Ok(());
        };
        if !self.grant.is_of(&view.bundle) {
            self.grant = self.login.check(&view.bundle)?;
            self.follow_route();
        }
        Ok(())
    }

    /// Starts over with an unknown floor if the route leads to another group now.
    fn follow_route(&mut self) {
        let group = &self.grant.group().name;
        if self.floor.group() != group && !self.transaction.is_open() {
            self.floor = Floor::unknown(group.clone());
            self.sight = self.ctx.groups.sight(group);
            self.round = None;
        }
    }

    /// Takes over a confirmed position that makes an unknown floor known, or asks for one.
    fn learn_floor(&mut self) {
        if self.floor.position().is_some() {
            return;
        }
        let group = self.floor.group();
        let state = self.round.map(|r| confirm::state(&self.ctx, group, r));
        match state {
            Some(RoundState::Confirmed(position)) => {
                self.floor.raise(position);
            }
            Some(RoundState::Waiting) => {}
            Some(RoundState::Failed) | None => {
                self.round = Some(confirm::arrive(&self.ctx, group));
            }
        }
    }

    async fn close(mut self, end: End) {
        self.ctx.sessions.remove(self.handle.pid);
        if let Transaction::Held(held) = &self.transaction {
            held.link.release(self.id);
        }
        let last = match &end {
            End::Closed | End::Protocol(ProtocolError::Io(_)) => return,
            End::Protocol(e) => error(Severity::Fatal, "08P01", e.to_string()),
            End::Refused(refused) => refusal(Severity::Fatal, refused),
        };
        tracing::info!(event = "session_ended", session = self.id, reason = %end);
        if let Err(e) = self.caller.send(last).await {
            tracing::debug!(event = "goodbye_unsent", error = %e);
        }
    }
}
