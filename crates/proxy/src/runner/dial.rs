//! Connection to an upstream: opens it, sends queries and reports answers to the pool.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use crate::budget::AnswerStream;
use crate::budget::Budget;
use crate::budget::shrink;
use crate::link_handler::PoolInbox;
use crate::pool::Command;
use crate::pool::ConnectionId;
use crate::pool::Input;
use crate::pool::OpenFailure;
use crate::pool::Query;
use crate::socket;
use crate::wire::FromUpstream;
use crate::wire::ToUpstream;
use crate::wire::Wire;
use crate::work::Answer;
use crate::work::Code;

/// Maximum time for a TCP connection to an upstream: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum wait for the reply to a start message; the upstream may first wait for a free slot.
///
/// The pool does not give up on the connection earlier.
const START_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum wait for an upstream to close a connection, after which the pool considers it closed.
const QUIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Text of the failure of a statement whose answer is too large.
const TOO_LARGE_TEXT: &str = "the answer is too large for the vm";

/// Connection to open, and the pool's inbox for its events.
pub(super) struct Dial {
    pub(super) group: GroupName,
    pub(super) upstream: UpstreamName,
    pub(super) address: SocketAddr,
    pub(super) account: AccountName,
    pub(super) connection: ConnectionId,
    pub(super) inbox: PoolInbox,
    pub(super) budget: Arc<Budget>,
}

type Stream<W> = Framed<AnswerStream, <W as Wire>::Upstream>;

impl Dial {
    /// Opens the connection and runs it until it breaks or the pool closes it.
    pub(super) async fn run<W: Wire>(self, mut queries: mpsc::UnboundedReceiver<Query>) {
        let opened = tokio::select! {
            opened = self.open::<W>() => opened,
            () = until_closed(&mut queries) => return,
        };
        match opened {
            Ok((stream, position)) => {
                self.tell(Input::Opened(self.connection, position));
                self.run_queries::<W>(stream, queries).await;
            }
            Err(failure) => self.tell(Input::OpenFailed(self.connection, failure)),
        }
    }

    async fn open<W: Wire>(&self) -> Result<(Stream<W>, Option<Position>), OpenFailure> {
        let connected = socket::connect(self.address, CONNECT_TIMEOUT).await;
        let stream = connected.map_err(|e| {
            tracing::debug!(event = "connect_failed", upstream = %self.upstream, error = %e);
            OpenFailure::Unreachable
        })?;
        let stream = AnswerStream::new(stream, self.budget.large_answers());
        let mut stream = Framed::new(stream, W::Upstream::default());
        let start = ToUpstream::Start {
            group: self.group.clone(),
            account: self.account.clone(),
            upstream: self.upstream.clone(),
        };
        if let Err(e) = stream.send(start).await {
            tracing::debug!(event = "start_failed", upstream = %self.upstream, error = %e);
            return Err(OpenFailure::Unreachable);
        }
        let first = tokio::time::timeout(START_TIMEOUT, stream.next()).await;
        match first {
            Ok(Some(Ok(FromUpstream::Ready(_, position)))) => Ok((stream, position)),
            Ok(Some(Ok(FromUpstream::Error(code, text)))) => Err(self.log_refusal(code, &text)),
            Ok(Some(Ok(_))) => Err(OpenFailure::Refused),
            Ok(Some(Err(_)) | None) | Err(_) => Err(OpenFailure::Unreachable),
        }
    }

    fn log_refusal(&self, code: Code, text: &str) -> OpenFailure {
        tracing::info!(event = "connection_refused", group = %self.group, upstream = %self.upstream,
            code = ?code, text);
        match code {
            Code::TooMany => OpenFailure::TooMany,
            Code::Misrouted => OpenFailure::Misrouted,
            _ => OpenFailure::Refused,
        }
    }

    async fn run_queries<W: Wire>(
        &self,
        mut stream: Stream<W>,
        mut queries: mpsc::UnboundedReceiver<Query>,
    ) {
        loop {
            let query = tokio::select! {
                query = queries.recv() => query,
                // The upstream sends nothing on an idle connection; any message means it is unusable.
                _ = stream.next() => {
                    self.tell(Input::Lost(self.connection));
                    return;
                }
            };
            let Some(query) = query else {
                self.quit::<W>(stream).await;
                return;
            };
            let asks_status = query.command.returns_status();
            let pauses = matches!(query.command, Command::Pause(_));
            let answer = tokio::select! {
                answer = exchange::<W>(&mut stream, query, self.budget.sizes().answer_bytes) => answer,
                () = until_closed(&mut queries) => return,
            };
            let Some(answer) = answer else {
                self.tell(Input::Lost(self.connection));
                return;
            };
            if pauses && answer.failure() == Some(Code::Malformed) {
                self.tell(Input::PauseUnknown(self.connection));
            }
            self.tell(if asks_status {
                let status = answer.rows.first().and_then(|row| W::status(row));
                let position = answer.position.map(Position::from);
                Input::StatusReceived(self.connection, status, position)
            } else {
                Input::Replied(self.connection, answer)
            });
            end_exchange::<W>(&mut stream);
        }
    }

    /// Closes an idle connection and tells the pool when the upstream has closed it too.
    async fn quit<W: Wire>(&self, mut stream: Stream<W>) {
        let ended = async {
            stream.send(ToUpstream::Quit).await?;
            while stream.next().await.is_some() {}
            std::io::Result::Ok(())
        };
        match tokio::time::timeout(QUIT_TIMEOUT, ended).await {
            Ok(Ok(())) => self.tell(Input::Closed(self.connection)),
            Ok(Err(e)) => {
                tracing::debug!(event = "quit_not_sent", upstream = %self.upstream, error = %e);
            }
            Err(_) => tracing::debug!(event = "quit_not_confirmed", upstream = %self.upstream),
        }
    }

    fn tell(&self, input: Input) {
        if self.inbox.send(input).is_err() {
            tracing::debug!(event = "pool_gone", group = %self.group);
        }
    }
}

/// Waits until the pool closes the connection.
///
/// The pool sends no query while another is in flight.
async fn until_closed(queries: &mut mpsc::UnboundedReceiver<Query>) {
    while queries.recv().await.is_some() {}
}

/// Gives up the buffers of a large query or answer, and its permit.
fn end_exchange<W: Wire>(stream: &mut Stream<W>) {
    let bytes = stream.get_mut().answer_ended();
    shrink(stream.read_buffer_mut(), bytes);
    shrink(stream.write_buffer_mut(), bytes);
}

/// Sends a query and collects its whole answer; returns nothing if the connection breaks.
///
/// The rows of an answer beyond `max_bytes` are dropped, and the answer becomes a failure.
async fn exchange<W: Wire>(
    stream: &mut Stream<W>,
    query: Query,
    max_bytes: usize,
) -> Option<Answer> {
    if let Err(e) = stream.send(ToUpstream::Query(query)).await {
        tracing::debug!(event = "query_not_sent", error = %e);
        return None;
    }
    let mut answer = Answer::default();
    let mut ended = false;
    let mut bytes = 0;
    loop {
        match stream.next().await {
            Some(Ok(FromUpstream::Row(row))) => {
                bytes += row.len();
                if bytes <= max_bytes {
                    answer.rows.push(row);
                } else {
                    answer.rows = Vec::new();
                }
            }
            Some(Ok(FromUpstream::Complete(signature))) => {
                answer.signature = signature;
                ended = true;
            }
            Some(Ok(FromUpstream::Error(code, text))) => {
                answer.code = Some(code.into());
                answer.text = text;
                ended = true;
            }
            Some(Ok(FromUpstream::Ready(state, position))) if ended => {
                answer.state = state.into();
                answer.position = position.map(Into::into);
                if bytes > max_bytes {
                    answer.signature = None;
                    answer.code = Some(Code::Failed.into());
                    answer.text = TOO_LARGE_TEXT.into();
                }
                return Some(answer);
            }
            Some(Ok(FromUpstream::Ready(..)) | Err(_)) | None => return None,
        }
    }
}
