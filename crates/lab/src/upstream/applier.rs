//! Execution of received log entries on a replica, after the configured lag.

use std::sync::Arc;
use std::time::Instant;

use rusqlite::Connection;

use super::database;
use super::log::LogEntry;
use super::shared::Shared;
use super::sql_error::SqlError;
use super::state::Role;

/// Executes each received entry once its lag has passed, while the upstream is a replica.
///
/// Returns only on an error.
///
/// # Errors
///
/// Fails if the database cannot be opened or an entry cannot be executed.
pub async fn run(shared: Arc<Shared>) -> Result<(), SqlError> {
    let mut changed = shared.changed.subscribe();
    loop {
        shared.gate.pass().await;
        changed.mark_unchanged();
        let due = {
            let state = shared.state();
            match state.role {
                Role::Replica => state.next_due(),
                Role::Primary | Role::Fenced => None,
            }
        };
        let Some(due) = due else {
            let received = changed.changed().await;
            debug_assert!(received.is_ok(), "`Shared` owns the sender");
            continue;
        };
        if due > Instant::now() {
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                _ = changed.changed() => {}
            }
            continue;
        }
        let writer = shared.writer.lock().await;
        apply_due(&shared).await?;
        drop(writer);
        shared.notify_changed();
    }
}

/// Executes every received entry at once; the caller must hold the writer lock.
///
/// # Errors
///
/// Fails if an entry cannot be executed.
pub async fn apply_all(shared: &Arc<Shared>) -> Result<(), SqlError> {
    let entries = {
        let state = shared.state();
        state.log.after(state.applied, usize::MAX)
    };
    execute(shared, entries).await
}

/// Executes the entries whose lag has passed; the caller must hold the writer lock.
async fn apply_due(shared: &Arc<Shared>) -> Result<(), SqlError> {
    let entries = {
        let state = shared.state();
        if state.role != Role::Replica {
            return Ok(());
        }
        state.due_entries(Instant::now())
    };
    execute(shared, entries).await
}

async fn execute(shared: &Arc<Shared>, entries: Vec<Arc<LogEntry>>) -> Result<(), SqlError> {
    if entries.is_empty() {
        return Ok(());
    }
    let last = entries.last().map_or(0, |entry| entry.index);
    run_blocking(shared, move |conn| database::apply(conn, &entries)).await?;
    shared.state().mark_applied(last);
    Ok(())
}

/// Runs `work` with a new database connection on a blocking thread.
///
/// # Errors
///
/// Fails if the connection cannot be opened, or `work` fails or panics.
pub async fn run_blocking(
    shared: &Arc<Shared>,
    work: impl FnOnce(&mut Connection) -> Result<(), SqlError> + Send + 'static,
) -> Result<(), SqlError> {
    let shared = Arc::clone(shared);
    let joined = tokio::task::spawn_blocking(move || {
        let mut conn = shared.database.open()?;
        work(&mut conn)
    });
    match joined.await {
        Ok(result) => result,
        Err(e) => Err(SqlError::internal(e.to_string())),
    }
}
