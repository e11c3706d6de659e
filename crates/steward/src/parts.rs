//! Actors of a steward and how they are wired.

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

use crate::board::Board;
use crate::bundles;
use crate::bundles::Bundles;
use crate::bundles::BundlesArgs;
use crate::control::Control;
use crate::directory;
use crate::directory::Directory;
use crate::directory::DirectoryArgs;
use crate::groups;
use crate::groups::Effects;
use crate::groups::Groups;
use crate::groups::GroupsArgs;
use crate::outbox::Outbox;
use crate::peers;
use crate::peers::Peers;
use crate::peers::PeersArgs;
use crate::peers::Targets;
use crate::rate_actor;
use crate::rate_actor::RateActor;
use crate::rates::LedgerStore;
use crate::rates::Rates;
use crate::records::Records;
use crate::settings::StewardSettings;
use crate::stats::Stats;

/// Longest time for leaving.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between saying that this steward leaves and its goodbye.
const LEAVE_PAUSE: Duration = Duration::from_millis(300);

/// Actors of a steward.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) board: Arc<Board>,
    pub(crate) groups: ActorRef<Groups>,
    pub(crate) bundles: ActorRef<Bundles>,
    pub(crate) desk: ActorRef<RateActor>,
    pub(crate) peers: ActorRef<Peers>,
    pub(crate) directory: ActorRef<Directory>,
    pub(crate) stats: Arc<Stats>,
}

type DumpFuture = Pin<Box<dyn Future<Output = Value> + Send>>;

impl Parts {
    /// Starts every actor.
    pub(crate) fn spawn(
        settings: &StewardSettings,
        peers: SocketAddr,
        platform: &Arc<dyn Platform>,
    ) -> Self {
        let board = Arc::new(Board::default());
        let records = Arc::new(Records::default());
        let dialer = Dialer::new(settings.source);
        let incarnation = incarnation();
        let (outbox, outgoing) = Outbox::new();
        let stats = Arc::new(Stats::default());

        let control = Control::new(settings.login.clone(), dialer);
        let groups = Groups::spawn(GroupsArgs {
            me: Proposer {
                vm: settings.vm.clone(),
                incarnation,
            },
            board: Arc::clone(&board),
            effects: Arc::new(Effects::new(Arc::clone(platform), control)),
            records: Arc::clone(&records),
            outbox: outbox.clone(),
            stats: Arc::clone(&stats),
        });
        let bundles = Bundles::spawn(BundlesArgs {
            signers: settings.signer_ids(),
            platform: Arc::clone(platform),
            board: Arc::clone(&board),
            outbox: outbox.clone(),
        });
        let rates = Rates::new(
            HolderId::new(settings.vm.clone(), incarnation),
            Instant::now(),
        );
        let store = LedgerStore::new(Arc::clone(platform));
        let desk = RateActor::new(rates, Arc::clone(&board), outbox, store);
        let desk = RateActor::spawn(desk);
        let peers = Peers::spawn(PeersArgs {
            vm: settings.vm.clone(),
            state: own_state(settings, peers, incarnation),
            seeds: settings.seeds.clone(),
            targets: Targets {
                board: Arc::clone(&board),
                records,
                groups: groups.clone(),
                bundles: bundles.clone(),
                desk: desk.clone(),
                dialer,
                stats: Arc::clone(&stats),
            },
            outgoing,
        });
        let directory = Directory::spawn(DirectoryArgs {
            vm: settings.vm.clone(),
            platform: Arc::clone(platform),
            board: Arc::clone(&board),
            bundles: bundles.clone(),
            groups: groups.clone(),
            peers: peers.clone(),
        });
        Self {
            board,
            groups,
            bundles,
            desk,
            peers,
            directory,
            stats,
        }
    }

    /// Says that this steward leaves, hands the rate shares back and says goodbye.
    pub(crate) async fn leave(&self) {
        if tokio::time::timeout(LEAVE_TIMEOUT, self.hand_over())
            .await
            .is_err()
        {
            tracing::warn!(event = "leaving_unheard");
        }
    }

    async fn hand_over(&self) {
        let said = self.peers.ask(peers::Leave { goodbye: false }).await;
        let handed = self.desk.ask(rate_actor::HandBack).await;
        tokio::time::sleep(LEAVE_PAUSE).await;
        let gone = self.peers.ask(peers::Leave { goodbye: true }).await;
        tokio::time::sleep(LEAVE_PAUSE).await;
        if said.is_err() || handed.is_err() || gone.is_err() {
            tracing::warn!(event = "leaving_unheard");
        }
    }

    /// Returns what describes the steward's state on request.
    pub(crate) fn dumper(
        &self,
        settings: &StewardSettings,
        platform: Arc<dyn Platform>,
    ) -> impl Fn() -> DumpFuture + Send + Sync + 'static {
        let (vm, domain) = (settings.vm.clone(), settings.domain.clone());
        let board = Arc::clone(&self.board);
        let (groups, bundles) = (self.groups.clone(), self.bundles.clone());
        let (desk, peers) = (self.desk.clone(), self.peers.clone());
        let directory = self.directory.clone();
        move || {
            let (vm, domain) = (vm.clone(), domain.clone());
            let (groups, bundles) = (groups.clone(), bundles.clone());
            let (desk, peers) = (desk.clone(), peers.clone());
            let directory = directory.clone();
            let (view, calls) = (board.view(), platform.calls().by_name());
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
                    "rates": desk.ask(rate_actor::Dump).await.unwrap_or_default().0,
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
