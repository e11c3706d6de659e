//! Primary's side of a replication connection: sends the log to one replica.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::position::Term;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::replication;
use super::replication::ReplicationStream;
use super::replication::ToPrimary;
use super::replication::ToReplica;
use super::shared::Shared;
use super::state::Ack;
use super::state::Role;
use super::state::State;

/// Time that a pull waits for new entries before it gets an empty reply.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// Serves one replica until it disconnects or this upstream stops being primary of the term.
///
/// # Errors
///
/// Fails if the connection is lost.
pub async fn serve(shared: &Arc<Shared>, mut tcp: TcpStream) -> std::io::Result<()> {
    tcp.read_u8().await?;
    let mut stream = replication::frame(tcp);
    shared.gate.pass().await;
    let Some(ToPrimary::Hello {
        replica,
        term,
        term_history,
    }) = replication::receive(&mut stream).await?
    else {
        return Ok(());
    };
    let common = {
        let state = shared.state();
        is_primary(&state, term).then(|| state.log.last_common(&term_history))
    };
    let Some(common) = common else {
        return refuse(shared, &mut stream).await;
    };
    replication::send(&mut stream, &ToReplica::Welcome { common }).await?;
    while let Some(ToPrimary::Pull { received, probe }) = replication::receive(&mut stream).await? {
        shared.gate.pass().await;
        let acknowledged = {
            let mut state = shared.state();
            let is_primary = is_primary(&state, term);
            if is_primary {
                state.acknowledge(&replica, Ack { received, probe });
            }
            is_primary
        };
        if !acknowledged {
            return refuse(shared, &mut stream).await;
        }
        shared.notify_changed();
        wait_for_change(shared, term, received, probe).await;
        shared.gate.pass().await;
        let Some(reply) = next_entries(shared, term, received) else {
            return refuse(shared, &mut stream).await;
        };
        replication::send(&mut stream, &reply).await?;
    }
    Ok(())
}

fn is_primary(state: &State, term: Term) -> bool {
    state.role == Role::Primary && state.term == term
}

fn next_entries(shared: &Shared, term: Term, received: u64) -> Option<ToReplica> {
    let state = shared.state();
    is_primary(&state, term).then(|| ToReplica::Entries {
        entries: state.log.after(received, MAX_ENTRIES_PER_MESSAGE),
        last: state.log.last(),
        probe: state.probe,
    })
}

/// Waits until there is a new entry or probe or the role ends, one heartbeat interval at most.
async fn wait_for_change(shared: &Shared, term: Term, received: u64, probe: u64) {
    let mut changed = shared.changed.subscribe();
    let change = async {
        loop {
            changed.mark_unchanged();
            let unchanged = {
                let state = shared.state();
                is_primary(&state, term) && state.log.last() <= received && state.probe <= probe
            };
            if !unchanged || changed.changed().await.is_err() {
                return;
            }
        }
    };
    // The empty reply tells the replica that the primary is alive.
    if tokio::time::timeout(HEARTBEAT_INTERVAL, change)
        .await
        .is_err()
    {
        tracing::trace!(event = "heartbeat", upstream = %shared.config.name);
    }
}

/// Tells the replica that this upstream is not the primary of its term.
async fn refuse(shared: &Shared, stream: &mut ReplicationStream) -> std::io::Result<()> {
    let term = shared.state().term;
    replication::send(stream, &ToReplica::Refused { term }).await
}
