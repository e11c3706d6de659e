//! Start and shutdown of a vm.

mod membership;
mod readiness;
mod refresher;
mod steward;

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use mustardbay_process::admin::Admin;
use mustardbay_process::incarnation::incarnation;
use mustardbay_process::lifecycle::Lifecycle;
use mustardbay_process::metrics::Metrics;
use mustardbay_process::timer::Timer;
use thiserror::Error;
use tokio_util::task::TaskTracker;

use crate::budget::Budget;
use crate::budget::Sizes;
use crate::clock::BootInstant;
use crate::entry;
use crate::entry::Entry;
use crate::entry::EntryTiming;
use crate::entry::Router;
use crate::entry::TokenCache;
use crate::fleet::Incarnation;
use crate::fleet::Member;
use crate::latest_view::LatestView;
use crate::link;
use crate::link::Link;
use crate::link::Links;
use crate::link::OutgoingReply;
use crate::link::RoundTrips;
use crate::link_handler::LinkHandler;
use crate::platform::Platform;
use crate::pool::Input;
use crate::reload::FileState;
use crate::session;
use crate::settings::VmSettings;
use crate::socket;
use crate::vm::steward::Steward;
use crate::vm_lease::VmLease;
use crate::vm_metrics::VmMetrics;
use crate::wire::Wire;

/// Part of the grace period after which the process ends even if sessions remain, in percent.
const EXIT_PERCENT: u32 = 97;

/// Time between two looks at the units that still run in this vm's pools.
const UNITS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a vm could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("address cannot be used: {0}")]
    Listen(#[from] std::io::Error),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] mustardbay_process::metrics::MetricsError),
}

/// Runs a vm until it has been asked to stop and its shutdown has finished.
///
/// `file_state` is that of the file from which the settings were read, for the metrics.
///
/// # Errors
///
/// Fails if an address cannot be listened on or the metrics cannot be set up.
pub async fn run<W: Wire>(
    settings: VmSettings,
    platform: Arc<dyn Platform>,
    file_state: FileState,
) -> Result<(), StartError> {
    let started = BootInstant::now();
    let lifecycle = Lifecycle::new();
    lifecycle.drain_on_signal()?;
    let metrics = Metrics::new()?;
    let vm_metrics = Arc::new(VmMetrics::new(&metrics.meter()));
    VmMetrics::watch_settings(&metrics.meter(), file_state);
    let timer = Timer::new();
    let latest_view = Arc::new(LatestView::new(settings.regions.clone()));
    let vm_lease = Arc::new(VmLease::default());
    VmMetrics::watch_view_age(
        &metrics.meter(),
        Arc::clone(&latest_view),
        Arc::clone(&vm_lease),
    );
    let budget = start_budget(&settings, &metrics, &vm_metrics, &timer);
    let handler = Arc::new(LinkHandler::new(
        Arc::clone(&latest_view),
        settings.rate_window(),
    ));
    let links = Arc::new(links(&settings, &latest_view, &handler));
    VmMetrics::watch_round_trips(&metrics.meter(), Arc::clone(&links));
    let me = member(&settings);
    log_start(&settings, &me);

    let link_listener = socket::listen(settings.listen.link)?;
    tokio::spawn(link::serve(
        link_listener,
        Arc::clone(&handler),
        Arc::clone(&budget),
    ));
    let entry = Arc::new(Entry {
        vm: settings.vm.clone(),
        latest_view: Arc::clone(&latest_view),
        router: Router::new(
            settings.vm.clone(),
            Arc::clone(&latest_view),
            Arc::clone(&links),
        ),
        tokens: Arc::new(TokenCache::new(
            settings.vm.clone(),
            Arc::clone(&latest_view),
            Arc::clone(&links),
        )),
        lifecycle: lifecycle.clone(),
        vm_metrics: Arc::clone(&vm_metrics),
        timing: entry_timing(&settings),
        regions: settings.regions.clone(),
        budget: Arc::clone(&budget),
        sessions: TaskTracker::new(),
    });
    let sessions = entry.sessions.clone();
    let steward = steward::start::<W>(steward::Deps {
        me: settings.vm.clone(),
        domain: settings.domain.clone(),
        latest_view: Arc::clone(&latest_view),
        handler: Arc::clone(&handler),
        links: Arc::clone(&links),
        vm_lease: Arc::clone(&vm_lease),
        platform: Arc::clone(&platform),
        vm_metrics: Arc::clone(&vm_metrics),
        budget,
        timer: timer.clone(),
        evacuation: settings.evacuation(),
    });
    serve_admin(&settings, lifecycle.clone(), metrics, steward.clone()).await?;
    refresher::start(refresher::Deps {
        me: settings.vm.clone(),
        incarnation: me.incarnation,
        started,
        latest_view: Arc::clone(&latest_view),
        links: Arc::clone(&links),
        platform: Arc::clone(&platform),
        vm_lease: Arc::clone(&vm_lease),
        vm_metrics: Arc::clone(&vm_metrics),
        steward,
        view_ttl: settings.view_ttl(),
    });
    membership::start(
        me,
        Arc::clone(&vm_lease),
        Arc::clone(&platform),
        lifecycle.clone(),
        &timer,
    );
    readiness::serve(
        settings.listen.ready,
        Arc::clone(&latest_view),
        lifecycle.clone(),
        settings.view_ttl(),
    )?;
    let entry_listener = socket::listen(settings.listen.entry)?;
    tokio::spawn(entry::serve::<W>(entry_listener, entry));
    lifecycle.mark_ready();

    lifecycle.drain_started().await;
    let leaving_fleet = leave_fleet(&settings, &handler, &vm_lease, platform.as_ref());
    let work_ended = wait_for_work(&settings, &sessions, &vm_metrics);
    tokio::join!(leaving_fleet, work_ended);
    Ok(())
}

/// Logs what the settings mean to this vm.
fn log_start(settings: &VmSettings, me: &Member) {
    let VmSettings { bounds, limits, .. } = settings;
    tracing::info!(event = "vm_started", vm = %settings.vm, domain = %settings.domain,
        incarnation = me.incarnation.0, weight = me.weight, withdrawal = %bounds.withdrawal,
        grace = %bounds.grace, rate_window = %bounds.rate_window, evacuation = %bounds.evacuation,
        memory_bytes = limits.memory_mb.bytes(), sockets = limits.descriptors.sockets());
}

/// Serves metrics, drain and the dump of this vm's state, if the settings name an address for them.
async fn serve_admin(
    settings: &VmSettings,
    lifecycle: Lifecycle,
    metrics: Metrics,
    steward: ActorRef<Steward>,
) -> Result<(), StartError> {
    let Some(address) = settings.listen.own_admin() else {
        tracing::warn!(event = "admin_not_served", vm = %settings.vm);
        return Ok(());
    };
    let dump = move || {
        let steward = steward.clone();
        async move { steward::dump(&steward).await }
    };
    let admin = Admin::new(lifecycle, metrics, dump);
    admin.serve(&address.to_string()).await?;
    Ok(())
}

/// Creates the budget of what clients can make the process hold, and starts its clock.
fn start_budget(
    settings: &VmSettings,
    metrics: &Metrics,
    vm_metrics: &Arc<VmMetrics>,
    timer: &Timer,
) -> Arc<Budget> {
    let sizes = Sizes::of(settings.limits);
    let budget = Arc::new(Budget::new(sizes, Arc::clone(vm_metrics)));
    budget.watch(timer);
    VmMetrics::watch_budget(&metrics.meter(), Arc::clone(&budget));
    budget
}

/// Returns the time limits of this vm's sessions.
fn entry_timing(settings: &VmSettings) -> EntryTiming {
    EntryTiming {
        view_ttl: settings.view_ttl(),
        grace: settings.grace(),
    }
}

/// Retires the pools and ends the lease, so that other vms take over the groups and accounts.
async fn leave_fleet(
    settings: &VmSettings,
    handler: &LinkHandler,
    vm_lease: &VmLease,
    platform: &dyn Platform,
) {
    tracing::info!(event = "vm_stopping", vm = %settings.vm);
    // What is sent to an upstream later might be cut by the end of the process.
    let transaction_end = settings.grace() * session::LAST_START_PERCENT / 100;
    handler.tell_pools(&Input::Retire(BootInstant::now().after(transaction_end)));
    if let Some(lease) = vm_lease.lease() {
        vm_lease.end();
        if let Err(e) = platform.end(lease).await {
            tracing::warn!(event = "lease_not_ended", error = %e);
        }
    }
}

/// Waits until the sessions and the units of other vms have ended, at most until [`EXIT_PERCENT`] of the grace.
///
/// The listener still spawns sessions until late in the grace period, so the tracker is closed only then.
async fn wait_for_work(settings: &VmSettings, sessions: &TaskTracker, vm_metrics: &VmMetrics) {
    let end = tokio::time::Instant::now() + settings.grace() * EXIT_PERCENT / 100;
    tokio::time::sleep(settings.grace() * session::LAST_START_PERCENT / 100).await;
    sessions.close();
    let work_ended = async {
        sessions.wait().await;
        while vm_metrics.units() > 0 {
            tokio::time::sleep(UNITS_CHECK_INTERVAL).await;
        }
        // The last replies are on their way to other vms.
        tokio::time::sleep(UNITS_CHECK_INTERVAL).await;
    };
    let ended = tokio::time::timeout_at(end, work_ended).await.is_ok();
    tracing::info!(event = "vm_stopped", vm = %settings.vm, ended, sessions = sessions.len(),
        units = vm_metrics.units());
}

/// Returns this vm's entry in the member list.
fn member(settings: &VmSettings) -> Member {
    Member {
        vm: settings.vm.clone(),
        address: settings.listen.link,
        domain: settings.domain.clone(),
        incarnation: Incarnation(incarnation()),
        weight: settings.cores.weight(),
    }
}

/// Returns the links of this vm to the others and to its own pools.
fn links(
    settings: &VmSettings,
    latest_view: &Arc<LatestView>,
    handler: &Arc<LinkHandler>,
) -> Links {
    let regions = settings.regions.clone();
    let round_trips = RoundTrips::new(regions, &settings.domain, Arc::clone(latest_view));
    let own = open_own_link(handler);
    Links::new(settings.vm.clone(), own).with_round_trips(round_trips)
}

/// Opens an in-process link from this vm's sessions to its own pools.
fn open_own_link(handler: &Arc<LinkHandler>) -> Arc<Link> {
    let (link, mut requests) = Link::new();
    let link = Arc::new(link);
    let (replies, mut received) = tokio::sync::mpsc::unbounded_channel::<OutgoingReply>();
    let number = handler.open_link(replies);
    let handling = Arc::clone(handler);
    tokio::spawn(async move {
        while let Some(request) = requests.recv().await {
            handling.handle(number, request);
        }
    });
    let resolving = Arc::clone(&link);
    tokio::spawn(async move {
        while let Some(outgoing) = received.recv().await {
            resolving.resolve(outgoing.reply);
        }
    });
    link
}
