//! Course of one request: checks, slot, connection, exchange, durable wait, final answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_policy::queue::Class;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_wire::ConfirmPosition;
use mustardbay_wire::Mode;
use tokio::time::Instant;
use tokio::time::error::Elapsed;
use tokio::time::timeout_at;

use super::answer::Answer;
use super::batch::Batch;
use super::cancel::send_cancel;
use super::exchange::Summary;
use super::exchange::exchange;
use super::recorded::serve_recorded;
use super::refusals::BUSY_RETRY;
use super::refusals::cancelled;
use super::refusals::draining;
use super::refusals::leaving;
use super::refusals::rejected;
use super::refusals::stale;
use super::refusals::unsupported;
use super::session::Session;
use super::session::roll_back;
use super::stop::Stop;
use crate::catalog::Catalog;
use crate::server::Pool;
use crate::upstream::Claim;
use crate::upstream::Ended;
use crate::upstream::Leased;
use crate::upstream::SQLSTATE_TERM;
use crate::upstream::SQLSTATE_TOO_MANY;
use crate::upstream::Slot;
use crate::upstream::Target;
use crate::upstream::Upstream;
use crate::upstream::UpstreamError;
use crate::upstream::UpstreamKey;

/// Time that a cancelled statement gets to end.
const CANCEL_GRACE: Duration = Duration::from_secs(1);

/// Upstream of a request and what the view says of it.
pub(super) struct Place {
    pool: Pool,
    pub(super) upstream: Arc<Upstream>,
    primary: bool,
    catalog: Arc<Catalog>,
}

/// End of a request that was served.
pub(super) struct Served {
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
    let place = locate(pool, &batch.key)?;
    check_open(pool, &place, batch)?;
    match (&batch.idempotency_key, batch.mode) {
        (None, _) | (Some(_), Mode::Read) => {}
        (Some(_), Mode::Write) => {
            return serve_recorded(&place, session, batch, answer, stop).await;
        }
        (Some(_), _) => return Err(unsupported("request ids need a statement of their own")),
    }
    let (leased, slot) = prepare_unless_ended(&place, session, batch, stop).await?;
    let started = Instant::now();
    let (leased, summary) = run(leased, batch, answer, stop).await?;
    drop(slot);
    pool.metrics().record_service(started.elapsed());
    if let Some(error) = &summary.rejection {
        roll_back(leased).await;
        return Err(rejected(error));
    }
    if summary.status == b'I' {
        leased.give_back();
    } else {
        session.hold(leased);
    }
    let settling = Instant::now();
    let committed = match settle(&place, batch, &summary).await {
        Ok(committed) => committed,
        Err(refusal) => {
            session.end().await;
            return Err(refusal);
        }
    };
    if committed.is_some() {
        pool.metrics().record_durable_wait(settling.elapsed());
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

/// Prepares a batch, unless it is cancelled or its upstream takes no new work any more.
pub(super) async fn prepare_unless_ended(
    place: &Place,
    session: &mut Session,
    batch: &Batch,
    stop: &Stop,
) -> Result<(Leased, Slot), Refusal> {
    let ended = async {
        if batch.mode == Mode::Continue {
            std::future::pending::<()>().await;
        }
        place.upstream.until_ended(batch.term).await
    };
    let began = Instant::now();
    let prepared = tokio::select! {
        biased;
        () = stop.before_start() => return Err(cancelled()),
        ended = ended => return Err(refuse_ended(ended)),
        prepared = prepare(place, session, batch) => prepared?,
    };
    place.pool.metrics().record_slot_wait(began.elapsed());
    Ok(prepared)
}

/// Waits for a slot and a connection; nothing is sent before this returns.
async fn prepare(
    place: &Place,
    session: &mut Session,
    batch: &Batch,
) -> Result<(Leased, Slot), Refusal> {
    if batch.mode == Mode::Continue {
        let slot = claim(place, batch, Class::Held).await?;
        return Ok((held(session, batch)?, slot));
    }
    check_fresh(place, batch).await?;
    let slot = claim(place, batch, Class::New).await?;
    check_fresh(place, batch).await?;
    Ok((lease(place, batch).await?, slot))
}

async fn claim(place: &Place, batch: &Batch, class: Class) -> Result<Slot, Refusal> {
    let claim = Claim {
        account: batch.account.clone(),
        weight: place.catalog.weight(&batch.account),
        class,
        deadline: batch.deadline,
    };
    let slot = place.upstream.slots.acquire(claim).await;
    slot.map_err(|crowded| {
        let after = Some(crowded.retry_after);
        Refusal::not_run(Reason::Overloaded, "no slot before the deadline", after)
    })
}

/// Finds the upstream in the view.
fn locate(pool: &Pool, key: &UpstreamKey) -> Result<Place, Refusal> {
    let Some(view) = pool.view() else {
        return Err(stale("pool has no view yet"));
    };
    let Some(state) = view.groups.get(&key.group) else {
        return Err(stale("group is not known"));
    };
    let catalog = pool.catalog(&view);
    let Some(upstream) = pool.upstream(&catalog, key) else {
        return Err(stale("upstream is not in the bundle"));
    };
    let leaving = catalog.upstream(key).is_some_and(|entry| entry.leaving);
    upstream.fit(state.term, leaving);
    Ok(Place {
        pool: pool.clone(),
        upstream,
        primary: state.primary.as_ref() == Some(&key.upstream),
        catalog,
    })
}

/// Checks that new work may start: the process serves, the term is in force, the upstream stays,
/// and a primary's replicas confirm what it writes.
fn check_open(pool: &Pool, place: &Place, batch: &Batch) -> Result<(), Refusal> {
    if batch.mode == Mode::Continue {
        return Ok(());
    }
    if pool.life().is_draining() {
        return Err(draining());
    }
    check_condition(place, batch.term)?;
    let bound = Duration::from_millis(place.catalog.bundle.limits.suspect_ms);
    if place.primary && batch.may_commit() && place.upstream.confirmations.is_suspect(bound) {
        return Err(Refusal::not_run(
            Reason::NoPrimary,
            "no replica confirms the primary",
            Some(BUSY_RETRY),
        ));
    }
    Ok(())
}

fn check_condition(place: &Place, term: Term) -> Result<(), Refusal> {
    match place.upstream.condition().ended(term) {
        Some(ended) => Err(refuse_ended(ended)),
        None => Ok(()),
    }
}

fn refuse_ended(ended: Ended) -> Refusal {
    match ended {
        Ended::Term(term) => stale(format!("term {term} is in force")),
        Ended::Leaving => leaving(),
    }
}

fn held(session: &mut Session, batch: &Batch) -> Result<Leased, Refusal> {
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

/// Checks that the upstream may serve the batch: the primary for writes, fresh enough for reads.
async fn check_fresh(place: &Place, batch: &Batch) -> Result<(), Refusal> {
    if place.primary {
        return Ok(());
    }
    if batch.may_commit() {
        return Err(stale("upstream is not the primary"));
    }
    let wait = Duration::from_millis(place.catalog.bundle.limits.behind_ms);
    let until = batch.deadline.min(Instant::now() + wait);
    let fresh = match (batch.max_age, batch.floor) {
        (Some(age), _) => place.upstream.refresh(age, until).await,
        (None, Some(floor)) => place.upstream.reach(floor, until).await,
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

async fn lease(place: &Place, batch: &Batch) -> Result<Leased, Refusal> {
    let upstream = &place.upstream;
    let leased = upstream
        .lease(&batch.account, batch.term, batch.deadline)
        .await;
    leased.map_err(|e| match (e.code(), &e) {
        (Some(SQLSTATE_TERM | SQLSTATE_TOO_MANY), _) => rejected(&e),
        (_, UpstreamError::NoConnection) => {
            Refusal::not_run(Reason::Overloaded, e.to_string(), Some(BUSY_RETRY))
        }
        (_, UpstreamError::Paused(pause)) => {
            Refusal::not_run(Reason::NoUpstream, e.to_string(), Some(*pause))
        }
        _ => Refusal::not_run(Reason::NoUpstream, e.to_string(), Some(BUSY_RETRY)),
    })
}

/// Exchanges the batch; the connection comes back only if its answer was read to the end.
pub(super) async fn run(
    mut leased: Leased,
    batch: &Batch,
    answer: &mut Answer,
    stop: &Stop,
) -> Result<(Leased, Summary), Refusal> {
    let target = leased.upstream.target.clone();
    let message = leased.con.cancel_message();
    let upstream = Arc::clone(&leased.upstream);
    let ended = {
        let work = timeout_at(
            batch.deadline + CANCEL_GRACE,
            exchange(&mut leased.con, batch, answer),
        );
        tokio::pin!(work);
        let stopped = async {
            tokio::select! {
                () = stop.while_running() => {}
                () = tokio::time::sleep_until(batch.deadline) => {}
            }
        };
        tokio::select! {
            ended = &mut work => ended,
            () = stopped => match &message {
                Some(message) => cancel_and_wait(work, &target, message).await,
                None => work.await,
            },
        }
    };
    if let Ok(Ok(summary)) = &ended {
        upstream.known.report_all(&summary.reports);
    }
    match ended {
        Ok(Ok(summary)) => Ok((leased, summary)),
        Ok(Err(e)) => Err(Refusal::unknown(Reason::ConnectionLost, e.to_string())),
        Err(_) => Err(Refusal::unknown(
            Reason::ConnectionLost,
            "no answer before the deadline",
        )),
    }
}

/// Waits for the end of work that is being cancelled.
///
/// Where the cancel request may still be under way, the work counts as failed, so that its
/// connection is closed and the request cannot hit a later statement.
async fn cancel_and_wait(
    work: impl Future<Output = Result<Result<Summary, UpstreamError>, Elapsed>>,
    target: &Target,
    message: &Bytes,
) -> Result<Result<Summary, UpstreamError>, Elapsed> {
    let (ended, sent) = tokio::join!(work, send_cancel(target, message));
    match ended {
        Ok(Ok(_)) if !sent => Ok(Err(UpstreamError::Protocol("cancel request not confirmed"))),
        ended => ended,
    }
}

/// Waits until what the batch committed is durable, and returns its position.
async fn settle(
    place: &Place,
    batch: &Batch,
    summary: &Summary,
) -> Result<Option<Position>, Refusal> {
    let Some(position) = summary.committed().filter(|_| batch.may_commit()) else {
        return Ok(None);
    };
    wait_durable(place, position).await?;
    Ok(Some(position))
}

/// Waits until a replica has received `position`.
pub(super) async fn wait_durable(place: &Place, position: Position) -> Result<(), Refusal> {
    let until = Instant::now() + Duration::from_millis(place.catalog.bundle.limits.durable_ms);
    let confirmations = &place.upstream.confirmations;
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
    let place = locate(&pool, &key).and_then(|place| {
        check_condition(&place, Term(request.term))?;
        Ok(place)
    });
    let confirmed = match place {
        Ok(place) if place.primary => confirm(&place.upstream, until).await,
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
    confirmed.map_err(|e| match e.code() {
        Some(SQLSTATE_TERM) => rejected(&e),
        _ => Refusal::not_run(Reason::NoPrimary, e.to_string(), Some(BUSY_RETRY)),
    })
}
