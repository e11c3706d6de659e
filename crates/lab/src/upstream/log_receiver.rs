//! Replica's side of a replication connection: pulls the log of the primary.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mustardbay_policy::position::Term;
use mustardbay_process::dialer::Dialer;
use tokio::io::AsyncWriteExt;

use super::applier;
use super::database;
use super::replication;
use super::replication::ReplicationStream;
use super::replication::ToPrimary;
use super::replication::ToReplica;
use super::shared::Shared;
use super::sql_error::SqlError;

/// Pause before reconnecting to the primary.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Time limit for connecting to the primary and for each of its replies.
const PRIMARY_TIMEOUT: Duration = Duration::from_secs(1);

/// Spawns a task that follows a primary until the upstream follows another one or is fenced.
pub fn spawn(shared: &Arc<Shared>, primary: String, term: Term) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let stop = shared.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = follow(&shared, &primary, term) => {}
        }
    });
}

async fn follow(shared: &Arc<Shared>, primary: &str, term: Term) {
    while shared.state().follows(primary, term) {
        shared.gate.pass().await;
        if let Err(e) = pull_log(shared, primary, term).await {
            tracing::debug!(event = "replication_lost", upstream = %shared.config.name, error = %e);
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Connects to the primary and pulls its log until the connection ends or the role changes.
async fn pull_log(shared: &Arc<Shared>, primary: &str, term: Term) -> std::io::Result<()> {
    let dialer = Dialer::new(shared.config.source);
    let mut tcp = with_timeout(dialer.connect(primary)).await?;
    tcp.write_u8(replication::MAGIC).await?;
    let mut stream = replication::frame(tcp);
    let hello = ToPrimary::Hello {
        replica: shared.config.name.clone(),
        term,
        term_history: shared.state().log.term_history(),
    };
    replication::send(&mut stream, &hello).await?;
    match receive_reply(&mut stream).await? {
        Some(ToReplica::Welcome { common }) => {
            if !match_primary(shared, primary, term, common)
                .await
                .map_err(to_io_error)?
            {
                return Ok(());
            }
        }
        _ => return Ok(()),
    }
    let mut probe = 0;
    loop {
        shared.gate.pass().await;
        let sent_at = Instant::now();
        let received = {
            let state = shared.state();
            if !state.follows(primary, term) {
                return Ok(());
            }
            state.log.last()
        };
        replication::send(&mut stream, &ToPrimary::Pull { received, probe }).await?;
        let Some(ToReplica::Entries {
            entries,
            last,
            probe: new_probe,
        }) = receive_reply(&mut stream).await?
        else {
            return Ok(());
        };
        shared.gate.pass().await;
        let mut state = shared.state();
        if !state.follows(primary, term) {
            return Ok(());
        }
        state.receive(entries, sent_at, last);
        drop(state);
        probe = new_probe;
        shared.notify_changed();
    }
}

/// Removes the entries after `common`, which the primary does not have.
///
/// If some of them were executed, the database is rebuilt from the entries that remain. Returns
/// `false` if the upstream no longer follows the primary.
async fn match_primary(
    shared: &Arc<Shared>,
    primary: &str,
    term: Term,
    common: u64,
) -> Result<bool, SqlError> {
    let writer = shared.writer.lock().await;
    let (follows, kept) = {
        let state = shared.state();
        let diverged = state.applied > common;
        let kept = usize::try_from(common).unwrap_or(usize::MAX);
        let kept = diverged.then(|| state.log.after(0, kept));
        (state.follows(primary, term), kept)
    };
    if !follows {
        return Ok(false);
    }
    if let Some(kept) = kept {
        applier::run_blocking(shared, move |conn| database::rebuild(conn, &kept)).await?;
        tracing::info!(event = "tail_dropped", upstream = %shared.config.name, %term, common);
    }
    let follows = {
        let mut state = shared.state();
        let follows = state.follows(primary, term);
        if follows {
            state.truncate_log(common);
        } else {
            // A fence may have reported the log's last position, so the log keeps its entries. The
            // database holds those up to `common` only; the others are executed again later.
            state.lower_applied(common);
        }
        follows
    };
    drop(writer);
    shared.notify_changed();
    Ok(follows)
}

async fn receive_reply(stream: &mut ReplicationStream) -> std::io::Result<Option<ToReplica>> {
    with_timeout(replication::receive(stream)).await
}

async fn with_timeout<T>(work: impl Future<Output = std::io::Result<T>>) -> std::io::Result<T> {
    match tokio::time::timeout(PRIMARY_TIMEOUT, work).await {
        Ok(result) => result,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

fn to_io_error(error: SqlError) -> std::io::Error {
    std::io::Error::other(error.message)
}
