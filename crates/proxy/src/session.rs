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

use crate::entry::Entry;
use crate::session::client::Client;
use crate::session::drain_schedule::Close;
use crate::session::drain_schedule::DrainSchedule;
use crate::wire::FromCaller;
use crate::wire::ToCaller;
use crate::wire::Wire;

pub use crate::session::drain_schedule::LAST_START_PERCENT;

/// Serves a client connection until either side closes it.
pub async fn serve<W: Wire>(stream: TcpStream, number: u64, entry: Arc<Entry>) {
    let mut stream = Framed::new(stream, W::Caller::default());
    let schedule = DrainSchedule::new(number, entry.lifecycle.clone(), entry.timing.grace);
    let client = tokio::select! {
        client = begin::<W>(&mut stream, number, &entry, &schedule) => client,
        _ = schedule.until_close(true) => None,
    };
    let Some(mut client) = client else {
        return;
    };
    let reason = loop {
        let next = tokio::select! {
            biased;
            close = schedule.until_close(client.can_close()) => match close {
                Close::Idle => break "drained",
                Close::Transaction => {
                    client.abort_transaction("the vm is stopping");
                    continue;
                }
            },
            () = client.until_expiry() => {
                client.abort_transaction("the transaction reached its idle timeout");
                continue;
            }
            message = stream.next() => message,
        };
        let answer = match next {
            Some(Ok(FromCaller::Query(request))) => client.answer(request).await,
            Some(Ok(FromCaller::Malformed | FromCaller::Start { .. })) => client.malformed(),
            Some(Ok(FromCaller::Quit)) => break "quit",
            Some(Err(e)) => {
                tracing::debug!(event = "caller_failed", session = number, error = %e);
                break "failed";
            }
            None => break "closed",
        };
        if send::<W>(&mut stream, answer).await.is_err() {
            break "not read";
        }
        if client.must_leave() {
            break "drained";
        }
    };
    client.abort_transaction(reason);
    tracing::debug!(event = "session_ended", session = number, reason);
}

/// Waits for the start message and answers it; `None` if no session begins.
async fn begin<W: Wire>(
    stream: &mut Framed<TcpStream, W::Caller>,
    number: u64,
    entry: &Arc<Entry>,
    schedule: &DrainSchedule,
) -> Option<Client> {
    let first = tokio::time::timeout(drain_schedule::START_TIMEOUT, stream.next()).await;
    let Ok(Some(Ok(FromCaller::Start { route, key }))) = first else {
        return None;
    };
    let entry = Arc::clone(entry);
    let started = Client::start(number, route, key, entry, schedule.clone()).await;
    let (client, answer) = match started {
        Ok(client) => (Some(client), answer::ready()),
        Err(denial) => (None, vec![ToCaller::Error(denial.code(), denial.text())]),
    };
    send::<W>(stream, answer).await.ok()?;
    client
}

async fn send<W: Wire>(
    stream: &mut Framed<TcpStream, W::Caller>,
    messages: Vec<ToCaller>,
) -> std::io::Result<()> {
    for message in messages {
        stream.feed(message).await?;
    }
    let flushed = tokio::time::timeout(drain_schedule::WRITE_TIMEOUT, stream.flush()).await;
    match flushed {
        Ok(result) => result,
        Err(elapsed) => Err(std::io::Error::new(std::io::ErrorKind::TimedOut, elapsed)),
    }
}
