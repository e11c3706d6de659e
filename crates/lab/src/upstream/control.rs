//! Control functions that a client calls in SQL to read and change the replication state.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use tokio::time::Instant;

use super::applier;
use super::database::Column;
use super::database::QueryResult;
use super::log_receiver;
use super::shared::Shared;
use super::sql_error::SqlError;
use super::state::Role;
use super::state::State;
use super::value::SqlType;
use super::value::Value;

/// Time that `mustardbay_follow` waits until the log is known to be a prefix of the primary's.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(1);

/// Call of a control function with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// Reads the role, the term, the positions and the age of the data.
    Position,
    /// Waits until a replica has answered a new probe, so that it still follows this primary.
    ///
    /// Carries the timeout.
    Confirm(Duration),
    /// Waits until a replica has received the log up to a position; carries the timeout.
    WaitReceived(Position, Duration),
    /// Refuses terms below the given one.
    Fence(Term),
    /// Becomes the primary of a term.
    Promote(Term),
    /// Becomes a replica of the primary at an address, in a term.
    Follow(String, Term),
}

impl ControlCall {
    /// Parses `SELECT * FROM mustardbay_NAME(ARGUMENTS)`.
    ///
    /// # Errors
    ///
    /// Fails if no such function exists or its arguments do not parse.
    pub fn parse(sql: &str) -> Result<Self, SqlError> {
        Self::try_parse(sql)
            .ok_or_else(|| SqlError::new("42883", format!("no control function in {sql:?}")))
    }

    fn try_parse(sql: &str) -> Option<Self> {
        let (head, rest) = sql.split_once('(')?;
        let (args, _) = rest.rsplit_once(')')?;
        let name = head.trim().rsplit(|c: char| c.is_whitespace()).next()?;
        let args: Vec<&str> = args
            .split(',')
            .map(|arg| arg.trim().trim_matches('\''))
            .collect();
        let millis = |text: &str| text.parse().ok().map(Duration::from_millis);
        let term = |text: &str| text.parse().ok().map(Term);
        match (name.to_ascii_lowercase().as_str(), args.as_slice()) {
            ("mustardbay_position", [""]) => Some(Self::Position),
            ("mustardbay_confirm", [timeout]) => Some(Self::Confirm(millis(timeout)?)),
            ("mustardbay_wait_received", [position, timeout]) => {
                Some(Self::WaitReceived(position.parse().ok()?, millis(timeout)?))
            }
            ("mustardbay_fence", [number]) => Some(Self::Fence(term(number)?)),
            ("mustardbay_promote", [number]) => Some(Self::Promote(term(number)?)),
            ("mustardbay_follow", [primary, number]) => {
                Some(Self::Follow((*primary).to_owned(), term(number)?))
            }
            _ => None,
        }
    }

    /// Runs the call.
    ///
    /// # Errors
    ///
    /// Fails with SQLSTATE `MB001` if the term is not in force, with `MB002` after a timeout.
    pub async fn run(self, shared: &Arc<Shared>) -> Result<QueryResult, SqlError> {
        match self {
            Self::Position => Ok(position(&shared.state())),
            Self::Confirm(timeout) => confirm(shared, timeout).await,
            Self::WaitReceived(position, timeout) => wait_received(shared, position, timeout).await,
            Self::Fence(term) => fence(shared, term),
            Self::Promote(term) => promote(shared, term).await,
            Self::Follow(primary, term) => follow(shared, &primary, term).await,
        }
    }
}

fn position(state: &State) -> QueryResult {
    text_row([
        ("role", state.role.as_str().to_owned()),
        ("term", state.term.to_string()),
        ("received", state.received().to_string()),
        ("applied", state.applied().to_string()),
        ("age_ms", state.age_ms().to_string()),
    ])
}

async fn confirm(shared: &Shared, timeout: Duration) -> Result<QueryResult, SqlError> {
    let (term, position, probe) = {
        let mut state = shared.state();
        check_primary(&state, state.term)?;
        state.probe += 1;
        (state.term, state.applied(), state.probe)
    };
    shared.notify_changed();
    wait_until(shared, timeout, |state| {
        check_primary(state, term)?;
        Ok(state.is_probe_acked(probe))
    })
    .await?;
    Ok(text_row([("position", position.to_string())]))
}

async fn wait_received(
    shared: &Shared,
    position: Position,
    timeout: Duration,
) -> Result<QueryResult, SqlError> {
    wait_until(shared, timeout, |state| {
        check_primary(state, position.term)?;
        Ok(state.is_replicated(position.index))
    })
    .await?;
    Ok(text_row([("received", position.to_string())]))
}

fn fence(shared: &Shared, term: Term) -> Result<QueryResult, SqlError> {
    let received = shared.state().fence(term)?;
    shared.notify_changed();
    tracing::info!(event = "fenced", upstream = %shared.config.name, %term, %received);
    Ok(text_row([("received", received.to_string())]))
}

async fn promote(shared: &Arc<Shared>, term: Term) -> Result<QueryResult, SqlError> {
    let writer = Arc::clone(&shared.writer).lock_owned().await;
    if shared.state().needs_promotion(term)? {
        applier::apply_all(shared).await?;
        let mut state = shared.state();
        if state.needs_promotion(term)? {
            state.promote();
            tracing::info!(event = "promoted", upstream = %shared.config.name, %term);
        }
    }
    drop(writer);
    shared.notify_changed();
    let position = shared.state().received();
    Ok(text_row([("position", position.to_string())]))
}

async fn follow(shared: &Arc<Shared>, primary: &str, term: Term) -> Result<QueryResult, SqlError> {
    let started = shared.state().follow(primary, term)?;
    shared.notify_changed();
    if started {
        tracing::info!(event = "following", upstream = %shared.config.name, %term, leader = primary);
        log_receiver::spawn(shared, primary.to_owned(), term);
    }
    let verified = wait_until(shared, FOLLOW_TIMEOUT, |state| Ok(state.log_term >= term)).await;
    if verified.is_err() {
        tracing::info!(event = "follow_unverified", upstream = %shared.config.name, %term);
    }
    let received = shared.state().received();
    Ok(text_row([("received", received.to_string())]))
}

/// Fails unless the upstream is the primary of `term`.
fn check_primary(state: &State, term: Term) -> Result<(), SqlError> {
    if state.role == Role::Primary && state.term == term {
        Ok(())
    } else {
        Err(SqlError::stale_term(Some(term), state.term))
    }
}

/// Waits until the state satisfies `test`; fails with `MB002` after `timeout`.
async fn wait_until(
    shared: &Shared,
    timeout: Duration,
    test: impl Fn(&State) -> Result<bool, SqlError>,
) -> Result<(), SqlError> {
    let deadline = Instant::now() + timeout;
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        if test(&shared.state())? {
            return Ok(());
        }
        tokio::select! {
            () = tokio::time::sleep_until(deadline) => return Err(SqlError::unconfirmed()),
            _ = changed.changed() => {}
        }
    }
}

/// Builds a result of one row whose columns are all text.
fn text_row<const N: usize>(fields: [(&str, String); N]) -> QueryResult {
    let mut result = QueryResult::default();
    let mut values = Vec::with_capacity(N);
    for (name, value) in fields {
        result.columns.push(Column {
            name: name.to_owned(),
            sql_type: SqlType::Text,
        });
        values.push(Value::Text(value));
    }
    result.rows.push(values);
    result
}
