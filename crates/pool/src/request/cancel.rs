//! Cancellation of a running statement.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use crate::upstream::Target;

/// Longest time that a cancel request may take, including the connection attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a cancel request on a new connection and waits until the upstream closes it.
///
/// The connection of the statement must not be reused before this returns `true`: the request
/// could cancel a later statement. Returns `false` if the upstream may not have handled it yet.
pub(super) async fn send_cancel(target: &Target, message: &Bytes) -> bool {
    let sent = async {
        let mut stream = target.dialer.connect(&target.address).await?;
        stream.write_all(message).await?;
        let mut end = [0; 1];
        stream.read(&mut end).await
    };
    matches!(timeout(CANCEL_TIMEOUT, sent).await, Ok(Ok(0)))
}
