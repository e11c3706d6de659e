//! Graceful shutdown of the pool.

use std::time::Duration;

use tokio::time::Instant;

use crate::pool::Pool;

/// Time between two checks for requests and transactions in flight.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time for the last answers to be written to their sockets before the process stops.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Waits until the drain starts, finishes the work in flight and stops the process.
///
/// New work is accepted for the linger time, so that entries can learn of another pool for the
/// upstreams. After that it is refused, and the drain waits until no request runs and no
/// transaction is open, or until the drain timeout, which counts from the start of the drain.
pub(crate) async fn drain(pool: Pool) {
    pool.lifecycle().drain_started().await;
    let until = Instant::now() + pool.drain_timeout();
    tokio::time::sleep(pool.linger()).await;
    pool.refuse_new();
    while pool.in_flight() > 0 && Instant::now() < until {
        tokio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
    tokio::time::sleep(FLUSH_TIME).await;
    tracing::info!(event = "pool_drained", in_flight = pool.in_flight());
    pool.lifecycle().stop();
}
