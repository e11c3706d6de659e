//! Client side of the proxy: admits operations and routes them to the pools.

mod admission;
mod listener;
mod primary_positions;
mod router;
mod suspect_domains;
mod token_cache;

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::VmName;
use mustardbay_process::lifecycle::Lifecycle;
use tokio_util::task::TaskTracker;

pub use admission::AdmittedOperation;
pub use admission::Denial;
pub use admission::check_key;
pub use admission::fresh_view;
pub use admission::look_up;
pub use listener::serve;
pub use router::Placement;
pub use router::Router;
pub use suspect_domains::SuspectDomains;
pub use token_cache::TokenCache;

use crate::budget::Budget;
use crate::configuration::Regions;
use crate::latest_view::LatestView;
use crate::vm_metrics::VmMetrics;

/// Time limits that apply to every session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryTiming {
    /// Age of the vm's view of the fleet up to which operations are admitted.
    pub view_ttl: Duration,
    /// Time from the start of draining to the end of the process.
    pub grace: Duration,
}

/// State shared by all sessions of the process.
#[derive(Debug)]
pub struct Entry {
    /// This vm.
    pub vm: VmName,
    /// Newest view of the fleet.
    pub latest_view: Arc<LatestView>,
    /// Router that sends units to the pools.
    pub router: Router,
    /// Rate limiting tokens of the accounts.
    pub tokens: Arc<TokenCache>,
    /// Lifecycle of the process.
    pub lifecycle: Lifecycle,
    /// Metrics of this vm.
    pub vm_metrics: Arc<VmMetrics>,
    /// Time limits of the sessions.
    pub timing: EntryTiming,
    /// Region of each failure domain.
    pub regions: Regions,
    /// Bounds on what the sessions hold.
    pub budget: Arc<Budget>,
    /// Tasks of the open sessions.
    pub sessions: TaskTracker,
}
