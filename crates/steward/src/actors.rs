//! Construction of the steward's actors and their connections.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use mustardbay_platform::Platform;
use mustardbay_policy::escrow::HolderId;
use mustardbay_policy::group::Proposer;
use mustardbay_policy::view::VmState;
use mustardbay_process::dialer::Dialer;
use mustardbay_process::incarnation::incarnation;
use serde_json::Value;
use serde_json::json;

use crate::bundles;
use crate::bundles::Bundles;
use crate::bundles::BundlesArgs;
use crate::control::Control;
use crate::directory;
use crate::directory::Directory;
use crate::directory::DirectoryArgs;
use crate::groups;
use crate::groups::CommandExecutor;
use crate::groups::Groups;
use crate::groups::GroupsArgs;
use crate::outbox::Outbox;
use crate::peers;
use crate::peers::Deps;
use crate::peers::Peers;
use crate::peers::PeersArgs;
use crate::rate_actor;
use crate::rate_actor::RateActor;
use crate::rates::LedgerStore;
use crate::rates::Rates;
use crate::records::Records;
use crate::settings::StewardSettings;
use crate::stats::Stats;
use crate::view_publisher::ViewPublisher;

/// Maximum time of announcing the leave, share handover included.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after the announcement of the leave, and again after the goodbye.
const LEAVE_DELAY: Duration = Duration::from_millis(300);

/// Actors of a steward and the state that they share.
#[derive(Debug)]
pub(crate) struct Actors {
    pub(crate) publisher: Arc<ViewPublisher>,
    pub(crate) groups: ActorRef<Groups>,
    pub(crate) bundles: ActorRef<Bundles>,
    pub(crate) rates: ActorRef<RateActor>,
    pub(crate) peers: ActorRef<Peers>,
    pub(crate) directory: ActorRef<Directory>,
    pub(crate) stats: Arc<Stats>,
}

type DumpFuture = Pin<Box<dyn Future<Output = Value> + Send>>;

impl Actors {
    /// Starts every actor.
    pub(crate) fn spawn(
        settings: &StewardSettings,
        peers: SocketAddr,
        platform: &Arc<dyn Platform>,
    ) -> Self {
        let publisher = Arc::new(ViewPublisher::default());
        let records = Arc::new(Records::default());
        let dialer = Dialer::new(settings.source);
        let incarnation = incarnation();
        let (outbox, outgoing) = Outbox::new();
        let stats = Arc::new(Stats::default());

        let control = Control::new(settings.login.clone(), dialer);
        let groups = Groups::spawn(GroupsArgs {
            proposer: Proposer {
                vm: settings.vm.clone(),
                incarnation,
            },
            publisher: Arc::clone(&publisher),
            executor: Arc::new(CommandExecutor::new(Arc::clone(platform), control)),
            records: Arc::clone(&records),
            outbox: outbox.clone(),
            stats: Arc::clone(&stats),
        });
        let bundles = Bundles::spawn(BundlesArgs {
            signers: settings.signer_ids(),
            platform: Arc::clone(platform),
            publisher: Arc::clone(&publisher),
            outbox: outbox.clone(),
        });
        let rates = Rates::new(
            HolderId::new(settings.vm.clone(), incarnation),
            Instant::now(),
        );
        let store = LedgerStore::new(Arc::clone(platform));
        let rates = RateActor::new(rates, Arc::clone(&publisher), outbox, store);
        let rates = RateActor::spawn(rates);
        let peers = Peers::spawn(PeersArgs {
            vm: settings.vm.clone(),
            state: own_state(settings, peers, incarnation),
            seeds: settings.seeds.clone(),
            deps: Deps {
                publisher: Arc::clone(&publisher),
                records,
                groups: groups.clone(),
                bundles: bundles.clone(),
                rates: rates.clone(),
                dialer,
                stats: Arc::clone(&stats),
            },
            outgoing,
        });
        let directory = Directory::spawn(DirectoryArgs {
            vm: settings.vm.clone(),
            platform: Arc::clone(platform),
            publisher: Arc::clone(&publisher),
            bundles: bundles.clone(),
            groups: groups.clone(),
            peers: peers.clone(),
        });
        Self {
            publisher,
            groups,
            bundles,
            rates,
            peers,
            directory,
            stats,
        }
    }

    /// Announces the leave to other stewards, hands over the rate shares and ends the membership.
    pub(crate) async fn leave(&self) {
        if tokio::time::timeout(LEAVE_TIMEOUT, self.announce_leave())
            .await
            .is_err()
        {
            tracing::warn!(event = "leave_not_announced");
        }
    }

    async fn announce_leave(&self) {
        let announced = self.peers.ask(peers::Leave { goodbye: false }).await;
        let handed_over = self.rates.ask(rate_actor::HandOverShares).await;
        tokio::time::sleep(LEAVE_DELAY).await;
        let goodbye = self.peers.ask(peers::Leave { goodbye: true }).await;
        tokio::time::sleep(LEAVE_DELAY).await;
        if announced.is_err() || handed_over.is_err() || goodbye.is_err() {
            tracing::warn!(event = "leave_not_announced");
        }
    }

    /// Returns a closure that dumps the state of all actors as JSON.
    pub(crate) fn dumper(
        &self,
        settings: &StewardSettings,
        platform: Arc<dyn Platform>,
    ) -> impl Fn() -> DumpFuture + Send + Sync + 'static {
        let (vm, domain) = (settings.vm.clone(), settings.domain.clone());
        let publisher = Arc::clone(&self.publisher);
        let (groups, bundles) = (self.groups.clone(), self.bundles.clone());
        let (rates, peers) = (self.rates.clone(), self.peers.clone());
        let directory = self.directory.clone();
        move || {
            let (vm, domain) = (vm.clone(), domain.clone());
            let (groups, bundles) = (groups.clone(), bundles.clone());
            let (rates, peers) = (rates.clone(), peers.clone());
            let directory = directory.clone();
            let (view, calls) = (publisher.view(), platform.calls().by_name());
            Box::pin(async move {
                json!({
                    "program": "steward",
                    "vm": vm,
                    "domain": domain,
                    "bundle_version": view.bundle.version,
                    "bundle": bundles.ask(bundles::Dump).await.unwrap_or_default().0,
                    "vms": view.vms,
                    "groups": view.groups,
                    "promotion": groups.ask(groups::Dump).await.unwrap_or_default().0,
                    "peers": peers.ask(peers::Dump).await.unwrap_or_default().0,
                    "rates": rates.ask(rate_actor::Dump).await.unwrap_or_default().0,
                    "platform": directory.ask(directory::Dump).await.unwrap_or_default().0,
                    "platform_calls": calls,
                })
            })
        }
    }
}

fn own_state(settings: &StewardSettings, peers: SocketAddr, incarnation: u64) -> VmState {
    let advertised = settings.advertise.clone();
    VmState {
        domain: settings.domain.clone(),
        incarnation,
        pool: settings.pool.clone(),
        peer: advertised.unwrap_or_else(|| peers.to_string()),
        leaving: false,
    }
}
