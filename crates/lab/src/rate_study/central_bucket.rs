//! Strategy in which one vm holds the only token bucket for the whole fleet.

use std::time::Duration;

use mustardbay_policy::account::Bucket;
use mustardbay_policy::account::TOKEN;
use mustardbay_policy::account::micros;
use mustardbay_policy::escrow::RECLAIM_WAIT;

use super::arrivals::Arrival;
use super::scenario::Event;
use super::scenario::EventKind;
use super::scenario::Plan;
use super::tally::Outcome;

/// Token bucket on one vm, at first vm 0.
///
/// If that vm is lost, the first running vm takes over with an empty bucket. It does so through the
/// platform, at the earliest [`RECLAIM_WAIT`] after the loss.
#[derive(Debug)]
pub(super) struct CentralBucket {
    rate: u64,
    burst: u64,
    alive: Vec<bool>,
    bucket: Bucket,
    owner: usize,
    /// Time at which the owner was lost, `None` while it runs.
    lost_at: Option<Duration>,
    platform_up: bool,
}

impl CentralBucket {
    pub(super) fn new(plan: &Plan) -> Self {
        let (rate, burst) = (micros(plan.rate), micros(plan.burst));
        Self {
            rate,
            burst,
            alive: vec![true; plan.vms],
            bucket: Bucket::full(rate, burst, Duration::ZERO),
            owner: 0,
            lost_at: None,
            platform_up: true,
        }
    }

    pub(super) fn on_event(&mut self, event: &Event) {
        match event.kind {
            EventKind::Crash(vm) | EventKind::Leave(vm) => {
                self.alive[vm] = false;
                if vm == self.owner && self.lost_at.is_none() {
                    self.lost_at = Some(event.at);
                }
            }
            EventKind::Start(vm) => self.alive[vm] = true,
            EventKind::Platform(up) => self.platform_up = up,
        }
    }

    pub(super) fn serve(&mut self, arrival: &Arrival) -> Outcome {
        if !self.alive[arrival.vm] {
            return Outcome::VmDown;
        }
        self.replace_owner(arrival.at);
        if self.lost_at.is_some() {
            return Outcome::Refused;
        }
        self.bucket.advance(arrival.at);
        if self.bucket.take(TOKEN) {
            Outcome::Served
        } else {
            Outcome::Refused
        }
    }

    /// Moves the bucket to another vm if the owner has been lost long enough.
    fn replace_owner(&mut self, now: Duration) {
        let wait_over = self.lost_at.is_some_and(|at| at + RECLAIM_WAIT <= now);
        if !wait_over || !self.platform_up {
            return;
        }
        if let Some(owner) = self.alive.iter().position(|alive| *alive) {
            self.owner = owner;
            self.lost_at = None;
            self.bucket = Bucket::empty(self.rate, self.burst, now);
        }
    }
}
