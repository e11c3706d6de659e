//! State that all sessions of the process share.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use mustardbay_link::StewardLink;
use mustardbay_policy::bundle::Upstream;
use mustardbay_policy::connections::ConnectionLimits;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::route::home;
use mustardbay_policy::session::RetryBudget;
use mustardbay_policy::view::FleetView;
use mustardbay_process::byte_budget::ByteBudget;
use mustardbay_process::dialer::Dialer;
use mustardbay_process::lifecycle::Lifecycle;
use opentelemetry::metrics::Meter;
use tokio_rustls::TlsAcceptor;

use crate::class_cache::ClassCache;
use crate::entry_metrics::EntryMetrics;
use crate::gate::Gate;
use crate::observed_groups::ObservedGroups;
use crate::pools::PoolLink;
use crate::pools::Pools;
use crate::rates::Rates;
use crate::sessions::Sessions;
use crate::settings::EntrySettings;

/// Percentage of the drain after which statements that still run are answered without their result.
const LAST_ANSWER_PERCENT: u32 = 92;

/// Shared state of one entry.
pub(crate) struct Context {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Link to the steward of this vm.
    pub steward: StewardLink,
    /// Lifecycle of the process.
    pub lifecycle: Lifecycle,
    /// Links to pools.
    pub pools: Pools,
    /// Observed positions and load of each group.
    pub groups: ObservedGroups,
    /// Rate tokens of accounts.
    pub rates: Rates,
    /// Open sessions.
    pub sessions: Arc<Sessions>,
    /// Budget of what the process keeps for clients.
    pub budget: ByteBudget,
    /// Gate for client connections.
    pub gate: Arc<Gate>,
    /// Cache of statement classes.
    pub class_cache: ClassCache,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// TLS for client connections, if a certificate is configured.
    pub tls: Option<TlsAcceptor>,
    /// Random secret of the process; derives the SCRAM salts of unknown accounts.
    pub secret: [u8; 32],
    homes: Mutex<Homes>,
    retry_budgets: Mutex<HashMap<AccountName, SharedRetryBudget>>,
}

/// Retry budget of one account, shared by its sessions.
pub(crate) type SharedRetryBudget = Arc<Mutex<RetryBudget>>;

/// Cached links to the home pools of upstreams, valid for one view.
#[derive(Debug, Default)]
struct Homes {
    view: Weak<FleetView>,
    links: HashMap<(GroupName, UpstreamName), Arc<PoolLink>>,
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("vm", &self.settings.vm)
            .finish_non_exhaustive()
    }
}

impl Context {
    /// Waits until statements that still run are answered, because the process is about to end.
    pub async fn until_last_answer(&self) {
        let began = self.lifecycle.drain_started().await;
        tokio::time::sleep_until(began + self.last_answer()).await;
    }

    /// Tells whether the time for answers is over, so that nothing is tried again.
    pub fn is_ending(&self) -> bool {
        let began = self.lifecycle.drain_began();
        began.is_some_and(|began| began.elapsed() >= self.last_answer())
    }

    /// Returns the time from the start of the drain to the last answers.
    fn last_answer(&self) -> Duration {
        self.settings.limits.drain_ms.get() * LAST_ANSWER_PERCENT / 100
    }

    /// Creates the shared state.
    pub fn new(
        settings: EntrySettings,
        tls: Option<TlsAcceptor>,
        steward: StewardLink,
        lifecycle: Lifecycle,
        meter: &Meter,
    ) -> Self {
        let sessions = Arc::<Sessions>::default();
        let budget = ByteBudget::new(settings.limits.kept_bytes());
        let limits = &settings.limits;
        let fit = ConnectionLimits::new(limits.connections, limits.descriptors());
        let gate = Gate::new(fit);
        let pools = Pools::new(Dialer::new(settings.source));
        Self {
            rates: Rates::new(steward.clone()),
            settings,
            steward,
            lifecycle,
            pools,
            groups: ObservedGroups::default(),
            class_cache: ClassCache::default(),
            metrics: EntryMetrics::new(meter, &sessions, &budget),
            budget,
            gate,
            sessions,
            tls,
            secret: rand::random(),
            homes: Mutex::default(),
            retry_budgets: Mutex::default(),
        }
    }

    /// Returns the retry budget of an account.
    ///
    /// Sessions of open routes share the budget of the empty account name.
    pub fn retry_budget(&self, account: &AccountName) -> SharedRetryBudget {
        let mut retry_budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(retry_budgets.entry(account.clone()).or_default())
    }

    /// Returns the link to the pool of the home vm of `upstream`.
    ///
    /// `None` if no vm is live.
    pub fn home(
        &self,
        view: &Arc<FleetView>,
        group: &GroupName,
        upstream: &Upstream,
    ) -> Option<Arc<PoolLink>> {
        let mut homes = self.homes.lock().unwrap_or_else(PoisonError::into_inner);
        if !std::ptr::eq(homes.view.as_ptr(), Arc::as_ptr(view)) {
            homes.view = Arc::downgrade(view);
            homes.links.clear();
        }
        let key = (group.clone(), upstream.name.clone());
        if let Some(link) = homes.links.get(&key) {
            return Some(Arc::clone(link));
        }
        let vm = home(view, group, upstream)?;
        let link = self.pools.link(&view.vms.get(vm)?.pool);
        homes.links.insert(key, Arc::clone(&link));
        Some(link)
    }
}
