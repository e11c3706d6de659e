//! Counters and histograms of the vm.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

/// Instruments of one process.
#[derive(Debug)]
pub struct Meters {
    statements: Counter<u64>,
    retries: Counter<u64>,
    connections: Counter<u64>,
    store_calls: Counter<u64>,
    latency: Histogram<f64>,
}

impl Meters {
    /// Creates the instruments.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        Self {
            statements: meter.u64_counter("mustardbay_statements").build(),
            retries: meter.u64_counter("mustardbay_retries").build(),
            connections: meter.u64_counter("mustardbay_connections_opened").build(),
            store_calls: meter.u64_counter("mustardbay_store_calls").build(),
            latency: meter
                .f64_histogram("mustardbay_statement_seconds")
                .with_unit("s")
                .build(),
        }
    }

    /// Counts a statement by its outcome.
    pub fn statement(&self, outcome: &'static str, took: Duration) {
        let outcome = [KeyValue::new("outcome", outcome)];
        self.statements.add(1, &outcome);
        self.latency.record(took.as_secs_f64(), &outcome);
    }

    /// Counts a unit that was tried again.
    pub fn retried(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a connection to an upstream.
    pub fn connection_opened(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a call to the platform's store.
    pub fn store_call(&self, kind: &'static str, answer: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("answer", answer)];
        self.store_calls.add(1, &labels);
    }
}
