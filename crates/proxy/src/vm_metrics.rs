//! Metrics of a vm: counters, histograms and gauges.

mod pool_levels;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use mustardbay_policy::names::GroupName;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::budget::Budget;
use crate::clock::BootInstant;
use crate::latest_view::LatestView;
use crate::link::Links;
use crate::reload::FileState;
use crate::reload::ReloadCheck;
use crate::sync::lock;
use crate::vm_lease::VmLease;
pub use crate::vm_metrics::pool_levels::PoolLevel;
pub use crate::vm_metrics::pool_levels::PoolLevels;
use crate::work::Class;

/// Levels of every pool of the vm.
type Pools = Arc<Mutex<BTreeMap<GroupName, Arc<PoolLevels>>>>;

/// Stage of a statement whose duration is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Wait for a slot, at the vm that holds the connections.
    Queue,
    /// From sending the statement to an upstream until its answer.
    Upstream,
}

impl Stage {
    fn name(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Upstream => "upstream",
        }
    }
}

/// Metric instruments of one process.
#[derive(Debug)]
pub struct VmMetrics {
    statements: Counter<u64>,
    refusals: Counter<u64>,
    limits: Counter<u64>,
    retries: Counter<u64>,
    interruptions: Counter<u64>,
    promotion_steps: Counter<u64>,
    connections: Counter<u64>,
    store_calls: Counter<u64>,
    latency: Histogram<f64>,
    tokens: Histogram<f64>,
    stages: Histogram<f64>,
    report_ages: Histogram<f64>,
    pools: Pools,
}

impl VmMetrics {
    /// Creates the instruments.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        // The exporter adds the unit to the name: `mustardbay_stage_seconds`.
        let seconds = |name| meter.f64_histogram(name).with_unit("s").build();
        let pools = Pools::default();
        watch_pools(meter, &pools);
        Self {
            statements: meter.u64_counter("mustardbay_statements").build(),
            refusals: meter.u64_counter("mustardbay_refusals").build(),
            limits: meter.u64_counter("mustardbay_limits_met").build(),
            retries: meter.u64_counter("mustardbay_retries").build(),
            promotion_steps: meter.u64_counter("mustardbay_promotion_steps").build(),
            interruptions: meter.u64_counter("mustardbay_interruptions").build(),
            connections: meter.u64_counter("mustardbay_connections_opened").build(),
            store_calls: meter.u64_counter("mustardbay_store_calls").build(),
            latency: seconds("mustardbay_statement"),
            tokens: seconds("mustardbay_token_wait"),
            stages: seconds("mustardbay_stage"),
            report_ages: seconds("mustardbay_load_report_age"),
            pools,
        }
    }

    /// Registers gauges for the view's age, its evacuated domains and the remaining time of the lease.
    pub fn watch_view_age(meter: &Meter, latest_view: Arc<LatestView>, lease: Arc<VmLease>) {
        let evacuated = Arc::clone(&latest_view);
        meter
            .f64_observable_gauge("mustardbay_configuration_age_seconds")
            .with_callback(move |gauge| {
                if let Some(view) = latest_view.view() {
                    gauge.observe(view.age(BootInstant::now()).as_secs_f64(), &[]);
                }
            })
            .build();
        meter
            .u64_observable_gauge("mustardbay_evacuated_domains")
            .with_callback(move |gauge| {
                if let Some(view) = evacuated.view() {
                    gauge.observe(view.snapshot.evacuated.len() as u64, &[]);
                }
            })
            .build();
        meter
            .f64_observable_gauge("mustardbay_lease_left_seconds")
            .with_callback(move |gauge| {
                gauge.observe(lease.remaining(BootInstant::now()).as_secs_f64(), &[]);
            })
            .build();
    }

    /// Registers a gauge that is 1 for the present state of the settings file and 0 for the others.
    pub fn watch_settings(meter: &Meter, file_state: FileState) {
        meter
            .u64_observable_gauge("mustardbay_settings_file")
            .with_callback(move |gauge| {
                let present = file_state.get();
                for name in ReloadCheck::NAMES {
                    let state = [KeyValue::new("state", name)];
                    gauge.observe(u64::from(present.name() == name), &state);
                }
            })
            .build();
    }

    /// Registers a gauge for the round trip to each other region, measured or assumed.
    pub fn watch_round_trips(meter: &Meter, links: Arc<Links>) {
        meter
            .f64_observable_gauge("mustardbay_region_round_trip_seconds")
            .with_callback(move |gauge| {
                for (region, wait) in links.round_trips().added_waits() {
                    let region = [KeyValue::new("region", region.as_str().to_owned())];
                    gauge.observe(wait.as_secs_f64(), &region);
                }
            })
            .build();
    }

    /// Registers gauges for the sessions and the bytes that they hold.
    pub fn watch_budget(meter: &Meter, budget: Arc<Budget>) {
        let sessions = Arc::clone(&budget);
        meter
            .u64_observable_gauge("mustardbay_sessions")
            .with_callback(move |gauge| gauge.observe(sessions.sessions() as u64, &[]))
            .build();
        meter
            .u64_observable_gauge("mustardbay_session_bytes")
            .with_callback(move |gauge| gauge.observe(budget.used() as u64, &[]))
            .build();
    }

    /// Returns the levels of a group's pool, which the pool's task keeps up to date.
    #[must_use]
    pub fn pool(&self, group: &GroupName) -> Arc<PoolLevels> {
        let mut pools = lock(&self.pools);
        Arc::clone(pools.entry(group.clone()).or_default())
    }

    /// Returns the units that wait or run in the pools of this vm.
    #[must_use]
    pub fn units(&self) -> u64 {
        let pools = lock(&self.pools);
        pools
            .values()
            .map(|levels| levels.waiting() + levels.running())
            .sum()
    }

    /// Counts a statement by its outcome and records its duration.
    pub fn statement(&self, outcome: &'static str, took: Duration) {
        let outcome = [KeyValue::new("outcome", outcome)];
        self.statements.add(1, &outcome);
        self.latency.record(took.as_secs_f64(), &outcome);
    }

    /// Records how long an operation waited for a token of its account.
    pub fn token_waited(&self, took: Duration) {
        self.tokens.record(took.as_secs_f64(), &[]);
    }

    /// Records the duration of a stage of a statement.
    pub fn record_stage(&self, stage: Stage, class: Class, took: Duration) {
        let labels = [
            KeyValue::new("stage", stage.name()),
            KeyValue::new("class", class.name()),
        ];
        self.stages.record(took.as_secs_f64(), &labels);
    }

    /// Records the age of the oldest load report that the choice of an upstream rested on.
    pub fn record_report_age(&self, age: Duration) {
        self.report_ages.record(age.as_secs_f64(), &[]);
    }

    /// Counts a refusal by its cause.
    pub fn refused(&self, cause: &'static str) {
        self.refusals.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a session that was closed, or a request that was refused, by the limit that it met.
    pub fn limited(&self, limit: &'static str) {
        self.limits.add(1, &[KeyValue::new("limit", limit)]);
    }

    /// Counts a unit that was retried.
    pub fn retried(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a statement that was aborted or is in doubt because its connection ended.
    pub fn interrupted(&self, reason: &'static str, in_doubt: bool) {
        let labels = [
            KeyValue::new("reason", reason),
            KeyValue::new("in_doubt", in_doubt),
        ];
        self.interruptions.add(1, &labels);
    }

    /// Counts a step of the replacement of a primary.
    pub fn promotion_step(&self, step: &'static str) {
        self.promotion_steps.add(1, &[KeyValue::new("step", step)]);
    }

    /// Counts a new connection to an upstream.
    pub fn connection_opened(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a call to the platform's store by its kind and result.
    pub fn store_call(&self, kind: &'static str, answer: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("answer", answer)];
        self.store_calls.add(1, &labels);
    }
}

/// Registers gauges for the levels of every pool.
fn watch_pools(meter: &Meter, pools: &Pools) {
    observe_pools(
        meter,
        pools,
        "mustardbay_units_waiting",
        PoolLevels::waiting,
    );
    observe_pools(
        meter,
        pools,
        "mustardbay_units_running",
        PoolLevels::running,
    );
    observe_pools(
        meter,
        pools,
        "mustardbay_connections",
        PoolLevels::connections,
    );
    let pools = Arc::clone(pools);
    meter
        .f64_observable_gauge("mustardbay_position_age_seconds")
        .with_callback(move |gauge| {
            for (group, levels) in lock(&pools).iter() {
                let group = [KeyValue::new("group", group.as_str().to_owned())];
                if let Some(age) = levels.position_age() {
                    gauge.observe(age.as_secs_f64(), &group);
                }
            }
        })
        .build();
}

fn observe_pools(
    meter: &Meter,
    pools: &Pools,
    name: &'static str,
    read: impl Fn(&PoolLevels) -> u64 + Send + Sync + 'static,
) {
    let pools = Arc::clone(pools);
    meter
        .u64_observable_gauge(name)
        .with_callback(move |gauge| {
            for (group, levels) in lock(&pools).iter() {
                let group = [KeyValue::new("group", group.as_str().to_owned())];
                gauge.observe(read(levels), &group);
            }
        })
        .build();
}
