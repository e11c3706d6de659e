//! Test setup: a pool with a fake steward, a primary and a replica.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardbay_link::StewardLink;
use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::bundle::BundleVersion;
use mustardbay_policy::bundle::Group;
use mustardbay_policy::bundle::Limits;
use mustardbay_policy::bundle::Upstream;
use mustardbay_policy::position::Term;
use mustardbay_policy::queue::Discipline;
use mustardbay_policy::view::FleetView;
use mustardbay_policy::view::GroupState;
use mustardbay_pool::Login;
use mustardbay_pool::Pool;
use mustardbay_pool::PoolLimits;
use mustardbay_pool::PoolSettings;
use mustardbay_process::lifecycle::Lifecycle;
use mustardbay_process::metrics::Metrics;
use mustardbay_process::settings::Milliseconds;

use crate::entry::Entry;
use crate::fake_steward::FakeSteward;
use crate::fake_upstream::FakeUpstream;

/// Running pool with the fakes that it is connected to.
pub struct Fixture {
    pub pool: Pool,
    pub lifecycle: Lifecycle,
    pub address: String,
    pub steward: FakeSteward,
    pub primary: FakeUpstream,
    pub replica: FakeUpstream,
}

/// Limits for most tests; long, so that a busy machine does not fail them.
pub fn limits() -> Limits {
    Limits {
        statement_ms: 10_000,
        behind_ms: 50,
        durable_ms: 10_000,
        suspect_ms: 600,
    }
}

impl Fixture {
    pub async fn start() -> Self {
        Self::with_limits(limits()).await
    }

    pub async fn with_limits(limits: Limits) -> Self {
        Self::start_with(limits, 0, PoolLimits::default()).await
    }

    /// Starts a pool that accepts new work during the first `linger_ms` of its drain.
    pub async fn with_linger(linger_ms: u64) -> Self {
        Self::start_with(limits(), linger_ms, PoolLimits::default()).await
    }

    /// Starts a pool that may use `memory_bytes`.
    pub async fn with_memory(memory_bytes: u64) -> Self {
        let pool_limits = PoolLimits {
            memory_bytes: Some(memory_bytes),
        };
        Self::start_with(limits(), 0, pool_limits).await
    }

    async fn start_with(limits: Limits, linger_ms: u64, pool_limits: PoolLimits) -> Self {
        let primary = FakeUpstream::start("primary").await;
        let replica = FakeUpstream::start("replica").await;
        let steward = FakeSteward::start(view(&primary, &replica, limits)).await;
        let settings = PoolSettings {
            vm: "vm1".to_owned(),
            domain: "oslo-a".to_owned(),
            entries: "127.0.0.1:0".to_owned(),
            admin: "127.0.0.1:0".to_owned(),
            steward: steward.address.clone(),
            source: None,
            login: Login {
                user: "mustardbay".to_owned(),
                password: "secret".to_owned(),
            },
            queue: Discipline::Fair,
            drain_ms: Milliseconds::clamped(10_000),
            linger_ms: Milliseconds::clamped(linger_ms),
            limits: pool_limits,
        };
        let lifecycle = Lifecycle::new();
        let link = StewardLink::start(steward.address.clone(), "pool", 1);
        let mut changes = link.changes();
        while link.view().is_none() {
            changes.changed().await.expect("view");
        }
        let pool = Pool::new(
            settings,
            link,
            lifecycle.clone(),
            &Metrics::new().expect("metrics").meter(),
        );
        let address = pool.serve().await.expect("bind").to_string();
        Self {
            pool,
            lifecycle,
            address,
            steward,
            primary,
            replica,
        }
    }

    pub async fn entry(&self) -> Entry {
        Entry::connect(&self.address).await
    }
}

/// Waits until `condition` returns true; panics with `what` after 20 seconds.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..4_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("never happened: {what}");
}

fn view(primary: &FakeUpstream, replica: &FakeUpstream, limits: Limits) -> FleetView {
    let upstream = |name: &str, served: &FakeUpstream| Upstream {
        name: name.into(),
        address: served.address.clone(),
        domain: "oslo-a".into(),
        leaving: false,
    };
    let group = Group {
        name: "g".into(),
        slots: 2,
        connections: 8,
        upstreams: vec![upstream("p", primary), upstream("r", replica)],
    };
    let bundle = Bundle {
        version: BundleVersion(1),
        groups: vec![group],
        limits,
        ..Bundle::default()
    };
    let state = GroupState {
        term: Term(1),
        primary: Some("p".into()),
    };
    FleetView {
        bundle: Arc::new(bundle),
        groups: BTreeMap::from([("g".into(), state)]),
        rates_known: true,
        vms: BTreeMap::new(),
    }
}
