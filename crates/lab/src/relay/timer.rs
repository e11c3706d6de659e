//! Timer with a resolution below the millisecond that Tokio's timer rounds up to.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

/// Time that the timer thread sleeps if no wait is pending.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pending wait of one task.
struct Wait {
    deadline: Instant,
    done: oneshot::Sender<()>,
}

impl PartialEq for Wait {
    fn eq(&self, other: &Self) -> bool {
        self.deadline == other.deadline
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
        self.deadline.cmp(&other.deadline)
    }
}

/// Handle of the timer thread; clones share the thread.
#[derive(Debug, Clone)]
pub struct Timer {
    waits: mpsc::Sender<Wait>,
}

impl Timer {
    /// Starts the thread, which ends once the last handle is dropped.
    #[must_use]
    pub fn start() -> Self {
        let (waits, requests) = mpsc::channel();
        std::thread::spawn(move || run(&requests));
        Self { waits }
    }

    /// Waits until a point in time.
    pub async fn sleep_until(&self, deadline: Instant) {
        if deadline <= Instant::now() {
            return;
        }
        let (done, ended) = oneshot::channel();
        let sent = self.waits.send(Wait { deadline, done }).is_ok();
        // Without the timer thread the wait falls back to the coarser timer of Tokio.
        if !sent || ended.await.is_err() {
            tokio::time::sleep_until(deadline.into()).await;
        }
    }
}

fn run(requests: &mpsc::Receiver<Wait>) {
    let mut waits: BinaryHeap<Reverse<Wait>> = BinaryHeap::new();
    loop {
        let now = Instant::now();
        while waits
            .peek()
            .is_some_and(|Reverse(wait)| wait.deadline <= now)
        {
            if let Some(Reverse(wait)) = waits.pop() {
                let received = wait.done.send(()).is_ok();
                tracing::trace!(event = "wait_ended", heard = received);
            }
        }
        let next = waits
            .peek()
            .map_or(IDLE_TIMEOUT, |Reverse(wait)| wait.deadline - now);
        match requests.recv_timeout(next) {
            Ok(wait) => waits.push(Reverse(wait)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
