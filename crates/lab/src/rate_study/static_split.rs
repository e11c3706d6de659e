//! Strategy in which every vm has a fixed, equal share of the rate and the burst.

use mustardbay_policy::account::Bucket;
use mustardbay_policy::account::TOKEN;
use mustardbay_policy::account::micros;

use super::arrivals::Arrival;
use super::scenario::Event;
use super::scenario::EventKind;
use super::scenario::Plan;
use super::tally::Outcome;

/// One token bucket for each vm; a restarted vm begins with an empty bucket.
#[derive(Debug)]
pub(super) struct StaticSplit {
    rate: u64,
    burst: u64,
    buckets: Vec<Option<Bucket>>,
}

impl StaticSplit {
    pub(super) fn new(plan: &Plan) -> Self {
        let count = u64::try_from(plan.vms).unwrap_or(u64::MAX);
        let rate = micros(plan.rate) / count;
        let burst = micros(plan.burst) / count;
        let bucket = Bucket::full(rate, burst, std::time::Duration::ZERO);
        Self {
            rate,
            burst,
            buckets: vec![Some(bucket); plan.vms],
        }
    }

    pub(super) fn on_event(&mut self, event: &Event) {
        match event.kind {
            EventKind::Crash(vm) | EventKind::Leave(vm) => self.buckets[vm] = None,
            EventKind::Start(vm) => {
                self.buckets[vm] = Some(Bucket::empty(self.rate, self.burst, event.at));
            }
            EventKind::Platform(_) => {}
        }
    }

    pub(super) fn serve(&mut self, arrival: &Arrival) -> Outcome {
        let Some(bucket) = &mut self.buckets[arrival.vm] else {
            return Outcome::VmDown;
        };
        bucket.advance(arrival.at);
        if bucket.take(TOKEN) {
            Outcome::Served
        } else {
            Outcome::Refused
        }
    }
}
