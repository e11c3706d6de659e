//! Start of the steward's parts, and their end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::message::Message;
use mustardbay_platform::Gateway;
use mustardbay_platform::Platform;
use mustardbay_platform::PlatformError;
use mustardbay_policy::group::Proposer;
use mustardbay_policy::view::VmState;
use mustardbay_process::admin::Admin;
use mustardbay_process::dialer::Dialer;
use mustardbay_process::incarnation::incarnation;
use mustardbay_process::lifecycle::Lifecycle;
use mustardbay_process::metrics::Metrics;
use mustardbay_process::metrics::MetricsError;
use mustardbay_process::timer::Timer;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;

use crate::board::Board;
use crate::control::Control;
use crate::directory::Directory;
use crate::directory::Refresh;
use crate::groups;
use crate::groups::Effects;
use crate::groups::Groups;
use crate::groups::GroupsArgs;
use crate::local::Local;
use crate::rate_desk;
use crate::rate_desk::RateDesk;
use crate::rates::Rates;
use crate::settings::StewardSettings;

/// Time between two ticks of the group monitors.
const GROUP_TICK: Duration = Duration::from_millis(50);
/// Time between two ticks of the rate shares.
const RATE_TICK: Duration = Duration::from_millis(100);
/// Time between two reads of the platform.
const REFRESH_PERIOD: Duration = Duration::from_millis(500);

/// Failure to start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("{key} address {address} cannot be bound: {source}")]
    Bind {
        /// Settings key of the address.
        key: &'static str,
        /// Address as set.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The platform's client cannot be set up.
    #[error("platform client does not start: {0}")]
    Platform(#[from] PlatformError),
    /// Metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Steward that runs.
#[derive(Debug)]
pub struct Running {
    life: Lifecycle,
    timer: Timer,
    board: Arc<Board>,
    local: SocketAddr,
    admin: SocketAddr,
    desk: ActorRef<RateDesk>,
}

impl Running {
    /// Returns the life of the process.
    #[must_use]
    pub fn life(&self) -> &Lifecycle {
        &self.life
    }

    /// Returns the view that is posted.
    #[must_use]
    pub fn board(&self) -> &Arc<Board> {
        &self.board
    }

    /// Returns the address where local programs connect.
    #[must_use]
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Returns the address of the admin endpoint.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Waits for the drain, hands everything over and stops.
    pub async fn until_drained(self) {
        self.life.drained_from_now().await;
        if self.desk.ask(rate_desk::HandBack).await.is_err() {
            tracing::debug!(event = "rate_desk_gone");
        }
        self.timer.stop();
        self.life.stop();
        tracing::info!(event = "drained");
    }
}

/// Starts a steward against the platform of its settings.
///
/// # Errors
///
/// Fails if an address cannot be bound or a client cannot be set up.
pub async fn start(settings: StewardSettings) -> Result<Running, StartError> {
    let gateway = Gateway::new(settings.platform.clone(), settings.source)?;
    start_with(settings, Arc::new(gateway)).await
}

async fn start_with(
    settings: StewardSettings,
    platform: Arc<dyn Platform>,
) -> Result<Running, StartError> {
    let life = Lifecycle::new();
    let timer = Timer::new();
    let metrics = Metrics::new()?;
    let board = Arc::new(Board::default());
    let dialer = Dialer::new(settings.source);
    let incarnation = incarnation();

    let control = Control::new(settings.login.clone(), dialer);
    let groups = Groups::spawn(GroupsArgs {
        me: Proposer {
            vm: settings.vm.clone(),
            incarnation,
        },
        board: Arc::clone(&board),
        effects: Arc::new(Effects::new(Arc::clone(&platform), control)),
    });
    let itself = VmState {
        domain: settings.domain.clone(),
        incarnation,
        pool: settings.pool.clone(),
        peer: settings
            .advertise
            .clone()
            .unwrap_or_else(|| settings.peers.clone()),
        leaving: false,
    };
    let directory = Directory::spawn(Directory::new(
        Arc::clone(&platform),
        Arc::clone(&board),
        groups.clone(),
        (settings.vm.clone(), itself),
    ));
    let desk = RateDesk::spawn(RateDesk::new(Rates::default(), Arc::clone(&board)));

    let endpoint = Local::new(Arc::clone(&board), desk.clone());
    let local = bound(
        "local",
        &settings.local,
        endpoint.serve(&settings.local).await,
    )?;
    let dump = dumper(&settings, Arc::clone(&board), platform, &groups, &desk);
    let admin = Admin::new(life.clone(), metrics, dump);
    let admin = bound("admin", &settings.admin, admin.serve(&settings.admin).await)?;

    drive(&timer, GROUP_TICK, groups, || groups::Tick);
    drive(&timer, RATE_TICK, desk.clone(), || rate_desk::Tick);
    drive(&timer, REFRESH_PERIOD, directory, || Refresh);
    life.mark_ready();
    tracing::info!(event = "started", vm = %settings.vm, local = %local, admin = %admin);
    Ok(Running {
        life,
        timer,
        board,
        local,
        admin,
        desk,
    })
}

fn bound(
    key: &'static str,
    address: &str,
    result: std::io::Result<SocketAddr>,
) -> Result<SocketAddr, StartError> {
    result.map_err(|source| StartError::Bind {
        key,
        address: address.to_owned(),
        source,
    })
}

/// Sends a message to an actor at every tick of a subscription.
fn drive<A, M>(
    timer: &Timer,
    period: Duration,
    actor: ActorRef<A>,
    message: impl Fn() -> M + Send + 'static,
) where
    A: Actor + Message<M>,
    M: Send + 'static,
{
    let mut ticks = timer.every(period);
    tokio::spawn(async move {
        while ticks.recv().await.is_some() {
            if actor.tell(message()).await.is_err() {
                return;
            }
        }
    });
}

type DumpFuture = std::pin::Pin<Box<dyn Future<Output = Value> + Send>>;

fn dumper(
    settings: &StewardSettings,
    board: Arc<Board>,
    platform: Arc<dyn Platform>,
    groups: &ActorRef<Groups>,
    desk: &ActorRef<RateDesk>,
) -> impl Fn() -> DumpFuture + Send + Sync + 'static {
    let vm = settings.vm.clone();
    let domain = settings.domain.clone();
    let (groups, desk) = (groups.clone(), desk.clone());
    move || {
        let (vm, domain) = (vm.clone(), domain.clone());
        let (groups, desk) = (groups.clone(), desk.clone());
        let (view, calls) = (board.view(), platform.calls().by_name());
        Box::pin(async move {
            json!({
                "program": "steward",
                "vm": vm,
                "domain": domain,
                "bundle_version": view.bundle.version,
                "vms": view.vms,
                "groups": view.groups,
                "monitors": groups.ask(groups::Dump).await.unwrap_or_default().0,
                "rates": desk.ask(rate_desk::Dump).await.unwrap_or_default().0,
                "platform_calls": calls,
            })
        })
    }
}
