//! Waits of less than a millisecond, which the runtime's timer rounds up.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

/// Longest sleep of the clock's thread.
const IDLE: Duration = Duration::from_secs(1);

/// Wait that ends at a point in time.
struct Wait {
    until: Instant,
    done: oneshot::Sender<()>,
}

impl PartialEq for Wait {
    fn eq(&self, other: &Self) -> bool {
        self.until == other.until
    }
}

impl Eq for Wait {}

impl PartialOrd for Wait {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Wait {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.until.cmp(&other.until)
    }
}

/// Thread that ends waits on time; clones share it.
#[derive(Debug, Clone)]
pub struct Clock {
    waits: mpsc::Sender<Wait>,
}

impl Clock {
    /// Starts the thread, which ends with the last clone.
    #[must_use]
    pub fn start() -> Self {
        let (waits, asked) = mpsc::channel();
        std::thread::spawn(move || run(&asked));
        Self { waits }
    }

    /// Waits until a point in time.
    pub async fn sleep_until(&self, until: Instant) {
        if until <= Instant::now() {
            return;
        }
        let (done, ended) = oneshot::channel();
        let sent = self.waits.send(Wait { until, done }).is_ok();
        if !sent || ended.await.is_err() {
            tokio::time::sleep_until(until.into()).await;
        }
    }
}

fn run(asked: &mpsc::Receiver<Wait>) {
    let mut waits: BinaryHeap<Reverse<Wait>> = BinaryHeap::new();
    loop {
        let now = Instant::now();
        while waits.peek().is_some_and(|Reverse(wait)| wait.until <= now) {
            if let Some(Reverse(wait)) = waits.pop() {
                let heard = wait.done.send(()).is_ok();
                tracing::trace!(event = "wait_ended", heard);
            }
        }
        let next = waits.peek().map_or(IDLE, |Reverse(wait)| wait.until - now);
        match asked.recv_timeout(next) {
            Ok(wait) => waits.push(Reverse(wait)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
