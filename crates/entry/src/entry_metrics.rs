//! Metrics of the entry.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::refusal::Reason;
use mustardbay_policy::statement::Access;
use mustardbay_process::byte_budget::ByteBudget;
use mustardbay_process::byte_budget::Eviction;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::sessions::Sessions;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BOUNDS: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// Kind of upstream that served a batch, as metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServedBy {
    /// The primary.
    Primary,
    /// A replica.
    Replica,
    /// The upstream of the session's open transaction, of either role.
    Transaction,
}

impl ServedBy {
    fn label(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
            Self::Transaction => "transaction",
        }
    }
}

/// Instruments of the entry.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    statements: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    latency: Histogram<f64>,
    dropped: Counter<u64>,
}

impl EntryMetrics {
    /// Creates the instruments; the number of sessions is read when metrics are collected.
    pub fn new(meter: &Meter, sessions: &Arc<Sessions>, budget: &ByteBudget) -> Self {
        observe_budget(meter, budget);
        let open = Arc::clone(sessions);
        meter
            .u64_observable_gauge("mustardbay_entry_sessions")
            .with_description("Open sessions of callers")
            .with_callback(move |gauge| gauge.observe(open.count() as u64, &[]))
            .build();
        Self {
            statements: meter
                .u64_counter("mustardbay_entry_statements")
                .with_description("Batches that were answered, by class and kind of upstream")
                .build(),
            refusals: meter
                .u64_counter("mustardbay_entry_refusals")
                .with_description("Batches that were refused, by reason")
                .build(),
            retries: meter
                .u64_counter("mustardbay_entry_retries")
                .with_description("Attempts after the first one")
                .build(),
            dropped: meter
                .u64_counter("mustardbay_entry_dropped_connections")
                .with_description("Connections closed at once, because too many waited already")
                .build(),
            latency: meter
                .f64_histogram("mustardbay_entry_latency")
                .with_description("Time from a whole batch to its whole answer")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
        }
    }

    /// Counts an answered batch and records its latency.
    pub fn answered(&self, access: Access, served: ServedBy, took: Duration) {
        let labels = [
            KeyValue::new("class", access.label()),
            KeyValue::new("target", served.label()),
        ];
        self.statements.add(1, &labels);
        self.latency.record(took.as_secs_f64(), &labels);
    }

    /// Counts a refused batch.
    pub fn refused(&self, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason_label(reason))]);
    }

    /// Counts a connection that was closed at once, because too many wait already.
    pub fn dropped(&self) {
        self.dropped.add(1, &[]);
    }

    /// Counts a retry.
    pub fn retried(&self) {
        self.retries.add(1, &[]);
    }
}

/// Reports the budget and the clients that had to go when metrics are collected.
fn observe_budget(meter: &Meter, budget: &ByteBudget) {
    let kept = budget.clone();
    meter
        .u64_observable_gauge("mustardbay_entry_kept_bytes")
        .with_description("Memory that is kept for clients")
        .with_unit("By")
        .with_callback(move |gauge| gauge.observe(kept.used() as u64, &[]))
        .build();
    let budget = budget.clone();
    meter
        .u64_observable_counter("mustardbay_entry_evictions")
        .with_description("Clients that were closed, by reason")
        .with_callback(move |counter| {
            for why in Eviction::ALL {
                counter.observe(budget.evicted(why), &[KeyValue::new("reason", why.label())]);
            }
        })
        .build();
}

fn reason_label(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}
