//! Execution of one batch on a connection, with cancellation and deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use tokio::time::error::Elapsed;
use tokio::time::timeout_at;

use super::answer::Answer;
use super::batch::Batch;
use super::cancel::send_cancel;
use super::exchange::Summary;
use super::exchange::exchange;
use super::stop::Stop;
use crate::upstream::LeasedConnection;
use crate::upstream::Target;
use crate::upstream::UpstreamError;

/// Time after the deadline in which a cancelled statement must end.
const CANCEL_GRACE: Duration = Duration::from_secs(1);

/// Runs the batch; returns the connection only if the answer was read to the end.
pub(super) async fn run(
    mut leased: LeasedConnection,
    batch: &Batch,
    answer: &mut Answer,
    stop: &Stop,
) -> Result<(LeasedConnection, Summary), Refusal> {
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
        upstream.replication.record_all(&summary.reports);
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

/// Cancels the statement and waits for its end.
///
/// If the upstream may not have handled the cancel request yet, the exchange counts as failed:
/// its connection is closed, and the cancel request cannot hit a later statement.
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
