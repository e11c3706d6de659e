//! Reads the response stream of a watch: one JSON object per line.

use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use futures::StreamExt;
use tokio::sync::mpsc;

use crate::entry::WatchEvent;
use crate::gateway::json::WatchResponse;

/// Longest line of a watch response, in bytes.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// Forwards every event of the stream to `events` until the stream or its receiver ends.
pub(super) async fn forward(
    mut stream: impl Stream<Item = reqwest::Result<Bytes>> + Unpin,
    events: mpsc::Sender<WatchEvent>,
) {
    let mut buffer = BytesMut::new();
    loop {
        let chunk = tokio::select! {
            chunk = stream.next() => chunk,
            () = events.closed() => return,
        };
        let Some(Ok(chunk)) = chunk else {
            return;
        };
        buffer.extend_from_slice(&chunk);
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

/// Forwards the events of one line; returns whether to keep reading the watch.
async fn forward_line(line: &[u8], events: &mpsc::Sender<WatchEvent>) -> bool {
    if line.trim_ascii().is_empty() {
        return true;
    }
    let response: WatchResponse = match serde_json::from_slice(line) {
        Ok(response) => response,
        Err(e) => {
            tracing::warn!(event = "watch_line_rejected", error = %e);
            return false;
        }
    };
    if response.result.canceled {
        return false;
    }
    for event in response.result.events {
        let event = match WatchEvent::try_from(event) {
            Ok(event) => event,
            Err(e) => {
                tracing::warn!(event = "watch_event_rejected", error = %e);
                continue;
            }
        };
        if events.send(event).await.is_err() {
            return false;
        }
    }
    true
}
