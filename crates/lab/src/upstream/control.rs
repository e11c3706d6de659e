//! Control functions: position, confirmation, fence, promotion and following.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use tokio::time::Instant;

use super::applier;
use super::core::Core;
use super::database::Answer;
use super::database::Column;
use super::fault::Fault;
use super::follower;
use super::state::Role;
use super::state::State;
use super::value::Kind;
use super::value::Value;

/// Longest wait of `mustardbay_follow` for the first contact with the primary.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);

/// Call of a control function.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads role, term and positions.
    Position,
    /// Waits until a replica has confirmed the term.
    Confirm(Duration),
    /// Waits until a replica has received a position.
    WaitReceived(Position, Duration),
    /// Fences lower terms.
    Fence(Term),
    /// Becomes primary.
    Promote(Term),
    /// Becomes a replica.
    Follow(String, Term),
}

impl Call {
    /// Parses `SELECT * FROM mustardbay_name(arguments)`.
    ///
    /// # Errors
    ///
    /// Fails if the function or its arguments are unknown.
    pub fn parse(sql: &str) -> Result<Self, Fault> {
        Self::read(sql)
            .ok_or_else(|| Fault::new("42883", format!("no control function in {sql:?}")))
    }

    fn read(sql: &str) -> Option<Self> {
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
            ("mustardbay_confirm", [wait]) => Some(Self::Confirm(millis(wait)?)),
            ("mustardbay_wait_received", [at, wait]) => {
                Some(Self::WaitReceived(at.parse().ok()?, millis(wait)?))
            }
            ("mustardbay_fence", [at]) => Some(Self::Fence(term(at)?)),
            ("mustardbay_promote", [at]) => Some(Self::Promote(term(at)?)),
            ("mustardbay_follow", [leader, at]) => {
                Some(Self::Follow((*leader).to_owned(), term(at)?))
            }
            _ => None,
        }
    }

    /// Runs the call.
    ///
    /// # Errors
    ///
    /// Fails with `MB001` if the term is not in force, with `MB002` after a timeout.
    pub async fn run(self, core: &Arc<Core>) -> Result<Answer, Fault> {
        match self {
            Self::Position => Ok(position(&core.state())),
            Self::Confirm(wait) => confirm(core, wait).await,
            Self::WaitReceived(at, wait) => wait_received(core, at, wait).await,
            Self::Fence(term) => fence(core, term),
            Self::Promote(term) => promote(core, term).await,
            Self::Follow(leader, term) => follow(core, &leader, term).await,
        }
    }
}

fn position(state: &State) -> Answer {
    row([
        ("role", state.role.as_str().to_owned()),
        ("term", state.term.to_string()),
        ("received", state.received().to_string()),
        ("applied", state.applied().to_string()),
        ("age_ms", state.age_ms().to_string()),
    ])
}

async fn confirm(core: &Core, wait: Duration) -> Result<Answer, Fault> {
    let (term, at, probe) = {
        let mut state = core.state();
        primary_of(&state, state.term)?;
        state.probe += 1;
        (state.term, state.applied(), state.probe)
    };
    core.announce();
    until(core, wait, |state| {
        primary_of(state, term)?;
        Ok(state.has_echo(probe))
    })
    .await?;
    Ok(row([("position", at.to_string())]))
}

async fn wait_received(core: &Core, at: Position, wait: Duration) -> Result<Answer, Fault> {
    until(core, wait, |state| {
        primary_of(state, at.term)?;
        Ok(state.has_copy(at.index))
    })
    .await?;
    Ok(row([("received", at.to_string())]))
}

fn fence(core: &Core, term: Term) -> Result<Answer, Fault> {
    let received = core.state().fence(term)?;
    core.announce();
    tracing::info!(event = "fenced", upstream = %core.config.name, %term, %received);
    Ok(row([("received", received.to_string())]))
}

async fn promote(core: &Arc<Core>, term: Term) -> Result<Answer, Fault> {
    let writer = Arc::clone(&core.writer).lock_owned().await;
    if core.state().may_promote(term)? {
        applier::catch_up(core).await?;
        let mut state = core.state();
        if state.may_promote(term)? {
            state.promote();
            tracing::info!(event = "promoted", upstream = %core.config.name, %term);
        }
    }
    drop(writer);
    core.announce();
    let at = core.state().received();
    Ok(row([("position", at.to_string())]))
}

async fn follow(core: &Arc<Core>, leader: &str, term: Term) -> Result<Answer, Fault> {
    let started = core.state().follow(leader, term)?;
    core.announce();
    if started {
        tracing::info!(event = "following", upstream = %core.config.name, %term, leader);
        follower::spawn(core, leader.to_owned(), term);
    }
    let verified = until(core, FOLLOW_WAIT, |state| Ok(state.lineage >= term)).await;
    if verified.is_err() {
        tracing::info!(event = "follow_unverified", upstream = %core.config.name, %term);
    }
    let received = core.state().received();
    Ok(row([("received", received.to_string())]))
}

fn primary_of(state: &State, term: Term) -> Result<(), Fault> {
    if state.role == Role::Primary && state.term == term {
        Ok(())
    } else {
        Err(Fault::stale(Some(term), state.term))
    }
}

/// Waits until the state satisfies `test`, or fails after `wait`.
async fn until(
    core: &Core,
    wait: Duration,
    test: impl Fn(&State) -> Result<bool, Fault>,
) -> Result<(), Fault> {
    let deadline = Instant::now() + wait;
    let mut changed = core.changed.subscribe();
    loop {
        changed.mark_unchanged();
        if test(&core.state())? {
            return Ok(());
        }
        tokio::select! {
            () = tokio::time::sleep_until(deadline) => return Err(Fault::unconfirmed()),
            _ = changed.changed() => {}
        }
    }
}

fn row<const N: usize>(fields: [(&str, String); N]) -> Answer {
    let mut answer = Answer::default();
    let mut values = Vec::with_capacity(N);
    for (name, value) in fields {
        answer.columns.push(Column {
            name: name.to_owned(),
            kind: Kind::Text,
        });
        values.push(Value::Text(value));
    }
    answer.rows.push(values);
    answer
}
