//! Course of one request: checks, slot, connection, exchange, durable wait, final answer.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_policy::queue::Class;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_wire::ConfirmPosition;
use mustardbay_wire::Mode;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use super::answer::Answer;
use super::batch::Batch;
use super::cancel::send_cancel;
use super::exchange::Summary;
use super::exchange::exchange;
use super::session::Session;
use super::session::roll_back;
use crate::catalog::Catalog;
use crate::server::Pool;
use crate::upstream::Claim;
use crate::upstream::Leased;
use crate::upstream::SQLSTATE_TERM;
use crate::upstream::SQLSTATE_TOO_MANY;
use crate::upstream::Slot;
use crate::upstream::Upstream;
use crate::upstream::UpstreamError;
use crate::upstream::UpstreamKey;

/// When a request is worth repeating after a change of the view.
const VIEW_RETRY: Duration = Duration::from_millis(50);
/// When a request is worth repeating after its upstream was busy.
const BUSY_RETRY: Duration = Duration::from_millis(100);
/// Time that a cancelled statement gets to end.
const CANCEL_GRACE: Duration = Duration::from_secs(1);

/// Upstream of a request and what the view says of it.
struct Place {
    upstream: Arc<Upstream>,
    primary: bool,
    catalog: Arc<Catalog>,
}

/// End of a request that was served.
struct Served {
    status: u8,
    committed: Option<Position>,
}

/// Serves one batch and answers it.
pub(crate) async fn serve_submit(
    pool: Pool,
    session: Arc<tokio::sync::Mutex<Session>>,
    batch: Batch,
    mut answer: Answer,
    cancel: CancellationToken,
) {
    let mut session = session.lock().await;
    let served = serve(&pool, &mut session, &batch, &mut answer, &cancel).await;
    let positions = pool.positions(&batch.key.group);
    match served {
        Ok(Served { status, committed }) => answer.finish(status, committed, positions).await,
        Err(refusal) => {
            if batch.mode == Mode::Continue {
                session.end().await;
            }
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
    cancel: &CancellationToken,
) -> Result<Served, Refusal> {
    let place = locate(pool, &batch.key, batch.term)?;
    if batch.idempotency_key.is_some() {
        return Err(unsupported("request records"));
    }
    let (leased, slot) = tokio::select! {
        biased;
        () = cancel.cancelled() => return Err(cancelled()),
        prepared = prepare(&place, session, batch) => prepared?,
    };
    let (leased, summary) = run(leased, batch, answer, cancel).await?;
    drop(slot);
    if let Some(error) = &summary.rejection {
        roll_back(leased).await;
        return Err(rejected(error));
    }
    if summary.status == b'I' {
        leased.give_back();
    } else {
        session.hold(leased);
    }
    let committed = match settle(&place, batch, &summary).await {
        Ok(committed) => committed,
        Err(refusal) => {
            session.end().await;
            return Err(refusal);
        }
    };
    answer.flush().await;
    if !summary.held.is_empty() {
        answer.send_chunk(summary.held.freeze()).await;
    }
    Ok(Served {
        status: summary.status,
        committed,
    })
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

/// Finds the upstream and checks the request's term against the view's.
fn locate(pool: &Pool, key: &UpstreamKey, term: Term) -> Result<Place, Refusal> {
    let Some(view) = pool.view() else {
        return Err(stale("pool has no view yet"));
    };
    let Some(state) = view.groups.get(&key.group) else {
        return Err(stale("group is not known"));
    };
    if state.term != term {
        return Err(stale(format!("term {} is in force", state.term)));
    }
    let catalog = pool.catalog(&view);
    let Some(upstream) = pool.upstream(&catalog, key) else {
        return Err(stale("upstream is not in the bundle"));
    };
    upstream.known.begin_term(term);
    Ok(Place {
        upstream,
        primary: state.primary.as_ref() == Some(&key.upstream),
        catalog,
    })
}

fn held(session: &mut Session, batch: &Batch) -> Result<Leased, Refusal> {
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
    let leased = place.upstream.lease(batch.term, batch.deadline).await;
    leased.map_err(|e| match e.code() {
        Some(SQLSTATE_TERM | SQLSTATE_TOO_MANY) => rejected(&e),
        _ => Refusal::not_run(Reason::NoUpstream, e.to_string(), Some(BUSY_RETRY)),
    })
}

/// Exchanges the batch; the connection comes back only if its answer was read to the end.
async fn run(
    mut leased: Leased,
    batch: &Batch,
    answer: &mut Answer,
    cancel: &CancellationToken,
) -> Result<(Leased, Summary), Refusal> {
    let target = leased.upstream.target.clone();
    let message = leased.con.cancel_message();
    let upstream = Arc::clone(&leased.upstream);
    let mut ended = {
        let work = timeout_at(
            batch.deadline + CANCEL_GRACE,
            exchange(&mut leased.con, batch, answer),
        );
        tokio::pin!(work);
        let stopped = async {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = tokio::time::sleep_until(batch.deadline) => {}
            }
        };
        tokio::select! {
            ended = &mut work => ended,
            () = stopped => match &message {
                Some(message) => tokio::join!(work, send_cancel(&target, message)).0,
                None => work.await,
            },
        }
    };
    if let Ok(Ok(summary)) = &mut ended {
        for report in summary.reports.drain(..) {
            upstream.known.report(report);
        }
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

/// Waits until what the batch committed is durable, and returns its position.
async fn settle(
    place: &Place,
    batch: &Batch,
    summary: &Summary,
) -> Result<Option<Position>, Refusal> {
    let Some(position) = summary.committed().filter(|_| batch.may_commit()) else {
        return Ok(None);
    };
    let until = Instant::now() + Duration::from_millis(place.catalog.bundle.limits.durable_ms);
    let confirmations = &place.upstream.confirmations;
    match confirmations.wait_received(position, until).await {
        Ok(_) => Ok(Some(position)),
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
    let confirmed = match locate(&pool, &key, Term(request.term)) {
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

/// Refuses a request of which the upstream said that it ran nothing.
fn rejected(error: &UpstreamError) -> Refusal {
    let (reason, after) = match error.code() {
        Some(SQLSTATE_TERM) => (Reason::StaleTerm, VIEW_RETRY),
        Some(SQLSTATE_TOO_MANY) => (Reason::Overloaded, BUSY_RETRY),
        _ => (Reason::NoPrimary, VIEW_RETRY),
    };
    Refusal::not_run(reason, error.to_string(), Some(after))
}

fn stale(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::StaleTerm, message, Some(VIEW_RETRY))
}

fn cancelled() -> Refusal {
    Refusal::not_run(Reason::Cancelled, "cancelled before it ran", None)
}

fn unsupported(what: &str) -> Refusal {
    Refusal::not_run(
        Reason::Unsupported,
        format!("{what} are not supported"),
        None,
    )
}
