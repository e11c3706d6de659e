//! Execution of received log entries on a replica.

use std::sync::Arc;
use std::time::Instant;

use rusqlite::Connection;

use super::core::Core;
use super::database;
use super::fault::Fault;
use super::log::Entry;
use super::state::Role;

/// Executes entries when they are due, for as long as the upstream runs.
///
/// # Errors
///
/// Fails if the database cannot be opened or an entry cannot be executed.
pub async fn run(core: Arc<Core>) -> Result<(), Fault> {
    let mut changed = core.changed.subscribe();
    loop {
        core.gate.pass().await;
        changed.mark_unchanged();
        let due = {
            let state = core.state();
            match state.role {
                Role::Replica => state.next_due(),
                Role::Primary | Role::Fenced => None,
            }
        };
        let Some(due) = due else {
            let woken = changed.changed().await;
            debug_assert!(woken.is_ok(), "the core owns the sender");
            continue;
        };
        if due > Instant::now() {
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                _ = changed.changed() => {}
            }
            continue;
        }
        let writer = core.writer.lock().await;
        apply_due(&core).await?;
        drop(writer);
        core.announce();
    }
}

/// Executes everything received; the caller holds the writer lock.
///
/// # Errors
///
/// Fails if an entry cannot be executed.
pub async fn catch_up(core: &Arc<Core>) -> Result<(), Fault> {
    let entries = {
        let state = core.state();
        state.log.after(state.applied, usize::MAX)
    };
    execute(core, entries).await
}

/// Executes the entries whose lag has passed; the caller holds the writer lock.
async fn apply_due(core: &Arc<Core>) -> Result<(), Fault> {
    let entries = {
        let state = core.state();
        if state.role != Role::Replica {
            return Ok(());
        }
        state.due(Instant::now())
    };
    execute(core, entries).await
}

async fn execute(core: &Arc<Core>, entries: Vec<Arc<Entry>>) -> Result<(), Fault> {
    if entries.is_empty() {
        return Ok(());
    }
    let last = entries.last().map_or(0, |entry| entry.index);
    blocking(core, move |con| database::apply(con, &entries)).await?;
    core.state().mark_applied(last);
    Ok(())
}

/// Runs `work` on a connection of its own, away from the async threads.
///
/// # Errors
///
/// Fails if the connection cannot be opened or the work fails.
pub async fn blocking(
    core: &Arc<Core>,
    work: impl FnOnce(&mut Connection) -> Result<(), Fault> + Send + 'static,
) -> Result<(), Fault> {
    let core = Arc::clone(core);
    let done = tokio::task::spawn_blocking(move || {
        let mut con = core.database.open()?;
        work(&mut con)
    });
    match done.await {
        Ok(result) => result,
        Err(e) => Err(Fault::internal(e.to_string())),
    }
}
