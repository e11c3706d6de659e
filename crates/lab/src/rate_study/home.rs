//! One virtual machine that counts for all.

use std::time::Duration;

use mustardbay_policy::account::Bucket;
use mustardbay_policy::account::TOKEN;
use mustardbay_policy::account::micros;
use mustardbay_policy::escrow::RECLAIM_WAIT;

use super::arrivals::Arrival;
use super::scenario::Fault;
use super::scenario::FaultKind;
use super::scenario::Plan;
use super::tally::Served;

/// One bucket at the lowest virtual machine; the next home is agreed through the platform, once the
/// old one is surely gone, and starts with nothing.
#[derive(Debug)]
pub(super) struct Home {
    rate: u64,
    burst: u64,
    alive: Vec<bool>,
    bucket: Bucket,
    vm: usize,
    lost_at: Option<Duration>,
    platform_up: bool,
}

impl Home {
    pub(super) fn new(plan: &Plan) -> Self {
        let (rate, burst) = (micros(plan.rate), micros(plan.burst));
        Self {
            rate,
            burst,
            alive: vec![true; plan.vms],
            bucket: Bucket::full(rate, burst, Duration::ZERO),
            vm: 0,
            lost_at: None,
            platform_up: true,
        }
    }

    pub(super) fn on_fault(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::Die(vm) | FaultKind::Leave(vm) => {
                self.alive[vm] = false;
                if vm == self.vm && self.lost_at.is_none() {
                    self.lost_at = Some(fault.at);
                }
            }
            FaultKind::Start(vm) => self.alive[vm] = true,
            FaultKind::Platform(up) => self.platform_up = up,
        }
    }

    pub(super) fn serve(&mut self, arrival: &Arrival) -> Served {
        if !self.alive[arrival.vm] {
            return Served::Lost;
        }
        self.elect(arrival.at);
        if self.lost_at.is_some() {
            return Served::No;
        }
        self.bucket.advance(arrival.at);
        if self.bucket.take(TOKEN) {
            Served::Yes
        } else {
            Served::No
        }
    }

    fn elect(&mut self, now: Duration) {
        let surely_gone = self.lost_at.is_some_and(|at| at + RECLAIM_WAIT <= now);
        if !surely_gone || !self.platform_up {
            return;
        }
        if let Some(home) = self.alive.iter().position(|alive| *alive) {
            self.vm = home;
            self.lost_at = None;
            self.bucket = Bucket::empty(self.rate, self.burst, now);
        }
    }
}
