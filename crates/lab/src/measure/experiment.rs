//! Experiment on one deployment: load, injected faults and checks of the history.

use std::net::SocketAddr;
use std::time::Duration;

use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use tokio::time::Instant;

use super::MeasureError;
use super::deployment::Deployment;
use super::fault_injector::FaultInjector;
use super::fault_injector::InjectedFault;
use super::ledger;
use super::outcome::FaultMark;
use super::outcome::Gap;
use super::outcome::Outcome;
use super::read_counts::ReadCounts;
use super::schedule;
use super::slices;
use crate::check;
use crate::check::Verdict;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::history::AccountLimit;
use crate::history::History;
use crate::history::Request;
use crate::load::AccountLoad;
use crate::load::Generator;
use crate::load::SCHEMA;
use crate::load::Summary;
use crate::load::Workload;
use crate::relay;
use crate::relay::LinkConfig;
use crate::relay::Mode;
use crate::relay::Relay;

/// Index of the account that sends several times its rate.
const OVERLOADED_ACCOUNT: usize = 3;

/// Load of the overloaded account, as a multiple of its rate.
const OVERLOAD_FACTOR: f64 = 10.0;

/// Load of every other account, as a share of its rate.
const NORMAL_LOAD: f64 = 0.7;

/// Share of reads among the requests.
const READ_SHARE: f64 = 0.8;

/// Requests after which a session switches to another entry.
const MOVES_AFTER: u64 = 10;

/// Indices of entries that are listed again, to simulate a load balancer that spreads unevenly.
const EXTRA_ENTRIES: [usize; 3] = [0, 0, 1];

/// Time after a fault within which the write gap is searched.
const GAP_WINDOW: Duration = Duration::from_secs(20);

/// Wait for the last answers and promotions before the ledgers are read.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Longest wait for a group to accept writes.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Experiment on one deployment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Deployment.
    pub deployment: Deployment,
    /// Layout of its fleet.
    pub layout: Layout,
    /// Length of the load.
    pub length: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

impl Experiment {
    /// Starts the fleet, runs the load while faults are injected, and checks the history.
    ///
    /// # Errors
    ///
    /// Fails if the fleet does not start, cannot be controlled, or its ledgers cannot be read.
    pub async fn run(self) -> Result<(Outcome, History), MeasureError> {
        let mut fleet = Fleet::start(self.layout.clone()).await?;
        create_schema(&fleet).await?;
        let relay = self.client_relay(&fleet).await?;
        let entries = entry_addresses(&fleet, &relay);
        let workload = self.workload(&fleet, entries);
        let mut generator = Generator::connect(workload, Instant::now()).await;
        let start = Instant::now();
        generator.set_start(start);
        let mut counts = ReadCounts::default();
        let load = tokio::spawn(generator.run());
        let injector = self.inject_faults(&mut fleet, &mut counts, start).await?;
        let mut requests = load.await?;
        tokio::time::sleep(SETTLE_TIME).await;
        counts.sample(&fleet).await;
        requests.extend(injector.requests);
        let history = history(&fleet, requests, &injector.injected).await?;
        let calls = platform_calls(&fleet).await;
        let outcome = self.outcome(&history, &injector.injected, &counts, calls);
        drop(relay);
        fleet.stop().await;
        Ok((outcome, history))
    }

    /// Starts a relay that delays the connections between clients and entries.
    async fn client_relay(&self, fleet: &Fleet) -> Result<Relay, MeasureError> {
        let vms = fleet.vms();
        let links = vms.iter().map(|vm| LinkConfig {
            name: vm.to_string(),
            listen: "127.0.0.1:0".to_owned(),
            target: fleet.entry(vm.as_str()),
        });
        let config = relay::Config {
            admin: None,
            links: links.collect(),
        };
        let relay = Relay::start(config).await?;
        let delay = self.deployment.client_delay();
        for vm in &vms {
            relay.set(vm.as_str(), &[], Mode::Delay(delay));
        }
        Ok(relay)
    }

    /// Returns the load of every account, spread over all routes and entries.
    fn workload(&self, fleet: &Fleet, mut entries: Vec<SocketAddr>) -> Workload {
        let extra = EXTRA_ENTRIES
            .iter()
            .filter_map(|at| entries.get(*at).copied());
        let extra: Vec<SocketAddr> = extra.collect();
        entries.extend(extra);
        let routes = &fleet.bundle().routes;
        let routes: Vec<String> = routes.iter().map(|route| route.name.to_string()).collect();
        let accounts = fleet.bundle().accounts.iter().enumerate();
        let loads = accounts.map(|(at, account)| {
            let factor = if at == OVERLOADED_ACCOUNT {
                OVERLOAD_FACTOR
            } else {
                NORMAL_LOAD
            };
            AccountLoad {
                account: account.name.to_string(),
                key: fleet.key(account.name.as_str()),
                routes: routes.clone(),
                rate: account.rate * factor,
                reads: READ_SHARE,
                sessions: sessions(account.rate),
            }
        });
        Workload {
            entries,
            accounts: loads.collect(),
            length: self.length,
            seed: self.seed,
            first_id: 1,
            moves_after: MOVES_AFTER,
        }
    }

    /// Injects the faults of the schedule while the load runs.
    async fn inject_faults(
        &self,
        fleet: &mut Fleet,
        counts: &mut ReadCounts,
        start: Instant,
    ) -> Result<FaultInjector, MeasureError> {
        let bar = progress(self.deployment.name(), self.length);
        let mut injector = FaultInjector::new(self.layout.clone());
        let mut steps = schedule::steps(self.length).into_iter().peekable();
        let mut ticks = tokio::time::interval(Duration::from_millis(500));
        while start.elapsed() < self.length {
            ticks.tick().await;
            bar.set_position(start.elapsed().as_secs());
            while let Some((_, step)) = steps.next_if(|(at, _)| *at <= start.elapsed()) {
                bar.set_message(step.name());
                injector.inject(fleet, counts, step, start).await?;
            }
        }
        bar.finish_with_message("done");
        Ok(injector)
    }

    /// Runs the checks on the history and collects the figures.
    fn outcome(
        &self,
        history: &History,
        injected: &[InjectedFault],
        counts: &ReadCounts,
        platform_calls: u64,
    ) -> Outcome {
        let length_ms = millis(self.length);
        Outcome {
            deployment: self.deployment.name().to_owned(),
            seconds: self.length.as_secs(),
            replica_share: counts.replica_share(),
            gaps: gaps(&history.requests, injected),
            services: check::service(history),
            refusals: check::wrongful_refusals(history),
            verdict: Verdict::of(history),
            summary: Summary::of(&history.requests),
            platform_calls,
            faults: injected.iter().map(fault_mark).collect(),
            slices: slices::slices(&history.requests, length_ms),
        }
    }
}

/// Creates the ledger table of every route, once its group accepts writes.
async fn create_schema(fleet: &Fleet) -> Result<(), MeasureError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let vms = fleet.vms();
    let account = &fleet.bundle().accounts[0].name;
    for route in &fleet.bundle().routes {
        loop {
            match create_table(
                fleet,
                vms[0].as_str(),
                account.as_str(),
                route.name.as_str(),
            )
            .await
            {
                Ok(()) => break,
                Err(e) if Instant::now() > deadline => return Err(e),
                Err(_) => tokio::time::sleep(Duration::from_millis(200)).await,
            }
        }
    }
    Ok(())
}

/// Creates the ledger table of one route.
async fn create_table(
    fleet: &Fleet,
    vm: &str,
    account: &str,
    route: &str,
) -> Result<(), MeasureError> {
    let client = fleet.caller(vm, account, route).await?;
    for statement in SCHEMA {
        client.simple_query(statement).await?;
    }
    Ok(())
}

/// Returns the relay's addresses of the entries.
fn entry_addresses(fleet: &Fleet, relay: &Relay) -> Vec<SocketAddr> {
    let vms = fleet.vms();
    let addresses = vms.iter().filter_map(|vm| relay.address(vm.as_str()));
    addresses.collect()
}

/// Builds the history from requests, ledgers and faults.
async fn history(
    fleet: &Fleet,
    requests: Vec<Request>,
    injected: &[InjectedFault],
) -> Result<History, MeasureError> {
    let accounts = fleet.bundle().accounts.iter();
    let limits = accounts.map(|account| AccountLimit {
        name: account.name.clone(),
        rate: account.rate,
        burst: account.burst,
    });
    let faults = injected.iter();
    let faults = faults.map(|fault| (micros(fault.at), fault.step.name().to_owned()));
    Ok(History {
        accounts: limits.collect(),
        requests,
        found: Some(ledger::rows(fleet).await?),
        faults: faults.collect(),
        expect: None,
    })
}

/// Measures the write gap after each fault that interrupts writes, up to the next fault.
fn gaps(requests: &[Request], injected: &[InjectedFault]) -> Vec<Gap> {
    let mut gaps = Vec::new();
    for (at, fault) in injected.iter().enumerate() {
        let Some(route) = &fault.route else {
            continue;
        };
        let next = injected.get(at + 1).map_or(Duration::MAX, |next| next.at);
        let end = next.min(fault.at + GAP_WINDOW);
        let on_route = requests.iter().filter(|request| request.route == *route);
        let on_route: Vec<Request> = on_route.cloned().collect();
        gaps.push(Gap {
            fault: fault.step.name().to_owned(),
            route: route.clone(),
            ms: check::write_gap(&on_route, fault.at, end).map(millis),
        });
    }
    gaps
}

/// Returns the calls that the platform has received; 0 if it does not answer.
async fn platform_calls(fleet: &Fleet) -> u64 {
    let state = async {
        let url = format!("{}/state", fleet.platform());
        let state: serde_json::Value = reqwest::get(url).await?.json().await?;
        Ok::<u64, reqwest::Error>(state["calls_total"].as_u64().unwrap_or(0))
    };
    state.await.unwrap_or(0)
}

fn fault_mark(fault: &InjectedFault) -> FaultMark {
    FaultMark {
        name: fault.step.name().to_owned(),
        at_ms: millis(fault.at),
    }
}

fn progress(name: &'static str, length: Duration) -> ProgressBar {
    let bar = ProgressBar::new(length.as_secs());
    if let Ok(style) = ProgressStyle::with_template("{prefix:10} {bar:40} {pos}/{len} s {msg}") {
        bar.set_style(style);
    }
    bar.set_prefix(name);
    bar
}

/// Returns the number of sessions of an account: one for each request per second, at least four.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates of the layouts are small and positive"
)]
fn sessions(rate: f64) -> u64 {
    rate.max(4.0) as u64
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
