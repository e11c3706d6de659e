//! When a subject is read next, and the reading itself.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kameo::actor::ActorRef;
use mustardbay_platform::Entry;
use mustardbay_platform::Platform;
use mustardbay_platform::PlatformError;
use mustardbay_platform::Revision;
use mustardbay_platform::WatchEvent;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use crate::directory::Deleted;
use crate::directory::Directory;
use crate::directory::Ended;
use crate::directory::Read;
use crate::directory::Subject;

/// Longest life of a watch, after which everything is read again.
const WATCH_LIFE: Duration = Duration::from_secs(20);
/// Time between reads of a steward that does not watch.
const POLL_PERIOD: Duration = Duration::from_secs(30);
/// First pause after a failure; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest pause after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Schedule of the reads of one subject.
#[derive(Debug)]
pub(super) struct Tracker {
    subject: Subject,
    running: bool,
    due: Instant,
    backoff: Duration,
    answered_at: Option<Instant>,
}

impl Tracker {
    pub(super) fn new(subject: Subject, now: Instant) -> Self {
        Self {
            subject,
            running: false,
            due: now,
            backoff: MIN_BACKOFF,
            answered_at: None,
        }
    }

    pub(super) fn subject(&self) -> Subject {
        self.subject
    }

    /// Tells whether a read is due, and marks it as begun.
    pub(super) fn begin(&mut self, now: Instant) -> bool {
        let due = !self.running && now >= self.due;
        self.running |= due;
        due
    }

    /// Plans the next read; pauses are jittered, so that stewards do not return together.
    pub(super) fn end(&mut self, answered: bool, watched: bool, now: Instant) {
        self.running = false;
        let pause = if !answered {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            self.backoff
        } else if watched {
            self.backoff = MIN_BACKOFF;
            MIN_BACKOFF
        } else {
            self.backoff = MIN_BACKOFF;
            POLL_PERIOD
        };
        if answered {
            self.answered_at = Some(now);
        }
        self.due = now + jittered(pause);
    }

    pub(super) fn dump(&self, now: Instant) -> Value {
        let age = |at: Instant| now.duration_since(at).as_secs_f64();
        json!({
            "subject": self.subject,
            "reading_or_watching": self.running,
            "answered_age_s": self.answered_at.map(age),
        })
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}

/// Reads a subject, watches it for a while if asked to, and reports to `directory`.
pub(super) async fn run(
    subject: Subject,
    watches: bool,
    platform: Arc<dyn Platform>,
    directory: ActorRef<Directory>,
) {
    let result = read(subject, &*platform, &directory).await;
    let answered = result.is_ok();
    let mut kept = false;
    match result {
        Ok(revision) if watches => {
            let from = Revision(revision.0 + 1);
            kept = watch(subject, from, &*platform, &directory).await.is_ok();
        }
        Ok(_) => {}
        Err(e) => tracing::warn!(event = "platform_not_read", ?subject, error = %e),
    }
    let ended = Ended {
        subject,
        answered: answered && (kept || !watches),
        watched: kept,
    };
    if directory.tell(ended).await.is_err() {
        tracing::debug!(event = "directory_gone");
    }
}

async fn read(
    subject: Subject,
    platform: &dyn Platform,
    directory: &ActorRef<Directory>,
) -> Result<Revision, PlatformError> {
    let listing = platform.list(subject.prefix()).await?;
    report(subject, listing.entries, true, directory).await;
    Ok(listing.revision)
}

async fn watch(
    subject: Subject,
    from: Revision,
    platform: &dyn Platform,
    directory: &ActorRef<Directory>,
) -> Result<(), PlatformError> {
    let events = platform.watch(subject.prefix(), from).await?;
    let life = jittered(WATCH_LIFE);
    let forwarding = forward(subject, events, directory);
    match tokio::time::timeout(life, forwarding).await {
        Ok(()) => Err(PlatformError::Unanswered("watch ended".to_owned())),
        Err(_) => Ok(()),
    }
}

async fn forward(
    subject: Subject,
    mut events: mpsc::Receiver<WatchEvent>,
    directory: &ActorRef<Directory>,
) {
    while let Some(event) = events.recv().await {
        match event {
            WatchEvent::Put(entry) => report(subject, vec![entry], false, directory).await,
            WatchEvent::Delete(key) => {
                if directory.tell(Deleted { subject, key }).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn report(
    subject: Subject,
    entries: Vec<Entry>,
    whole: bool,
    directory: &ActorRef<Directory>,
) {
    let read = Read {
        subject,
        entries,
        whole,
    };
    if directory.tell(read).await.is_err() {
        tracing::debug!(event = "directory_gone");
    }
}
