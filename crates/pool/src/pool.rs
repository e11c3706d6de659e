//! Pool of one vm: the upstreams that it connects to and the listener for entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use mustardbay_link::StewardLink;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::view::FleetView;
use mustardbay_process::dialer::Dialer;
use mustardbay_process::lifecycle::Lifecycle;
use mustardbay_process::timer::Timer;
use mustardbay_wire::UpstreamPosition;
use opentelemetry::metrics::Meter;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::bundle_index::BundleIndex;
use crate::drain::drain;
use crate::entry_link::serve_entry;
use crate::maintenance;
use crate::metrics::PoolMetrics;
use crate::request::SharedMemory;
use crate::settings::PoolSettings;
use crate::upstream::Target;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;

type Upstreams = HashMap<UpstreamKey, Arc<Upstream>>;

/// Pool of one vm; clones share its state.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: PoolSettings,
    link: StewardLink,
    lifecycle: Lifecycle,
    index: ArcSwapOption<BundleIndex>,
    upstreams: Mutex<Upstreams>,
    entry_links: TaskTracker,
    requests: TaskTracker,
    metrics: PoolMetrics,
    timer: Timer,
    refuses_new: AtomicBool,
    memory: SharedMemory,
}

impl Pool {
    /// Creates a pool that does not listen yet.
    #[must_use]
    pub fn new(
        settings: PoolSettings,
        link: StewardLink,
        lifecycle: Lifecycle,
        meter: &Meter,
    ) -> Self {
        let memory = SharedMemory::new(settings.limits.request_bytes());
        let shared = Shared {
            settings,
            link,
            lifecycle,
            index: ArcSwapOption::empty(),
            upstreams: Mutex::default(),
            entry_links: TaskTracker::new(),
            requests: TaskTracker::new(),
            metrics: PoolMetrics::new(meter, &memory),
            timer: Timer::new(),
            refuses_new: AtomicBool::new(false),
            memory,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Starts to accept entries in the background and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(&self.shared.settings.entries).await?;
        let address = listener.local_addr()?;
        tracing::info!(event = "pool_started", %address, vm = self.shared.settings.vm);
        tokio::spawn(accept_entries(self.clone(), listener));
        tokio::spawn(drain(self.clone()));
        maintenance::start(self.clone(), &self.shared.timer);
        Ok(address)
    }

    /// Returns the state of the pool as JSON, for the admin endpoint.
    #[must_use]
    pub fn dump(&self) -> Value {
        let upstreams: Vec<Value> = self.upstreams().iter().map(|u| dump_upstream(u)).collect();
        json!({
            "vm": self.shared.settings.vm,
            "domain": self.shared.settings.domain,
            "bundle": self.view().map(|view| view.bundle.version),
            "draining": self.shared.lifecycle.is_draining(),
            "refuses_new": self.refuses_new(),
            "entries": self.shared.entry_links.len(),
            "in_flight": self.in_flight(),
            "request_bytes": self.shared.memory.used(),
            "groups": self.view().map(|view| view.groups.clone()),
            "upstreams": upstreams,
        })
    }

    pub(crate) fn lifecycle(&self) -> &Lifecycle {
        &self.shared.lifecycle
    }

    pub(crate) fn timer(&self) -> &Timer {
        &self.shared.timer
    }

    pub(crate) fn metrics(&self) -> &PoolMetrics {
        &self.shared.metrics
    }

    /// Returns the memory for requests.
    pub(crate) fn memory(&self) -> &SharedMemory {
        &self.shared.memory
    }

    /// Returns the tracker of running requests.
    pub(crate) fn requests(&self) -> &TaskTracker {
        &self.shared.requests
    }

    pub(crate) fn drain_timeout(&self) -> Duration {
        self.shared.settings.drain_ms.get()
    }

    pub(crate) fn linger(&self) -> Duration {
        self.shared.settings.linger_ms.get()
    }

    /// Makes the pool refuse new work from now on.
    pub(crate) fn refuse_new(&self) {
        self.shared.refuses_new.store(true, Ordering::Release);
    }

    /// Returns whether new work is refused because the process shuts down.
    pub(crate) fn refuses_new(&self) -> bool {
        self.shared.refuses_new.load(Ordering::Acquire)
    }

    /// Returns the number of running requests plus open transactions.
    pub(crate) fn in_flight(&self) -> usize {
        let open = |upstream: &Arc<Upstream>| upstream.slots.transactions();
        let open: usize = self.upstreams().iter().map(open).sum();
        self.shared.requests.len() + open
    }

    /// Returns a receiver that is notified of every new view.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.shared.link.changes()
    }

    /// Applies the view to every upstream and drops those that it no longer lists.
    ///
    /// An upstream whose address changed is dropped too; the next request creates it anew.
    pub(crate) fn apply_view(&self) {
        let Some(view) = self.view() else {
            return;
        };
        let index = self.bundle_index(&view);
        self.lock_upstreams().retain(|key, upstream| {
            let (Some(listed), Some(state)) = (index.upstream(key), view.groups.get(&key.group))
            else {
                return false;
            };
            upstream.resize(listed.capacity);
            upstream.set_condition(state.term, listed.leaving);
            listed.address == upstream.target.address
        });
    }

    pub(crate) fn view(&self) -> Option<Arc<FleetView>> {
        self.shared.link.view()
    }

    /// Returns the lookup tables of the view's bundle, built on first use.
    pub(crate) fn bundle_index(&self, view: &FleetView) -> Arc<BundleIndex> {
        if let Some(index) = self.shared.index.load_full()
            && Arc::ptr_eq(&index.bundle, &view.bundle)
        {
            return index;
        }
        let index = Arc::new(BundleIndex::new(Arc::clone(&view.bundle)));
        self.shared.index.store(Some(Arc::clone(&index)));
        index
    }

    /// Returns an upstream, created on first use; `None` if the bundle does not list it.
    pub(crate) fn upstream(&self, index: &BundleIndex, key: &UpstreamKey) -> Option<Arc<Upstream>> {
        let listed = index.upstream(key)?;
        let mut upstreams = self.lock_upstreams();
        if let Some(existing) = upstreams.get(key)
            && existing.target.address == listed.address
        {
            return Some(Arc::clone(existing));
        }
        let settings = &self.shared.settings;
        let target = Target {
            address: listed.address.clone(),
            database: key.group.to_string(),
            login: settings.login.clone(),
            dialer: Dialer::new(settings.source),
        };
        tracing::info!(event = "upstream_served", group = %key.group, upstream = %key.upstream);
        let upstream = Arc::new(Upstream::new(
            key.clone(),
            target,
            listed.capacity,
            settings.queue,
            self.shared.link.clone(),
        ));
        upstreams.insert(key.clone(), Arc::clone(&upstream));
        Some(upstream)
    }

    /// Returns the last known positions of a group's upstreams.
    pub(crate) fn positions(&self, group: &GroupName) -> Vec<UpstreamPosition> {
        let upstreams = self.upstreams();
        let of_group = upstreams.iter().filter(|u| u.key.group == *group);
        of_group.filter_map(|u| position_of(u)).collect()
    }

    pub(crate) fn upstreams(&self) -> Vec<Arc<Upstream>> {
        self.lock_upstreams().values().cloned().collect()
    }

    fn lock_upstreams(&self) -> std::sync::MutexGuard<'_, Upstreams> {
        let upstreams = self.shared.upstreams.lock();
        upstreams.unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept_entries(pool: Pool, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                continue;
            }
        };
        let link_pool = pool.clone();
        pool.shared.entry_links.spawn(async move {
            if let Err(e) = serve_entry(link_pool, stream).await {
                tracing::info!(event = "entry_link_failed", error = %e);
            }
        });
    }
}

fn position_of(upstream: &Upstream) -> Option<UpstreamPosition> {
    let applied = upstream.replication.applied()?;
    let age = upstream
        .replication
        .age()
        .map_or(u128::MAX, |age| age.as_millis());
    Some(UpstreamPosition {
        group: upstream.key.group.to_string(),
        upstream: upstream.key.upstream.to_string(),
        applied: Some(applied.into()),
        age_ms: u64::try_from(age).unwrap_or(u64::MAX),
    })
}

fn dump_upstream(upstream: &Upstream) -> Value {
    let (idle, free) = upstream.connections();
    let (running, waiting) = upstream.slots.load();
    let condition = upstream.condition();
    json!({
        "group": upstream.key.group,
        "upstream": upstream.key.upstream,
        "applied": upstream.replication.applied().map(|p| p.to_string()),
        "running": running,
        "waiting": waiting,
        "service_us": upstream.slots.mean_service().as_micros(),
        "idle_connections": idle,
        "free_leases": free,
        "term": condition.term,
        "waits_for_replica": upstream.confirmations.is_waiting(),
        "leaving": condition.leaving_since.is_some(),
    })
}
