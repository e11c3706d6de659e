//! Steps of one request: checks, slot, connection, exchange, durability and final answer.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_policy::queue::WorkClass;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_wire::ConfirmPosition;
use mustardbay_wire::Mode;
use tokio::time::Instant;

use super::answer::Answer;
use super::batch::Batch;
use super::destination::Destination;
use super::destination::check_admission;
use super::destination::check_condition;
use super::destination::locate;
use super::destination::refuse_unavailable;
use super::exchange::Summary;
use super::recorded::serve_recorded;
use super::refusals::BUSY_RETRY;
use super::refusals::cancelled;
use super::refusals::out_of_memory;
use super::refusals::rejected;
use super::refusals::stale;
use super::refusals::unsupported;
use super::run::run;
use super::session::Session;
use super::session::roll_back;
use super::stop::Stop;
use crate::pool::Pool;
use crate::upstream::LeasedConnection;
use crate::upstream::SQLSTATE_STALE_TERM;
use crate::upstream::SQLSTATE_TOO_MANY_CONNECTIONS;
use crate::upstream::Slot;
use crate::upstream::SlotClaim;
use crate::upstream::Upstream;
use crate::upstream::UpstreamError;
use crate::upstream::UpstreamKey;

/// Final status of a request that was served.
pub(super) struct Served {
    /// Transaction status byte of `ReadyForQuery`.
    pub(super) status: u8,
    pub(super) committed: Option<Position>,
}

/// Serves one batch and answers it.
pub(crate) async fn serve_submit(
    pool: Pool,
    session: Arc<tokio::sync::Mutex<Session>>,
    batch: Batch,
    mut answer: Answer,
    stop: Stop,
) {
    let mut session = session.lock().await;
    let served = serve(&pool, &mut session, &batch, &mut answer, &stop).await;
    let positions = pool.positions(&batch.key.group);
    match served {
        Ok(Served { status, committed }) => answer.finish(status, committed, positions).await,
        Err(refusal) => {
            if batch.mode == Mode::Continue {
                session.end().await;
            }
            pool.metrics().count_refusal(&refusal);
            tracing::debug!(event = "request_refused", account = %batch.account, reason = ?refusal.reason, outcome = ?refusal.outcome);
            answer.refuse(refusal, positions).await;
        }
    }
}

async fn serve(
    pool: &Pool,
    session: &mut Session,
    batch: &Batch,
    answer: &mut Answer,
    stop: &Stop,
) -> Result<Served, Refusal> {
    let memory = pool.memory().take(batch.messages.len());
    answer.set_memory(memory.ok_or_else(out_of_memory)?);
    let destination = locate(pool, &batch.key)?;
    check_admission(pool, &destination, batch)?;
    match (&batch.idempotency_key, batch.mode) {
        (None, _) | (Some(_), Mode::Read) => {}
        (Some(_), Mode::Write) => {
            return serve_recorded(&destination, session, batch, answer, stop).await;
        }
        (Some(_), _) => return Err(unsupported("request ids need a statement of their own")),
    }
    let (leased, slot) = prepare_while_available(&destination, session, batch, stop).await?;
    let started = Instant::now();
    let (leased, summary) = run(leased, batch, answer, stop).await?;
    drop(slot);
    pool.metrics().record_service(started.elapsed());
    if let Some(error) = &summary.rejection {
        roll_back(leased).await;
        return Err(rejected(error));
    }
    if summary.status == b'I' {
        leased.release();
    } else {
        session.hold(leased);
    }
    let wait_began = Instant::now();
    let committed = match wait_committed(&destination, batch, &summary).await {
        Ok(committed) => committed,
        Err(refusal) => {
            session.end().await;
            return Err(refusal);
        }
    };
    if committed.is_some() {
        pool.metrics().record_durable_wait(wait_began.elapsed());
    }
    answer.flush().await;
    if !summary.held.is_empty() {
        answer.send_chunk(summary.held.freeze()).await;
    }
    Ok(Served {
        status: summary.status,
        committed,
    })
}

/// Prepares a batch; fails when it is cancelled or its upstream stops taking new work.
pub(super) async fn prepare_while_available(
    destination: &Destination,
    session: &mut Session,
    batch: &Batch,
    stop: &Stop,
) -> Result<(LeasedConnection, Slot), Refusal> {
    let unavailable = async {
        if batch.mode == Mode::Continue {
            std::future::pending::<()>().await;
        }
        destination.upstream.until_unavailable(batch.term).await
    };
    let began = Instant::now();
    let prepared = tokio::select! {
        biased;
        () = stop.before_start() => return Err(cancelled()),
        unavailable = unavailable => return Err(refuse_unavailable(unavailable)),
        prepared = prepare(destination, session, batch) => prepared?,
    };
    destination.pool.metrics().record_slot_wait(began.elapsed());
    Ok(prepared)
}

/// Waits for a slot and a connection; nothing is sent to the upstream yet.
async fn prepare(
    destination: &Destination,
    session: &mut Session,
    batch: &Batch,
) -> Result<(LeasedConnection, Slot), Refusal> {
    if batch.mode == Mode::Continue {
        let slot = acquire_slot(destination, batch, WorkClass::InTransaction).await?;
        return Ok((take_transaction(session, batch)?, slot));
    }
    check_fresh(destination, batch).await?;
    let slot = acquire_slot(destination, batch, WorkClass::New).await?;
    check_fresh(destination, batch).await?;
    Ok((lease(destination, batch).await?, slot))
}

async fn acquire_slot(
    destination: &Destination,
    batch: &Batch,
    class: WorkClass,
) -> Result<Slot, Refusal> {
    let claim = SlotClaim {
        account: batch.account.clone(),
        weight: destination.index.weight(&batch.account),
        class,
        deadline: batch.deadline,
    };
    let slot = destination.upstream.slots.acquire(claim).await;
    slot.map_err(|no_slot| {
        let after = Some(no_slot.retry_after);
        Refusal::not_run(Reason::Overloaded, "no slot before the deadline", after)
    })
}

fn take_transaction(session: &mut Session, batch: &Batch) -> Result<LeasedConnection, Refusal> {
    if session.is_overdue() {
        return Err(stale("the transaction's term or upstream has ended"));
    }
    session.take(&batch.key).ok_or_else(|| {
        Refusal::not_run(
            Reason::ConnectionLost,
            "the session holds no transaction here",
            None,
        )
    })
}

/// Checks that the upstream may serve the batch, and waits for a replica that is behind.
///
/// Writes need the primary. Reads need an upstream that has reached the floor or is within the
/// maximum age. The term must not be older than that of the floor.
async fn check_fresh(destination: &Destination, batch: &Batch) -> Result<(), Refusal> {
    if batch.floor.is_some_and(|floor| floor.term > batch.term) {
        // In an older term even the primary may lack the session's writes.
        return Err(stale("the session has seen a newer term than this pool"));
    }
    if destination.is_primary {
        return Ok(());
    }
    if batch.may_commit() {
        return Err(stale("upstream is not the primary"));
    }
    let wait = Duration::from_millis(destination.index.bundle.limits.behind_ms);
    let until = batch.deadline.min(Instant::now() + wait);
    let fresh = match (batch.max_age, batch.floor) {
        (Some(age), _) => destination.upstream.wait_max_age(age, until).await,
        (None, Some(floor)) => destination.upstream.wait_applied(floor, until).await,
        (None, None) => true,
    };
    if fresh {
        return Ok(());
    }
    Err(Refusal::not_run(
        Reason::Behind,
        "upstream is behind the session's floor",
        Some(wait),
    ))
}

async fn lease(destination: &Destination, batch: &Batch) -> Result<LeasedConnection, Refusal> {
    let upstream = &destination.upstream;
    let leased = upstream
        .lease(&batch.account, batch.term, batch.deadline)
        .await;
    leased.map_err(|e| match (e.sqlstate(), &e) {
        (Some(SQLSTATE_STALE_TERM | SQLSTATE_TOO_MANY_CONNECTIONS), _) => rejected(&e),
        (_, UpstreamError::NoConnection) => {
            Refusal::not_run(Reason::Overloaded, e.to_string(), Some(BUSY_RETRY))
        }
        (_, UpstreamError::Backoff(pause)) => {
            Refusal::not_run(Reason::NoUpstream, e.to_string(), Some(*pause))
        }
        _ => Refusal::not_run(Reason::NoUpstream, e.to_string(), Some(BUSY_RETRY)),
    })
}

/// Waits until the commit of the batch is durable and returns its position, if it committed.
async fn wait_committed(
    destination: &Destination,
    batch: &Batch,
    summary: &Summary,
) -> Result<Option<Position>, Refusal> {
    let Some(position) = summary.committed().filter(|_| batch.may_commit()) else {
        return Ok(None);
    };
    wait_durable(destination, position).await?;
    Ok(Some(position))
}

/// Waits until a replica has received the log up to `position`.
pub(super) async fn wait_durable(
    destination: &Destination,
    position: Position,
) -> Result<(), Refusal> {
    let until = Instant::now() + Duration::from_millis(destination.index.bundle.limits.durable_ms);
    let confirmations = &destination.upstream.confirmations;
    match confirmations.wait_received(position, until).await {
        Ok(_) => Ok(()),
        Err(e) => Err(Refusal::unknown(Reason::NotDurable, e.to_string())),
    }
}

/// Answers a request for a confirmed position of the primary.
pub(crate) async fn serve_confirm(pool: Pool, request: ConfirmPosition, answer: Answer) {
    let until = Instant::now() + Duration::from_millis(request.deadline_ms);
    let key = UpstreamKey {
        group: request.group.into(),
        upstream: request.upstream.into(),
    };
    let destination = locate(&pool, &key).and_then(|destination| {
        check_condition(&destination, Term(request.term))?;
        Ok(destination)
    });
    let confirmed = match destination {
        Ok(destination) if destination.is_primary => confirm(&destination.upstream, until).await,
        Ok(_) => Err(stale("upstream is not the primary")),
        Err(refusal) => Err(refusal),
    };
    match confirmed {
        Ok(position) => answer.confirm(position).await,
        Err(refusal) => answer.refuse(refusal, pool.positions(&key.group)).await,
    }
}

async fn confirm(upstream: &Upstream, until: Instant) -> Result<Position, Refusal> {
    let confirmed = upstream.confirmations.confirm(until).await;
    confirmed.map_err(|e| match e.sqlstate() {
        Some(SQLSTATE_STALE_TERM) => rejected(&e),
        _ => Refusal::not_run(Reason::NoPrimary, e.to_string(), Some(BUSY_RETRY)),
    })
}
