//! Session of one client, from the end of its start-up until it closes.

mod attempt;
mod batch;
mod connection;
mod execute;
mod failed_transaction;
mod floor;
mod local;
mod login;
mod parameters;
mod pending_request;
mod prepared_statement;
mod run;
mod startup;
mod transaction;

use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use futures::SinkExt;
use futures::StreamExt;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::refusal::Refusal;
use mustardbay_policy::session::Floor;
use mustardbay_policy::session::Round;
use mustardbay_policy::session::SessionToken;
use mustardbay_process::byte_budget::Eviction;
use mustardbay_process::byte_budget::Exhausted;
use mustardbay_process::byte_budget::Holder;
use mustardbay_process::byte_budget::Share;
use pgwire::error::PgWireError;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::SecretKey;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use crate::client::ClientCodec;
use crate::client::ProtocolError;
use crate::client::Severity;
use crate::client::error;
use crate::client::parameter;
use crate::client::refusal;
use crate::context::Context;
use crate::context::SharedRetryBudget;
use crate::observed_groups::SharedObservations;
use crate::pools::Answer;
use crate::pools::AnswerSender;
use crate::pools::PoolLink;
use crate::rates::AccountRate;
use crate::session::batch::Batch;
use crate::session::connection::evicted;
use crate::session::connection::send_final;
use crate::session::login::Authorization;
use crate::session::parameters::Parameters;
use crate::session::prepared_statement::Statements;
use crate::session::startup::CompletedStartup;
use crate::session::transaction::Transaction;
use crate::sessions::SessionHandle;

/// Next session number, unique within the process.
static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Byte stream to a client: plain TCP or TLS.
pub(crate) trait Transport: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Transport for T {}

pub(crate) use connection::RejectReason;
pub(crate) use connection::reject_connection;
pub(crate) use connection::serve;
pub(crate) use login::Login;

/// Framed connection to a client.
pub(crate) type ClientConnection<S> = Framed<S, ClientCodec>;

/// Reason why a session ended.
#[derive(Debug, Error)]
pub(crate) enum SessionEnd {
    /// The client sent `Terminate` or closed the connection.
    #[error("closed by the client")]
    Closed,
    /// The connection failed, or the input violates the protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The session is no longer permitted.
    #[error("{}", .0.message)]
    Refused(Refusal),
    /// The client has to go: it holds too much, or it keeps the entry waiting.
    #[error("{0}")]
    Evicted(Eviction),
}

impl From<PgWireError> for SessionEnd {
    fn from(e: PgWireError) -> Self {
        Self::Protocol(e.into())
    }
}

/// Session of one client.
#[derive(Debug)]
pub(crate) struct Session<S> {
    ctx: Arc<Context>,
    client: ClientConnection<S>,
    id: u64,
    handle: Arc<SessionHandle>,
    login: Login,
    authorization: Authorization,
    observations: Arc<SharedObservations>,
    parameters: Parameters,
    floor: Floor,
    round: Option<Round>,
    retry_budget: SharedRetryBudget,
    rate: Option<Arc<AccountRate>>,
    reported_token: Option<SessionToken>,
    statements: Statements,
    transaction: Transaction,
    used_pools: Vec<Weak<PoolLink>>,
    skipping_to_sync: bool,
    flushing: bool,
    holder: Arc<Holder>,
    kept: Share,
    unsent: Option<Share>,
    answer_sender: AnswerSender,
    answers: mpsc::UnboundedReceiver<(u64, Answer)>,
}

impl<S: Transport> Session<S> {
    pub(super) fn open(
        client: ClientConnection<S>,
        ctx: Arc<Context>,
        started: CompletedStartup,
        holder: Arc<Holder>,
    ) -> Self {
        let authorization = started.authorization;
        let group = authorization.group().name.clone();
        let id = NEXT_SESSION.fetch_add(1, Ordering::Relaxed);
        let handle = Arc::new(SessionHandle::new(id, started.login.clone()));
        ctx.sessions.add(&handle);
        let (answer_sender, answers) = AnswerSender::channel(Some(holder.share()));
        let account = started.login.identity.as_ref().map(|i| i.account.clone());
        let mut session = Self {
            rate: account.as_ref().map(|a| ctx.rates.account(a)),
            retry_budget: ctx.retry_budget(&account.unwrap_or_else(|| AccountName::from(""))),
            observations: ctx.groups.get(&group),
            ctx,
            client,
            id,
            handle,
            login: started.login,
            authorization,
            parameters: Parameters::default(),
            floor: Floor::unknown(group),
            round: None,
            reported_token: None,
            statements: Statements::default(),
            transaction: Transaction::Idle,
            used_pools: Vec::new(),
            skipping_to_sync: false,
            flushing: false,
            kept: holder.share(),
            holder,
            unsent: None,
            answer_sender,
            answers,
        };
        session.apply_parameters(&started.parameters);
        session.learn_floor();
        session
    }

    /// Applies the start-up parameters; unsupported ones are ignored.
    fn apply_parameters(&mut self, parameters: &[(String, String)]) {
        for (name, value) in parameters {
            if name == parameters::SESSION {
                if let Ok(token) = value.parse() {
                    self.floor.raise_to_token(&token);
                }
            } else if let Err(e) = self.parameters.set(name, value) {
                tracing::debug!(event = "parameter_ignored", reason = e.message());
            }
        }
        self.parameters.set_initial();
    }

    pub(super) async fn run(mut self) {
        let holder = Arc::clone(&self.holder);
        let ended = tokio::select! {
            biased;
            why = holder.evicted() => SessionEnd::Evicted(why),
            ended = self.serve() => ended,
        };
        self.close(ended).await;
    }

    async fn serve(&mut self) -> SessionEnd {
        match self.send_welcome().await {
            Ok(()) => self.serve_messages().await,
            Err(end) => end,
        }
    }

    /// Counts what the entry keeps for the client: `batch`, statements and parameters.
    fn charge(&mut self, batch: &Batch) -> Result<(), SessionEnd> {
        let session = self.statements.footprint() + self.parameters.footprint();
        self.kept
            .set(batch.footprint() + session)
            .map_err(|Exhausted| SessionEnd::Evicted(Eviction::Memory))
    }

    async fn send_welcome(&mut self) -> Result<(), SessionEnd> {
        for (name, value) in self.parameters.reported() {
            self.client.feed(parameter(name, value)).await?;
        }
        let secret = SecretKey::I32(self.handle.secret);
        let key = BackendKeyData::new(self.handle.pid, secret);
        self.client
            .feed(PgWireBackendMessage::BackendKeyData(key).into())
            .await?;
        self.finish_answer().await
    }

    async fn serve_messages(&mut self) -> SessionEnd {
        let ctx = Arc::clone(&self.ctx);
        let mut views = ctx.steward.changes();
        let mut batch = Batch::default();
        loop {
            let idle = batch.is_empty() && !self.transaction.is_open();
            let message = tokio::select! {
                message = self.client.next() => message,
                _ = views.changed() => match self.check_authorization() {
                    Ok(()) => continue,
                    Err(refused) => return SessionEnd::Refused(refused),
                },
                _ = ctx.lifecycle.drain_started(), if idle => return SessionEnd::Refused(connection::draining()),
            };
            let message = match message {
                Some(Ok(message)) => message,
                Some(Err(e)) => return e.into(),
                None => return SessionEnd::Closed,
            };
            let handled = self.handle_message(message, &mut batch).await;
            if let Err(end) = handled.and_then(|()| self.charge(&batch)) {
                return end;
            }
        }
    }

    /// Handles one message: adds it to the batch, or runs the batch that it completes.
    async fn handle_message(
        &mut self,
        message: PgWireFrontendMessage,
        batch: &mut Batch,
    ) -> Result<(), SessionEnd> {
        match message {
            PgWireFrontendMessage::Terminate(_) => return Err(SessionEnd::Closed),
            PgWireFrontendMessage::Sync(_) if self.skipping_to_sync => {
                self.skipping_to_sync = false;
                return self.finish_answer().await;
            }
            _ if self.skipping_to_sync => {}
            PgWireFrontendMessage::Query(query) => {
                *batch = Batch::default();
                return self
                    .execute(Batch::query(&query, &self.ctx.class_cache)?)
                    .await;
            }
            PgWireFrontendMessage::Sync(_) => {
                let mut complete = std::mem::take(batch);
                if complete.is_empty() {
                    return self.finish_answer().await;
                }
                complete.sync()?;
                return self.execute(complete).await;
            }
            PgWireFrontendMessage::Flush(_) => return self.flush(batch).await,
            PgWireFrontendMessage::Parse(parse) => {
                let kept = self.statements.len() + batch.new_statement_count();
                if kept >= self.ctx.settings.limits.statements {
                    *batch = Batch::default();
                    return self
                        .skip_to_sync("54000", "session has too many prepared statements")
                        .await;
                }
                batch.parse(parse, &self.ctx.class_cache)?;
            }
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
                .skip_to_sync("54000", "messages up to Sync exceed the limit")
                .await;
        }
        Ok(())
    }

    /// Runs the batch sent so far and answers it without `ReadyForQuery`.
    ///
    /// A shared connection cannot be held for the rest of an implicit transaction. Outside an
    /// explicit transaction, only a batch that runs no statement can therefore be flushed.
    async fn flush(&mut self, batch: &mut Batch) -> Result<(), SessionEnd> {
        let mut part = std::mem::take(batch);
        if part.is_empty() {
            return Ok(());
        }
        if !part.only_prepares() && !self.transaction.is_open() {
            let message = "Flush after Bind outside a transaction is not supported";
            return self.skip_to_sync("0A000", message).await;
        }
        part.sync()?;
        self.flushing = true;
        let answered = self.execute(part).await;
        self.flushing = false;
        answered
    }

    /// Sends an error and ignores all messages up to the next `Sync`.
    async fn skip_to_sync(&mut self, code: &str, message: &str) -> Result<(), SessionEnd> {
        self.skipping_to_sync = true;
        self.client
            .send(error(Severity::Error, code, message))
            .await?;
        Ok(())
    }

    /// Authorizes the login again if the bundle in force has changed.
    fn check_authorization(&mut self) -> Result<(), Refusal> {
        let Some(view) = self.ctx.steward.view() else {
            return Ok(());
        };
        if !self.authorization.is_under(&view.bundle) {
            self.authorization = self.login.authorize(&view.bundle)?;
            self.update_group();
        }
        Ok(())
    }

    /// Switches to the group of the route, with an unknown floor, if the route was moved.
    fn update_group(&mut self) {
        let group = &self.authorization.group().name;
        if self.floor.group() != group && !self.transaction.is_open() {
            self.floor = Floor::unknown(group.clone());
            self.observations = self.ctx.groups.get(group);
            self.round = None;
        }
    }

    async fn close(mut self, end: SessionEnd) {
        self.ctx.sessions.remove(self.handle.pid);
        self.handle.cancel();
        for link in self.used_pools.iter().filter_map(Weak::upgrade) {
            link.release(self.id);
        }
        let final_message = match &end {
            SessionEnd::Closed
            | SessionEnd::Protocol(ProtocolError::Io(_))
            | SessionEnd::Evicted(Eviction::Unread) => return,
            SessionEnd::Evicted(why) => evicted(*why),
            SessionEnd::Protocol(ProtocolError::Exhausted(_)) => evicted(Eviction::Memory),
            SessionEnd::Protocol(e) => error(Severity::Fatal, "08P01", e.to_string()),
            SessionEnd::Refused(refused) => refusal(Severity::Fatal, refused),
        };
        tracing::info!(event = "session_ended", session = self.id, reason = %end);
        send_final(&mut self.client, final_message).await;
    }
}
