//! Counters of peer traffic and failovers, and their export as metrics.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mustardbay_platform::Platform;
use mustardbay_policy::group::GroupRecord;
use mustardbay_policy::group::Phase;
use opentelemetry::KeyValue;
use opentelemetry::metrics::AsyncInstrument;
use opentelemetry::metrics::Meter;

use crate::view_publisher::ViewPublisher;

/// Counters of peer messages, elections and promotions.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    peer_messages: AtomicU64,
    peer_bytes: AtomicU64,
    elections: AtomicU64,
    promotions: AtomicU64,
}

impl Stats {
    pub(crate) fn count_peer_message(&self, bytes: usize) {
        self.peer_messages.fetch_add(1, Ordering::Relaxed);
        self.peer_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a successful record swap as an election if it started one.
    pub(crate) fn count_swap(&self, record: &GroupRecord) {
        if record.phase == Phase::Electing {
            self.elections.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub(crate) fn count_promotion(&self) {
        self.promotions.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn peer_messages(&self) -> u64 {
        self.peer_messages.load(Ordering::Relaxed)
    }

    pub(crate) fn peer_bytes(&self) -> u64 {
        self.peer_bytes.load(Ordering::Relaxed)
    }

    /// Registers the counters and metrics of the view and the platform client with `meter`.
    pub(crate) fn export(
        self: &Arc<Self>,
        meter: &Meter,
        publisher: &Arc<ViewPublisher>,
        platform: &Arc<dyn Platform>,
    ) {
        self.counter(meter, "mustardbay_steward_peer_messages", |stats| {
            &stats.peer_messages
        });
        self.counter(meter, "mustardbay_steward_peer_bytes", |stats| {
            &stats.peer_bytes
        });
        self.counter(meter, "mustardbay_steward_elections", |stats| {
            &stats.elections
        });
        self.counter(meter, "mustardbay_steward_promotions", |stats| {
            &stats.promotions
        });
        let platform = Arc::clone(platform);
        meter
            .u64_observable_counter("mustardbay_steward_platform_calls")
            .with_description("Calls to the platform by kind; kind failed counts those without an answer once more")
            .with_callback(move |calls| observe_calls(&*platform, calls))
            .build();
        let members = Arc::clone(publisher);
        meter
            .u64_observable_gauge("mustardbay_steward_members")
            .with_description("Live virtual machines, this one included")
            .with_callback(move |gauge| gauge.observe(members.view().vms.len() as u64, &[]))
            .build();
        let version = Arc::clone(publisher);
        meter
            .u64_observable_gauge("mustardbay_steward_bundle_version")
            .with_description("Version of the bundle in force")
            .with_callback(move |gauge| gauge.observe(version.version().0, &[]))
            .build();
    }

    fn counter(
        self: &Arc<Self>,
        meter: &Meter,
        name: &'static str,
        field: fn(&Self) -> &AtomicU64,
    ) {
        let stats = Arc::clone(self);
        meter
            .u64_observable_counter(name)
            .with_callback(move |counter| {
                counter.observe(field(&stats).load(Ordering::Relaxed), &[]);
            })
            .build();
    }
}

fn observe_calls(platform: &dyn Platform, calls: &dyn AsyncInstrument<u64>) {
    for (kind, count) in platform.calls().by_name() {
        calls.observe(count, &[KeyValue::new("kind", kind)]);
    }
}
