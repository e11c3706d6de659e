//! Reader of a watch's answer: one JSON object a line.

use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use futures::StreamExt;
use tokio::sync::mpsc;

use crate::entry::WatchEvent;
use crate::gateway::json::WatchAnswer;

/// Longest line of a watch's answer, in bytes.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// Sends every event of the stream to `events` until either side ends.
pub(super) async fn forward(
    mut stream: impl Stream<Item = reqwest::Result<Bytes>> + Unpin,
    events: mpsc::Sender<WatchEvent>,
) {
    let mut buffer = BytesMut::new();
    loop {
        let part = tokio::select! {
            part = stream.next() => part,
            () = events.closed() => return,
        };
        let Some(Ok(part)) = part else {
            return;
        };
        buffer.extend_from_slice(&part);
        if buffer.len() > MAX_LINE_BYTES {
            tracing::warn!(event = "watch_line_too_long", bytes = buffer.len());
            return;
        }
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end + 1);
            if !forward_line(&line, &events).await {
                return;
            }
        }
    }
}

/// Sends the events of one line; returns whether the watch goes on.
async fn forward_line(line: &[u8], events: &mpsc::Sender<WatchEvent>) -> bool {
    if line.trim_ascii().is_empty() {
        return true;
    }
    let answer: WatchAnswer = match serde_json::from_slice(line) {
        Ok(answer) => answer,
        Err(e) => {
            tracing::warn!(event = "watch_line_rejected", error = %e);
            return false;
        }
    };
    if answer.result.canceled {
        return false;
    }
    for event in answer.result.events {
        let Ok(event) = WatchEvent::try_from(event) else {
            return false;
        };
        if events.send(event).await.is_err() {
            return false;
        }
    }
    true
}
