//! Start and shutdown of the steward.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use mustardbay_platform::Gateway;
use mustardbay_platform::Platform;
use mustardbay_platform::PlatformError;
use mustardbay_process::admin::Admin;
use mustardbay_process::lifecycle::Lifecycle;
use mustardbay_process::metrics::Metrics;
use mustardbay_process::metrics::MetricsError;
use mustardbay_process::timer::Timer;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::actors::Actors;
use crate::bundles;
use crate::directory;
use crate::groups;
use crate::local_endpoint::LocalEndpoint;
use crate::peers;
use crate::peers::accept;
use crate::rate_actor;
use crate::settings::StewardSettings;
use crate::view_publisher::ViewPublisher;

/// Tick period of the group monitors.
const GROUP_TICK: Duration = Duration::from_millis(50);
/// Tick period of the rate shares.
const RATE_TICK: Duration = Duration::from_millis(100);
/// Tick period of the peers actor.
const PEER_TICK: Duration = Duration::from_millis(100);
/// Tick period of the bundles actor.
const BUNDLE_TICK: Duration = Duration::from_millis(250);
/// Tick period of the directory actor.
const DIRECTORY_TICK: Duration = Duration::from_millis(100);

/// Error that prevents the steward from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("{key} address {address} cannot be bound: {source}")]
    Bind {
        /// Settings key of the address.
        key: &'static str,
        /// Configured address.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The platform client cannot be created.
    #[error("platform client does not start: {0}")]
    Platform(#[from] PlatformError),
    /// The metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Running steward with its bound addresses.
#[derive(Debug)]
pub struct Running {
    lifecycle: Lifecycle,
    timer: Timer,
    local: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
    actors: Actors,
}

impl Running {
    /// Returns the lifecycle of the process.
    #[must_use]
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Returns the publisher of the view of the fleet.
    #[must_use]
    pub fn publisher(&self) -> &Arc<ViewPublisher> {
        &self.actors.publisher
    }

    /// Returns the address where local programs connect.
    #[must_use]
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Returns the address where other stewards connect.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the address of the admin endpoint.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Waits for a drain, leaves the fleet with a handover of rate shares, and stops.
    pub async fn until_drained(self) {
        self.lifecycle.drain_started().await;
        self.actors.leave().await;
        self.timer.stop();
        self.lifecycle.stop();
        tracing::info!(event = "drained");
    }
}

/// Starts a steward that uses the platform gateways of its settings.
///
/// # Errors
///
/// Fails if an address cannot be bound or a client cannot be set up.
pub async fn start(settings: StewardSettings) -> Result<Running, StartError> {
    let gateway = Gateway::with_source(settings.platform.clone(), settings.source)?;
    start_with(settings, Arc::new(gateway)).await
}

/// Starts a steward that uses the given platform client.
///
/// # Errors
///
/// Fails if an address cannot be bound or a client cannot be set up.
pub async fn start_with(
    settings: StewardSettings,
    platform: Arc<dyn Platform>,
) -> Result<Running, StartError> {
    let lifecycle = Lifecycle::new();
    let timer = Timer::new();
    let metrics = Metrics::new()?;
    let listener = TcpListener::bind(&settings.peers).await;
    let listener = bound("peers", &settings.peers, listener)?;
    let peer_address = bound("peers", &settings.peers, listener.local_addr())?;
    let actors = Actors::spawn(&settings, peer_address, &platform);
    let peers = &actors.peers;
    tokio::spawn(accept(listener, peers.clone()));
    let endpoint = LocalEndpoint::new(Arc::clone(&actors.publisher), actors.rates.clone());
    let local = endpoint.serve(&settings.local).await;
    let local = bound("local", &settings.local, local)?;
    actors
        .stats
        .export(&metrics.meter(), &actors.publisher, &platform);
    let admin = Admin::new(
        lifecycle.clone(),
        metrics,
        actors.dumper(&settings, platform),
    );
    let admin = bound("admin", &settings.admin, admin.serve(&settings.admin).await)?;

    send_ticks(&timer, GROUP_TICK, actors.groups.clone(), || groups::Tick);
    send_ticks(&timer, RATE_TICK, actors.rates.clone(), || rate_actor::Tick);
    send_ticks(&timer, PEER_TICK, peers.clone(), || peers::Tick);
    send_ticks(&timer, BUNDLE_TICK, actors.bundles.clone(), || {
        bundles::Tick
    });
    send_ticks(&timer, DIRECTORY_TICK, actors.directory.clone(), || {
        directory::Tick
    });
    tokio::spawn(mark_ready(lifecycle.clone(), Arc::clone(&actors.publisher)));
    let vm = &settings.vm;
    tracing::info!(event = "started", %vm, %local, peers = %peer_address, %admin);
    Ok(Running {
        lifecycle,
        timer,
        local,
        peers: peer_address,
        admin,
        actors,
    })
}

/// Marks the process ready once the first bundle is published.
async fn mark_ready(lifecycle: Lifecycle, publisher: Arc<ViewPublisher>) {
    let mut views = publisher.subscribe();
    let first = views
        .wait_for(|published| published.view.bundle.version.0 > 0)
        .await;
    if first.is_ok() {
        lifecycle.mark_ready();
    }
}

fn bound<T>(key: &'static str, address: &str, result: std::io::Result<T>) -> Result<T, StartError> {
    result.map_err(|source| StartError::Bind {
        key,
        address: address.to_owned(),
        source,
    })
}

/// Sends a message to an actor once per period until the timer or the actor stops.
fn send_ticks<A, M>(
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
