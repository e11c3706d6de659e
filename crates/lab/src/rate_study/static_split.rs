//! Equal parts for good.

use mustardbay_policy::account::Bucket;
use mustardbay_policy::account::TOKEN;
use mustardbay_policy::account::micros;

use super::arrivals::Arrival;
use super::scenario::Fault;
use super::scenario::FaultKind;
use super::scenario::Plan;
use super::tally::Served;

/// One bucket for each virtual machine; a new life starts with an empty one.
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

    pub(super) fn on_fault(&mut self, fault: &Fault) {
        match fault.kind {
            FaultKind::Die(vm) | FaultKind::Leave(vm) => self.buckets[vm] = None,
            FaultKind::Start(vm) => {
                self.buckets[vm] = Some(Bucket::empty(self.rate, self.burst, fault.at));
            }
            FaultKind::Platform(_) => {}
        }
    }

    pub(super) fn serve(&mut self, arrival: &Arrival) -> Served {
        let Some(bucket) = &mut self.buckets[arrival.vm] else {
            return Served::Lost;
        };
        bucket.advance(arrival.at);
        if bucket.take(TOKEN) {
            Served::Yes
        } else {
            Served::No
        }
    }
}
