//! Decision when a link pings the other vm, takes it for silent, or is closed.
//!
//! The load that it answers: vms that are cut off or stopped while statements wait for them.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time without a reply after which a link with pending requests is pinged; most statements take less.
const PING_AFTER: Duration = Duration::from_millis(60);
/// Time without a reply to a ping after which the vm counts as silent: a reply's time within a region.
const SILENT_AFTER: Duration = Duration::from_millis(60);
/// Time without a reply to a ping after which the link is closed: longer than a vm waits for its processor.
const CLOSE_AFTER: Duration = Duration::from_millis(400);
/// Time after the last reply at which a link without pending requests is pinged.
const IDLE_PING_AFTER: Duration = Duration::from_secs(2);
/// Time after a ping at which a link to another region measures its round trip again.
const MEASURE_INTERVAL: Duration = Duration::from_secs(2);

/// Action that is due on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkCheck {
    /// A ping is to be sent.
    Ping,
    /// The vm counts as silent.
    Silent,
    /// The link is to be closed.
    Close,
}

/// Replies and pings of a link, and how long it waits for the next reply.
#[derive(Debug)]
pub struct ReplyWatch {
    last_reply: Instant,
    /// When the first request after the last reply was sent.
    first_unanswered: Instant,
    /// Ping since the last reply.
    ping_sent: Option<Instant>,
    silent: bool,
    /// Pings whose own replies are outstanding, the first sent first.
    pings: VecDeque<Instant>,
    /// When the round trip is to be measured, on a link to another region.
    measure_at: Option<Instant>,
}

impl ReplyWatch {
    /// Starts the watch of a link that has just been opened; `measures` if it leads to another region.
    #[must_use]
    pub fn new(measures: bool, now: Instant) -> Self {
        Self {
            last_reply: now,
            first_unanswered: now,
            ping_sent: None,
            silent: false,
            pings: VecDeque::new(),
            measure_at: measures.then_some(now),
        }
    }

    /// Notes that a request is being sent.
    pub fn on_request(&mut self, now: Instant) {
        if self.first_unanswered <= self.last_reply {
            self.first_unanswered = now;
        }
    }

    /// Notes any reply: the vm is not silent.
    pub fn on_reply(&mut self, now: Instant) {
        self.last_reply = now;
        self.ping_sent = None;
        self.silent = false;
    }

    /// Notes the reply to a ping of this watch and returns the round trip; pings are answered in order.
    pub fn on_pong(&mut self, now: Instant) -> Option<Duration> {
        let sent = self.pings.pop_front()?;
        Some(now.saturating_duration_since(sent))
    }

    /// Returns when the link is to be checked next; every wait for a reply grows by `added_wait`.
    #[must_use]
    pub fn next_check(&self, has_pending: bool, added_wait: Duration) -> Instant {
        match self.ping_sent {
            Some(at) if self.silent => at + CLOSE_AFTER + added_wait,
            Some(at) => at + SILENT_AFTER + added_wait,
            None => {
                let due = if has_pending {
                    self.last_reply.max(self.first_unanswered) + PING_AFTER + added_wait
                } else {
                    self.last_reply + IDLE_PING_AFTER
                };
                self.measure_at.map_or(due, |at| at.min(due))
            }
        }
    }

    /// Returns the action that is due, once the time of the next check has come.
    pub fn check(&mut self, now: Instant) -> LinkCheck {
        if self.silent {
            return LinkCheck::Close;
        }
        if self.ping_sent.is_some() {
            self.silent = true;
            return LinkCheck::Silent;
        }
        self.ping_sent = Some(now);
        self.pings.push_back(now);
        self.measure_at = self.measure_at.map(|_| now + MEASURE_INTERVAL);
        LinkCheck::Ping
    }
}
