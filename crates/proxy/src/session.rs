//! Client sessions: one connection, its session state and at most one open transaction.

mod answer;
mod client;
mod drain_schedule;
mod record;
mod session_state;
mod transaction;

use std::sync::Arc;

use futures::SinkExt;
use futures::StreamExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::budget::Ending;
use crate::budget::Holding;
use crate::budget::Limit;
use crate::budget::LimitedStream;
use crate::budget::Short;
use crate::budget::Stage;
use crate::budget::shrink;
use crate::entry::Entry;
use crate::session::client::Client;
use crate::session::drain_schedule::Close;
use crate::session::drain_schedule::DrainSchedule;
use crate::wire::FromCaller;
use crate::wire::ToCaller;
use crate::wire::Wire;

pub use crate::session::drain_schedule::LAST_START_PERCENT;

/// Connection of a client, with its codec.
type Stream<W> = Framed<LimitedStream, <W as Wire>::Caller>;

/// Serves a client connection until either side closes it.
pub async fn serve<W: Wire>(stream: TcpStream, holding: Arc<Holding>, entry: Arc<Entry>) {
    let ending = Ending(Arc::clone(&holding));
    let number = holding.number();
    let stream = LimitedStream::new(stream, Arc::clone(&holding));
    let mut stream = Framed::new(stream, W::Caller::default());
    let schedule = DrainSchedule::new(number, entry.lifecycle.clone(), entry.timing.grace);
    let client = tokio::select! {
        client = begin::<W>(&mut stream, &holding, &entry, &schedule) => client,
        _ = schedule.until_close(true) => None,
        _ = holding.until_closed() => None,
    };
    let Some(mut client) = client else {
        return;
    };
    holding.enter(Stage::Unused);
    let reason = loop {
        let next = tokio::select! {
            biased;
            limit = holding.until_closed() => break limit.name(),
            close = schedule.until_close(client.can_close()) => match close {
                Close::Idle => break "drained",
                Close::Transaction => {
                    client.abort_transaction("the vm is stopping");
                    continue;
                }
            },
            () = client.until_expiry() => {
                client.abort_transaction("the transaction reached its idle timeout");
                if holding.stage() == Stage::InTransaction {
                    holding.enter(Stage::Idle);
                }
                continue;
            }
            message = stream.next() => message,
        };
        let message = match next {
            Some(Ok(message)) => message,
            Some(Err(e)) => {
                tracing::debug!(event = "caller_failed", session = number, error = %e);
                break "failed";
            }
            None => break "closed",
        };
        let bytes = take_message::<W>(&mut stream);
        let answer = match message {
            FromCaller::Query(request) => {
                // Taken while the stage is still `Receiving`, so that this session may be refused.
                let taken = holding.run(bytes, stream.read_buffer().len());
                holding.enter(Stage::Running);
                match taken {
                    Ok(()) => client.answer(request).await,
                    Err(Short) => client.refuse_short(),
                }
            }
            FromCaller::Malformed | FromCaller::Start { .. } => client.malformed(),
            FromCaller::Quit => break "quit",
        };
        if send::<W>(&mut stream, &holding, answer).await.is_err() {
            break "not read";
        }
        if client.must_leave() {
            break "drained";
        }
        holding.enter(stage_after(&client, stream.read_buffer().len()));
    };
    client.abort_transaction(reason);
    tracing::debug!(event = "session_ended", session = number, reason);
    drop(ending);
}

/// Waits for the start message and answers it; `None` if no session begins.
async fn begin<W: Wire>(
    stream: &mut Stream<W>,
    holding: &Arc<Holding>,
    entry: &Arc<Entry>,
    schedule: &DrainSchedule,
) -> Option<Client> {
    let first = tokio::time::timeout(drain_schedule::START_TIMEOUT, stream.next()).await;
    let Ok(Some(Ok(FromCaller::Start { route, key }))) = first else {
        return None;
    };
    take_message::<W>(stream);
    let entry = Arc::clone(entry);
    let started = Client::start(Arc::clone(holding), route, key, entry, schedule.clone()).await;
    let (client, answer) = match started {
        Ok(client) => (Some(client), answer::ready()),
        Err(denial) => (None, vec![ToCaller::Error(denial.code(), denial.text())]),
    };
    send::<W>(stream, holding, answer).await.ok()?;
    client
}

/// Records that a message was taken, and returns its bytes; gives up the buffer of a large one.
fn take_message<W: Wire>(stream: &mut Stream<W>) -> usize {
    let buffered = stream.read_buffer().len();
    let bytes = stream.get_mut().message_taken(buffered);
    shrink(stream.read_buffer_mut(), bytes);
    bytes
}

/// Returns what a session does once its answer is written.
fn stage_after(client: &Client, buffered: usize) -> Stage {
    match (client.can_close(), buffered) {
        (_, 1..) => Stage::Receiving,
        (true, 0) => Stage::Idle,
        (false, 0) => Stage::InTransaction,
    }
}

/// Writes an answer; fails if it is not read in time, or if the session has to end.
async fn send<W: Wire>(
    stream: &mut Stream<W>,
    holding: &Holding,
    messages: Vec<ToCaller>,
) -> std::io::Result<()> {
    let bytes = messages.iter().map(ToCaller::text_bytes).sum();
    holding.enter(Stage::Answering);
    if let Err(short) = holding.answer(bytes, stream.read_buffer().len()) {
        return Err(std::io::Error::new(std::io::ErrorKind::OutOfMemory, short));
    }
    let written = async {
        for message in messages {
            stream.feed(message).await?;
        }
        stream.flush().await
    };
    let written = tokio::time::timeout(drain_schedule::write_timeout(bytes), written);
    let written = tokio::select! {
        biased;
        _ = holding.until_closed() => return Err(std::io::ErrorKind::Interrupted.into()),
        written = written => written,
    };
    match written {
        Ok(result) => result?,
        Err(elapsed) => {
            holding.budget().acted(Limit::Answer);
            return Err(std::io::Error::new(std::io::ErrorKind::TimedOut, elapsed));
        }
    }
    shrink(stream.write_buffer_mut(), bytes);
    stream.get_mut().message_ended();
    // Less than before is never refused.
    holding
        .receive(stream.read_buffer().len())
        .map_err(std::io::Error::other)
}
