//! Schedule of the reads of a subject, and the read and watch themselves.

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

use crate::directory::Directory;
use crate::directory::EntriesRead;
use crate::directory::KeyDeleted;
use crate::directory::RunEnded;
use crate::directory::Subject;

/// Mean duration of a watch, after which the subject is listed again.
const WATCH_PERIOD: Duration = Duration::from_secs(20);
/// Mean time between reads of a steward that does not watch.
const POLL_PERIOD: Duration = Duration::from_secs(30);
/// Initial backoff, doubled after each failed read; also the delay after a watch.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff after failed reads.
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
            backoff: INITIAL_BACKOFF,
            answered_at: None,
        }
    }

    pub(super) fn subject(&self) -> Subject {
        self.subject
    }

    /// Tells whether a read is due, and marks it as running.
    pub(super) fn begin(&mut self, now: Instant) -> bool {
        let due = !self.running && now >= self.due;
        self.running |= due;
        due
    }

    /// Schedules the next read; jitter keeps stewards from reading at the same time.
    pub(super) fn end(&mut self, answered: bool, watched: bool, now: Instant) {
        self.running = false;
        let pause = if !answered {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            self.backoff
        } else if watched {
            self.backoff = INITIAL_BACKOFF;
            INITIAL_BACKOFF
        } else {
            self.backoff = INITIAL_BACKOFF;
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

/// Reads a subject, watches it for a while if `watches` is set, and reports to `directory`.
pub(super) async fn run(
    subject: Subject,
    watches: bool,
    platform: Arc<dyn Platform>,
    directory: ActorRef<Directory>,
) {
    let result = read(subject, &*platform, &directory).await;
    let answered = result.is_ok();
    let mut watch_ok = false;
    match result {
        Ok(revision) if watches => {
            let from = Revision(revision.0 + 1);
            watch_ok = watch(subject, from, &*platform, &directory).await.is_ok();
        }
        Ok(_) => {}
        Err(e) => tracing::warn!(event = "platform_not_read", ?subject, error = %e),
    }
    let ended = RunEnded {
        subject,
        answered: answered && (watch_ok || !watches),
        watched: watch_ok,
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
    let max_time = jittered(WATCH_PERIOD);
    let forwarding = forward(subject, events, directory);
    match tokio::time::timeout(max_time, forwarding).await {
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
                if directory.tell(KeyDeleted { subject, key }).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn report(
    subject: Subject,
    entries: Vec<Entry>,
    complete: bool,
    directory: &ActorRef<Directory>,
) {
    let read = EntriesRead {
        subject,
        entries,
        complete,
    };
    if directory.tell(read).await.is_err() {
        tracing::debug!(event = "directory_gone");
    }
}
