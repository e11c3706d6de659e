//! Requests with an idempotency key, which run at most once.
//!
//! The record of the key and the answer is written in the transaction of the statement. A repeat
//! of the request is answered from the record.

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
use super::destination::Destination;
use super::digest::batch_digest;
use super::refusals::BUSY_RETRY;
use super::refusals::rejected;
use super::refusals::unsupported;
use super::run::run;
use super::serve::Served;
use super::serve::prepare_while_available;
use super::serve::wait_durable;
use super::session::Session;
use super::session::roll_back;
use super::stop::Stop;
use crate::upstream::LeasedConnection;
use crate::upstream::Rows;
use crate::upstream::SQLSTATE_READ_ONLY;
use crate::upstream::SQLSTATE_STALE_TERM;
use crate::upstream::SQLSTATE_TOO_MANY_CONNECTIONS;
use crate::upstream::UpstreamError;

/// SQLSTATE `unique_violation`: the key is recorded already.
const SQLSTATE_UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE `undefined_table`: the table of records does not exist yet.
const SQLSTATE_UNDEFINED_TABLE: &str = "42P01";

/// Result of inserting the record of an idempotency key.
enum ClaimResult {
    /// The key is new; the transaction is open.
    New,
    /// The key is recorded already; no transaction is open.
    Recorded,
}

/// Serves a batch that carries an idempotency key.
pub(super) async fn serve_recorded(
    destination: &Destination,
    session: &mut Session,
    batch: &Batch,
    answer: &mut Answer,
    stop: &Stop,
) -> Result<Served, Refusal> {
    let id = batch.idempotency_key.as_deref().unwrap_or_default();
    let key = RecordKey::new(&batch.account, id).map_err(|e| unsupported(e.to_string()))?;
    let digest = batch_digest(&batch.messages).map_err(|e| unsupported(e.to_string()))?;
    let (mut leased, slot) = prepare_while_available(destination, session, batch, stop).await?;
    let (position, bytes) = match claim_key(&mut leased, &key, &digest, batch.deadline).await? {
        ClaimResult::Recorded => replay(leased, &key, &digest, batch.deadline).await?,
        ClaimResult::New => match run_claimed(leased, batch, answer, stop).await? {
            RunResult::Failed(error) => (None, error),
            RunResult::Succeeded(leased, bytes) => {
                commit(*leased, &key, bytes, batch.deadline).await?
            }
        },
    };
    drop(slot);
    if let Some(position) = position {
        wait_durable(destination, position).await?;
    }
    answer.send_chunk(bytes.freeze()).await;
    Ok(Served {
        status: b'I',
        committed: position,
    })
}

/// Opens the transaction and inserts the record; creates the table if it is missing.
async fn claim_key(
    leased: &mut LeasedConnection,
    key: &RecordKey,
    digest: &Digest,
    deadline: Instant,
) -> Result<ClaimResult, Refusal> {
    let insert = key.insert(digest);
    let mut created = false;
    loop {
        run_control(leased, "BEGIN", deadline)
            .await
            .map_err(|e| not_run(&e))?;
        let Err(e) = run_control(leased, &insert, deadline).await else {
            return Ok(ClaimResult::New);
        };
        if e.sqlstate().is_some() {
            let ended = run_control(leased, "ROLLBACK", deadline).await;
            ended.map_err(|e| not_run(&e))?;
        }
        match e.sqlstate() {
            Some(SQLSTATE_UNIQUE_VIOLATION) => return Ok(ClaimResult::Recorded),
            Some(SQLSTATE_UNDEFINED_TABLE) if !created => {
                created = true;
                let result = run_control(leased, CREATE_TABLE, deadline).await;
                result.map_err(|e| not_run(&e))?;
            }
            _ => return Err(not_run(&e)),
        }
    }
}

/// Result of the statement inside the transaction.
enum RunResult {
    /// It succeeded; the transaction is not committed yet.
    Succeeded(Box<LeasedConnection>, BytesMut),
    /// It failed with this answer and was rolled back.
    Failed(BytesMut),
}

/// Runs the statement; a failure rolls back the transaction and its record.
async fn run_claimed(
    leased: LeasedConnection,
    batch: &Batch,
    answer: &mut Answer,
    stop: &Stop,
) -> Result<RunResult, Refusal> {
    let cannot_commit = !may_end_transaction(&batch.messages);
    let ran = run(leased, batch, answer, stop).await;
    let (leased, summary) = ran.map_err(|refusal| match refusal.outcome {
        Outcome::Unknown if cannot_commit => rolled_back(refusal.message),
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
        b'T' => Ok(RunResult::Succeeded(Box::new(leased), summary.held)),
        b'E' => {
            roll_back(leased).await;
            Ok(RunResult::Failed(summary.held))
        }
        _ => Err(Refusal::unknown(
            Reason::Unsupported,
            "the statement ended its own transaction",
        )),
    }
}

/// Stores the answer and commits.
///
/// If the answer to the `COMMIT` is lost, the outcome is unknown; an earlier loss of the
/// connection means that the upstream rolls the transaction back.
async fn commit(
    mut leased: LeasedConnection,
    key: &RecordKey,
    bytes: BytesMut,
    deadline: Instant,
) -> Result<(Option<Position>, BytesMut), Refusal> {
    let stored = run_control(&mut leased, &key.store(&bytes), deadline).await;
    if let Err(e) = stored {
        roll_back(leased).await;
        return Err(not_run(&e));
    }
    match run_control(&mut leased, "COMMIT", deadline).await {
        Ok(rows) => {
            leased.release();
            match rows.position() {
                Some(position) => Ok((Some(position), bytes)),
                None => Err(unknown("the commit reported no position")),
            }
        }
        Err(e) if e.sqlstate().is_some() => {
            roll_back(leased).await;
            Err(not_run(&e))
        }
        Err(e) => Err(unknown(e.to_string())),
    }
}

/// Returns the recorded answer and the position that must be durable before it is sent.
async fn replay(
    mut leased: LeasedConnection,
    key: &RecordKey,
    digest: &Digest,
    deadline: Instant,
) -> Result<(Option<Position>, BytesMut), Refusal> {
    let rows = run_control(&mut leased, &key.select(), deadline).await;
    let rows = rows.map_err(|e| not_run(&e))?;
    let upstream = Arc::clone(&leased.upstream);
    leased.release();
    let Some((recorded, answer)) = rows.first_pair() else {
        let message = "another request with this id was rolled back";
        return Err(Refusal::not_run(
            Reason::Overloaded,
            message,
            Some(BUSY_RETRY),
        ));
    };
    match decide(digest, recorded, answer) {
        Decision::Replay(answer) => {
            let position = upstream.replication.applied();
            Ok((position, BytesMut::from(answer.as_slice())))
        }
        Decision::Mismatch => Err(unsupported("other statements under a used request id")),
        Decision::Incomplete => Err(unknown("the record holds no answer")),
    }
}

/// Runs a statement of the pool itself; a timeout leaves the connection unclean.
async fn run_control(
    leased: &mut LeasedConnection,
    sql: &str,
    until: Instant,
) -> Result<Rows, UpstreamError> {
    let result = match timeout_at(until, leased.con.query(sql)).await {
        Ok(result) => result,
        Err(_) => Err(UpstreamError::Timeout),
    };
    if let Ok(rows) = &result {
        leased.upstream.replication.record_all(&rows.reports);
    }
    result
}

/// Returns the refusal for an error of one of the pool's own statements.
fn not_run(error: &UpstreamError) -> Refusal {
    match error.sqlstate() {
        Some(SQLSTATE_STALE_TERM | SQLSTATE_TOO_MANY_CONNECTIONS | SQLSTATE_READ_ONLY) => {
            rejected(error)
        }
        Some(_) => Refusal::not_run(Reason::NoUpstream, error.to_string(), Some(BUSY_RETRY)),
        None => rolled_back(error.to_string()),
    }
}

/// Returns the refusal for a transaction that the upstream rolls back.
fn rolled_back(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::ConnectionLost, message, Some(BUSY_RETRY))
}

fn unknown(message: impl Into<String>) -> Refusal {
    Refusal::unknown(Reason::ConnectionLost, message)
}
