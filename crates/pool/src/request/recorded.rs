//! Requests that run at most once: the record is written in the statement's own transaction.

use std::sync::Arc;

use bytes::BytesMut;
use mustardbay_policy::position::Position;
use mustardbay_policy::refusal::Outcome;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_policy::request_record::CREATE_TABLE;
use mustardbay_policy::request_record::Decision;
use mustardbay_policy::request_record::Digest;
use mustardbay_policy::request_record::MAX_ANSWER_BYTES;
use mustardbay_policy::request_record::RecordKey;
use mustardbay_policy::request_record::decide;
use mustardbay_policy::request_record::may_end_transaction;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::answer::Answer;
use super::batch::Batch;
use super::place::Place;
use super::refusals::BUSY_RETRY;
use super::refusals::rejected;
use super::refusals::unsupported;
use super::run::run;
use super::serve::Served;
use super::serve::prepare_unless_ended;
use super::serve::wait_durable;
use super::session::Session;
use super::session::roll_back;
use super::statement::digest;
use super::stop::Stop;
use crate::upstream::Leased;
use crate::upstream::Rows;
use crate::upstream::SQLSTATE_READ_ONLY;
use crate::upstream::SQLSTATE_TERM;
use crate::upstream::SQLSTATE_TOO_MANY;
use crate::upstream::UpstreamError;

/// SQLSTATE of a key that exists already.
const SQLSTATE_UNIQUE: &str = "23505";
/// SQLSTATE of a table that does not exist.
const SQLSTATE_NO_TABLE: &str = "42P01";

/// Outcome of claiming a request id.
enum Claimed {
    /// The id was free; the transaction is open.
    Fresh,
    /// The id is recorded; no transaction is open.
    Taken,
}

/// Serves a batch that carries a request id.
pub(super) async fn serve_recorded(
    place: &Place,
    session: &mut Session,
    batch: &Batch,
    answer: &mut Answer,
    stop: &Stop,
) -> Result<Served, Refusal> {
    let id = batch.idempotency_key.as_deref().unwrap_or_default();
    let key = RecordKey::new(&batch.account, id).map_err(|e| unsupported(e.to_string()))?;
    let digest = digest(&batch.messages).map_err(|e| unsupported(e.to_string()))?;
    let (mut leased, slot) = prepare_unless_ended(place, session, batch, stop).await?;
    let (position, bytes) = match claim(&mut leased, &key, &digest, batch.deadline).await? {
        Claimed::Taken => replay(leased, &key, &digest, batch.deadline).await?,
        Claimed::Fresh => match run_claimed(leased, batch, answer, stop).await? {
            Ran::Failed(error) => (None, error),
            Ran::Done(leased, bytes) => commit(*leased, &key, bytes, batch.deadline).await?,
        },
    };
    drop(slot);
    if let Some(position) = position {
        wait_durable(place, position).await?;
    }
    answer.send_chunk(bytes.freeze()).await;
    Ok(Served {
        status: b'I',
        committed: position,
    })
}

/// Opens the transaction and inserts the record; creates the table where it is missing.
async fn claim(
    leased: &mut Leased,
    key: &RecordKey,
    digest: &Digest,
    deadline: Instant,
) -> Result<Claimed, Refusal> {
    let insert = key.insert(digest);
    let mut created = false;
    loop {
        control(leased, "BEGIN", deadline)
            .await
            .map_err(|e| not_run(&e))?;
        let Err(e) = control(leased, &insert, deadline).await else {
            return Ok(Claimed::Fresh);
        };
        if e.code().is_some() {
            let ended = control(leased, "ROLLBACK", deadline).await;
            ended.map_err(|e| not_run(&e))?;
        }
        match e.code() {
            Some(SQLSTATE_UNIQUE) => return Ok(Claimed::Taken),
            Some(SQLSTATE_NO_TABLE) if !created => {
                created = true;
                let result = control(leased, CREATE_TABLE, deadline).await;
                result.map_err(|e| not_run(&e))?;
            }
            _ => return Err(not_run(&e)),
        }
    }
}

/// What the statement did inside the transaction.
enum Ran {
    /// It succeeded; its answer is not committed yet.
    Done(Box<Leased>, BytesMut),
    /// It failed with this answer and was rolled back.
    Failed(BytesMut),
}

/// Runs the statement; a failure rolls the transaction back with its record.
async fn run_claimed(
    leased: Leased,
    batch: &Batch,
    answer: &mut Answer,
    stop: &Stop,
) -> Result<Ran, Refusal> {
    let contained = !may_end_transaction(&batch.messages);
    let ran = run(leased, batch, answer, stop).await;
    let (leased, summary) = ran.map_err(|refusal| match refusal.outcome {
        Outcome::Unknown if contained => rolled_back(refusal.message),
        _ => refusal,
    })?;
    if let Some(error) = &summary.rejection {
        roll_back(leased).await;
        return Err(rejected(error));
    }
    match summary.status {
        b'T' if summary.held.len() > MAX_ANSWER_BYTES => {
            roll_back(leased).await;
            Err(unsupported("answers too large to record"))
        }
        b'T' => Ok(Ran::Done(Box::new(leased), summary.held)),
        b'E' => {
            roll_back(leased).await;
            Ok(Ran::Failed(summary.held))
        }
        _ => Err(Refusal::unknown(
            Reason::Unsupported,
            "the statement ended its own transaction",
        )),
    }
}

/// Stores the answer and commits; only from here on is the outcome unknown when it is lost.
async fn commit(
    mut leased: Leased,
    key: &RecordKey,
    bytes: BytesMut,
    deadline: Instant,
) -> Result<(Option<Position>, BytesMut), Refusal> {
    let stored = control(&mut leased, &key.store(&bytes), deadline).await;
    if let Err(e) = stored {
        roll_back(leased).await;
        return Err(not_run(&e));
    }
    match control(&mut leased, "COMMIT", deadline).await {
        Ok(rows) => {
            leased.give_back();
            match rows.position() {
                Some(position) => Ok((Some(position), bytes)),
                None => Err(unknown("the commit reported no position")),
            }
        }
        Err(e) if e.code().is_some() => {
            roll_back(leased).await;
            Err(not_run(&e))
        }
        Err(e) => Err(unknown(e.to_string())),
    }
}

/// Returns the recorded answer and the position that it must be durable at.
async fn replay(
    mut leased: Leased,
    key: &RecordKey,
    digest: &Digest,
    deadline: Instant,
) -> Result<(Option<Position>, BytesMut), Refusal> {
    let rows = control(&mut leased, &key.select(), deadline).await;
    let rows = rows.map_err(|e| not_run(&e))?;
    let upstream = Arc::clone(&leased.upstream);
    leased.give_back();
    let Some((recorded, answer)) = rows.pair() else {
        let message = "another request with this id was rolled back";
        return Err(Refusal::not_run(
            Reason::Overloaded,
            message,
            Some(BUSY_RETRY),
        ));
    };
    match decide(digest, recorded, answer) {
        Decision::Replay(answer) => {
            let position = upstream.known.applied();
            Ok((position, BytesMut::from(answer.as_slice())))
        }
        Decision::Mismatch => Err(unsupported("other statements under a used request id")),
        Decision::Incomplete => Err(unknown("the record holds no answer")),
    }
}

/// Runs a statement of the pool's own; the deadline leaves the connection unclean.
async fn control(leased: &mut Leased, sql: &str, until: Instant) -> Result<Rows, UpstreamError> {
    let result = match timeout_at(until, leased.con.query(sql)).await {
        Ok(result) => result,
        Err(_) => Err(UpstreamError::Timeout),
    };
    if let Ok(rows) = &result {
        leased.upstream.known.report_all(&rows.reports);
    }
    result
}

/// Refuses a request after an error of a statement of the pool's own.
fn not_run(error: &UpstreamError) -> Refusal {
    match error.code() {
        Some(SQLSTATE_TERM | SQLSTATE_TOO_MANY | SQLSTATE_READ_ONLY) => rejected(error),
        Some(_) => Refusal::not_run(Reason::NoUpstream, error.to_string(), Some(BUSY_RETRY)),
        None => rolled_back(error.to_string()),
    }
}

/// Refuses a request whose transaction was not committed: the upstream rolls it back.
fn rolled_back(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::ConnectionLost, message, Some(BUSY_RETRY))
}

fn unknown(message: impl Into<String>) -> Refusal {
    Refusal::unknown(Reason::ConnectionLost, message)
}
