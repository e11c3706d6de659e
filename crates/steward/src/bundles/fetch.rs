//! Requests for chunks.

use std::sync::Arc;

use futures::StreamExt;
use kameo::actor::ActorRef;
use mustardbay_platform::Platform;
use mustardbay_policy::bundle::ChunkHash;
use mustardbay_wire::PullChunks;
use mustardbay_wire::peer_message::Body;

use crate::bundles::Bundles;
use crate::bundles::Fetched;

/// Prefix of the keys that hold chunks.
const CHUNK_PREFIX: &str = "mustardbay/bundle/chunk/";
/// Reads of chunks at once.
const FETCH_READS: usize = 8;

/// Reads chunks from the platform and hands over those that arrived.
pub(super) async fn from_platform(
    platform: Arc<dyn Platform>,
    hashes: Vec<ChunkHash>,
    bundles: ActorRef<Bundles>,
) {
    let reads = futures::stream::iter(hashes).map(|hash| {
        let platform = Arc::clone(&platform);
        async move { platform.get(&format!("{CHUNK_PREFIX}{hash}")).await }
    });
    let results: Vec<_> = reads.buffer_unordered(FETCH_READS).collect().await;
    let chunks = results.into_iter().filter_map(|result| match result {
        Ok(entry) => entry.map(|entry| entry.value),
        Err(e) => {
            tracing::warn!(event = "bundle_chunk_not_read", error = %e);
            None
        }
    });
    if bundles.tell(Fetched(chunks.collect())).await.is_err() {
        tracing::debug!(event = "bundles_gone");
    }
}

/// Returns the message that asks another steward for chunks.
pub(super) fn pull(hashes: &[ChunkHash]) -> Body {
    Body::PullChunks(PullChunks {
        hashes: hashes.iter().map(ChunkHash::to_string).collect(),
    })
}
