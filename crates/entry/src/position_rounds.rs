//! Rounds of position reads that the sessions of one group share.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::GroupName;
use mustardbay_policy::position::Position;
use mustardbay_policy::session::Round;
use mustardbay_policy::session::RoundState;
use mustardbay_wire::ConfirmPosition;
use tokio::time::timeout;

use crate::context::Context;
use crate::pools::Answer;
use crate::pools::AnswerSender;

/// Timeout for a primary to confirm its position with a replica.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Joins the next round of a group and starts it if none is running.
pub(crate) fn join(ctx: &Arc<Context>, group: &GroupName) -> Round {
    let observations = ctx.groups.get(group);
    let (round, starts) = observations.lock().position_rounds.join();
    if starts {
        tokio::spawn(run_rounds(Arc::clone(ctx), group.clone()));
    }
    round
}

/// Returns the state of a round.
pub(crate) fn state(ctx: &Context, group: &GroupName, round: Round) -> RoundState {
    ctx.groups.get(group).lock().position_rounds.state(round)
}

/// Runs rounds until no session waits for one.
async fn run_rounds(ctx: Arc<Context>, group: GroupName) {
    let observations = ctx.groups.get(&group);
    loop {
        let position = confirm_position(&ctx, &group).await;
        let next = observations.lock().position_rounds.finish(position);
        observations.confirmed.notify_waiters();
        if next.is_none() {
            return;
        }
    }
}

/// Requests a position from the group's primary that a replica has confirmed.
async fn confirm_position(ctx: &Context, group: &GroupName) -> Option<Position> {
    let view = ctx.steward.view()?;
    let state = view.groups.get(group)?;
    let primary = state.primary.as_ref()?;
    let configured = view.bundle.groups.iter().find(|g| g.name == *group)?;
    let upstream = configured.upstreams.iter().find(|u| u.name == *primary)?;
    let link = ctx.home(&view, group, upstream)?;
    let (sender, mut answers) = AnswerSender::channel(None);
    let confirm = ConfirmPosition {
        request: 0,
        group: group.to_string(),
        upstream: primary.to_string(),
        term: state.term.0,
        deadline_ms: u64::try_from(CONFIRM_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
    };
    let request = link.confirm(confirm, &sender).await.ok()?;
    let answer = timeout(CONFIRM_TIMEOUT, answers.recv()).await;
    if answer.is_err() {
        link.forget(request);
    }
    match answer.ok().flatten() {
        Some((_, Answer::Confirmed(position))) => position,
        _ => None,
    }
}
