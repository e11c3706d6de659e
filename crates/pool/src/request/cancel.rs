//! Cancellation of the statement that runs on a connection.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use crate::upstream::Target;

/// Longest time that a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a cancel request on a connection of its own and waits until the upstream has taken it.
///
/// The statement's connection must not be used again before this returns, so that the request
/// cannot hit a later statement. Returns `false` when that is not certain.
pub(super) async fn send_cancel(target: &Target, message: &Bytes) -> bool {
    let sent = async {
        let mut stream = target.dialer.connect(&target.address).await?;
        stream.write_all(message).await?;
        let mut end = [0; 1];
        stream.read(&mut end).await
    };
    matches!(timeout(CANCEL_TIMEOUT, sent).await, Ok(Ok(0)))
}
