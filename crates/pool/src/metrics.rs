//! Metrics of the pool.

use std::time::Duration;

use mustardbay_policy::refusal::Outcome;
use mustardbay_policy::refusal::Refusal;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::request::SharedMemory;

/// Metric instruments of the pool.
#[derive(Debug)]
pub(crate) struct PoolMetrics {
    slot_wait: Histogram<f64>,
    service: Histogram<f64>,
    durable_wait: Histogram<f64>,
    refusals: Counter<u64>,
}

impl PoolMetrics {
    /// Creates the instruments.
    pub(crate) fn new(meter: &Meter, memory: &SharedMemory) -> Self {
        let memory = memory.clone();
        meter
            .u64_observable_gauge("mustardbay_pool_request_bytes")
            .with_description("Memory that is kept for requests and held answers")
            .with_unit("By")
            .with_callback(move |gauge| gauge.observe(memory.used() as u64, &[]))
            .build();
        let seconds = |name: &'static str, text: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            histogram.with_description(text).build()
        };
        Self {
            slot_wait: seconds(
                "mustardbay_pool_slot_wait",
                "Wait for a slot and a connection",
            ),
            service: seconds(
                "mustardbay_pool_service",
                "Exchange of a batch with its upstream",
            ),
            durable_wait: seconds(
                "mustardbay_pool_durable_wait",
                "Wait for a replica to receive a write",
            ),
            refusals: meter
                .u64_counter("mustardbay_pool_refusals")
                .with_description("Refused requests")
                .build(),
        }
    }

    /// Records how long a request waited before it was sent to its upstream.
    pub(crate) fn record_slot_wait(&self, wait: Duration) {
        self.slot_wait.record(wait.as_secs_f64(), &[]);
    }

    /// Records how long a batch ran on its upstream.
    pub(crate) fn record_service(&self, time: Duration) {
        self.service.record(time.as_secs_f64(), &[]);
    }

    /// Records how long a write waited for a replica to receive it.
    pub(crate) fn record_durable_wait(&self, wait: Duration) {
        self.durable_wait.record(wait.as_secs_f64(), &[]);
    }

    /// Counts a refusal by reason and outcome.
    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let outcome = match refusal.outcome {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        };
        let labels = [
            KeyValue::new("reason", format!("{:?}", refusal.reason)),
            KeyValue::new("outcome", outcome),
        ];
        self.refusals.add(1, &labels);
    }
}
