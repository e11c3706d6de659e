//! Fetching of bundle chunks from the platform and from other stewards.

use std::sync::Arc;

use futures::StreamExt;
use kameo::actor::ActorRef;
use mustardbay_platform::Platform;
use mustardbay_policy::bundle::ChunkHash;
use mustardbay_wire::PullChunks;
use mustardbay_wire::peer_message::Body;

use crate::bundles::Bundles;
use crate::bundles::ChunksReceived;

/// Prefix of the keys of chunks; the hash follows.
const CHUNK_PREFIX: &str = "mustardbay/bundle/chunk/";
/// Maximum number of concurrent chunk reads on the platform.
const MAX_CONCURRENT_READS: usize = 8;

/// Reads chunks from the platform and sends those that were read to `bundles`.
pub(super) async fn from_platform(
    platform: Arc<dyn Platform>,
    hashes: Vec<ChunkHash>,
    bundles: ActorRef<Bundles>,
) {
    let reads = futures::stream::iter(hashes).map(|hash| {
        let platform = Arc::clone(&platform);
        async move { platform.get(&format!("{CHUNK_PREFIX}{hash}")).await }
    });
    let results: Vec<_> = reads.buffer_unordered(MAX_CONCURRENT_READS).collect().await;
    let chunks = results.into_iter().filter_map(|result| match result {
        Ok(entry) => entry.map(|entry| entry.value),
        Err(e) => {
            tracing::warn!(event = "bundle_chunk_not_read", error = %e);
            None
        }
    });
    if bundles
        .tell(ChunksReceived(chunks.collect()))
        .await
        .is_err()
    {
        tracing::debug!(event = "bundles_gone");
    }
}

/// Returns a message that requests chunks from another steward.
pub(super) fn pull_message(hashes: &[ChunkHash]) -> Body {
    Body::PullChunks(PullChunks {
        hashes: hashes.iter().map(ChunkHash::to_string).collect(),
    })
}
