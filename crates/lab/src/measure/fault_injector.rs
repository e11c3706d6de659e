//! Injects the faults of a schedule into a running fleet.

use std::net::SocketAddr;
use std::time::Duration;

use mustardbay_policy::bundle::Group;
use mustardbay_policy::bundle::Upstream;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::RouteName;
use tokio::time::Instant;

use super::MeasureError;
use super::read_counts::ReadCounts;
use super::schedule::LONG_LAG;
use super::schedule::Step;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::history::Action;
use crate::history::Ending;
use crate::history::Request;

/// Request id of the write in the transaction that is open when a proxy is killed.
///
/// It is above every id of the load.
const ORPHAN_ID: u64 = 1 << 60;

/// Session number of the transaction that is open when a proxy is killed.
const ORPHAN_SESSION: u64 = 1 << 60;

/// Fault that was injected, or ended.
#[derive(Debug, Clone)]
pub struct InjectedFault {
    /// Time after the start of the load.
    pub at: Duration,
    /// Step of the schedule.
    pub step: Step,
    /// Route whose writes it interrupts, if any.
    pub route: Option<RouteName>,
}

/// Injects faults, and keeps what is needed to end them.
#[derive(Debug)]
pub struct FaultInjector {
    layout: Layout,
    isolated: Option<DomainName>,
    lagging: Option<String>,
    /// Faults in the order in which they were injected.
    pub injected: Vec<InjectedFault>,
    /// Requests that the injector itself sent.
    pub requests: Vec<Request>,
}

impl FaultInjector {
    /// Creates an injector for a fleet with this layout.
    #[must_use]
    pub fn new(layout: Layout) -> Self {
        Self {
            layout,
            isolated: None,
            lagging: None,
            injected: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Carries out one step of the schedule.
    ///
    /// Read counts are sampled first, since the step may kill an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the fleet cannot be controlled.
    pub async fn inject(
        &mut self,
        fleet: &mut Fleet,
        counts: &mut ReadCounts,
        step: Step,
        start: Instant,
    ) -> Result<(), MeasureError> {
        tracing::info!(event = "fault", name = step.name());
        counts.sample(fleet).await;
        let at = start.elapsed();
        let route = match step {
            Step::LagReplica => self.lag(fleet).await?,
            Step::CatchUp => self.catch_up(fleet).await?,
            Step::KillPrimary => self.kill_primary(fleet).await?,
            Step::CutPrimary => self.cut_primary(fleet).await?,
            Step::Heal => self.heal(fleet).await?,
            Step::KillProxy => self.kill_proxy(fleet, start).await?,
            Step::PlatformDown => switch_platform(fleet, "down").await?,
            Step::PlatformUp => switch_platform(fleet, "up").await?,
        };
        self.injected.push(InjectedFault { at, step, route });
        Ok(())
    }

    /// Makes a replica of the first group lag.
    async fn lag(&mut self, fleet: &Fleet) -> Result<Option<RouteName>, MeasureError> {
        let group = group(fleet, 0)?.clone();
        let primary = fleet.primary(group.name.as_str()).await?;
        let replica = group.upstreams.iter().find(|up| up.name != primary);
        if let Some(replica) = replica {
            fleet.set_lag(replica.name.as_str(), LONG_LAG).await?;
            self.lagging = Some(replica.name.to_string());
        }
        Ok(None)
    }

    /// Sets the lagging replica back to the layout's lag.
    async fn catch_up(&mut self, fleet: &Fleet) -> Result<Option<RouteName>, MeasureError> {
        if let Some(replica) = self.lagging.take() {
            fleet.set_lag(&replica, self.layout.upstreams.lag).await?;
        }
        Ok(None)
    }

    /// Kills the primary of the second group.
    async fn kill_primary(&mut self, fleet: &mut Fleet) -> Result<Option<RouteName>, MeasureError> {
        let group = group(fleet, 1)?.clone();
        let primary = fleet.primary(group.name.as_str()).await?;
        self.isolated = domain_of(&group, primary.as_str());
        fleet.kill(&format!("upstream-{primary}")).await?;
        Ok(Some(RouteName::from(group.name.as_str())))
    }

    /// Isolates the domain of the killed primary, so that its group loses no second upstream.
    async fn cut_primary(&mut self, fleet: &Fleet) -> Result<Option<RouteName>, MeasureError> {
        let Some(domain) = self.isolated.clone() else {
            return Ok(None);
        };
        let mut route = None;
        for group in &fleet.bundle().groups {
            let Ok(primary) = fleet.primary(group.name.as_str()).await else {
                continue;
            };
            if domain_of(group, primary.as_str()).as_ref() == Some(&domain) {
                route = Some(RouteName::from(group.name.as_str()));
            }
        }
        fleet.isolate(&domain).await?;
        Ok(route)
    }

    /// Reconnects the isolated domain and restores the delays of its links.
    async fn heal(&mut self, fleet: &Fleet) -> Result<Option<RouteName>, MeasureError> {
        let Some(domain) = self.isolated.take() else {
            return Ok(None);
        };
        fleet.heal(&domain).await?;
        let mode = format!("delay&us={}", self.layout.delay.as_micros());
        let mut others: Vec<_> = self.layout.vms.iter().map(|vm| vm.domain.clone()).collect();
        others.sort();
        others.dedup();
        for other in others.iter().filter(|other| **other != domain) {
            fleet.set_link_modes(&domain, other, &mode).await?;
            fleet.set_link_modes(other, &domain, &mode).await?;
        }
        Ok(None)
    }

    /// Kills and restarts the programs of the last vm while a transaction is open on its entry.
    async fn kill_proxy(
        &mut self,
        fleet: &mut Fleet,
        start: Instant,
    ) -> Result<Option<RouteName>, MeasureError> {
        let vms = fleet.vms();
        let Some(vm) = vms.last() else {
            return Ok(None);
        };
        let route = group(fleet, 2)?.name.to_string();
        let account = fleet.bundle().accounts[0].name.to_string();
        let sent = start.elapsed();
        let client = fleet.caller(vm.as_str(), &account, &route).await;
        if let Ok(client) = &client {
            let open = format!(
                "BEGIN; INSERT INTO ledger (request, session, seq) \
                 VALUES ({ORPHAN_ID}, {ORPHAN_SESSION}, 1)"
            );
            if let Err(e) = client.batch_execute(&open).await {
                tracing::warn!(event = "transaction_not_opened", error = %e);
            }
        }
        fleet.restart_vm(vm.as_str()).await?;
        drop(client);
        self.requests.push(Request {
            id: ORPHAN_ID,
            session: ORPHAN_SESSION,
            account: AccountName::from(account),
            route: RouteName::from(route),
            action: Action::Write,
            seq: 1,
            due_us: micros(sent),
            start_us: micros(sent),
            end_us: micros(start.elapsed()),
            // The transaction never commits, so the ledger must not contain its row.
            ending: Ending::Unsent,
        });
        Ok(None)
    }
}

/// Returns the `n`th group of the fleet.
fn group(fleet: &Fleet, n: usize) -> Result<&Group, MeasureError> {
    let group = fleet.bundle().groups.get(n);
    group.ok_or(MeasureError::IncompleteLayout)
}

/// Returns the domain of an upstream of a group.
fn domain_of(group: &Group, upstream: &str) -> Option<DomainName> {
    let mut upstreams = group.upstreams.iter();
    let found = upstreams.find(|up: &&Upstream| up.name.as_str() == upstream);
    found.map(|up| up.domain.clone())
}

/// Sets the mode of the platform, which interrupts no route.
async fn switch_platform(fleet: &Fleet, mode: &str) -> Result<Option<RouteName>, MeasureError> {
    fleet.switch_platform(mode).await?;
    Ok(None)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the address of an upstream; `None` if the bundle has no valid one.
pub fn address(upstream: &Upstream) -> Option<SocketAddr> {
    upstream.address.parse().ok()
}
