//! A fleet that runs: addresses, clients, faults and its orderly end.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::names::VmName;
use tempfile::TempDir;
use thiserror::Error;
use tokio::time::Instant;

use super::layout::Layout;
use super::plan::Plan;
use super::plan::STAND_IN_ADMIN;
use super::program::Kind;
use super::program::Program;
use super::program::ProgramError;
use super::settings;
use super::submission::Submission;
use super::submission::SubmissionError;

/// Longest time until every process of a fleet answers.
const START_BOUND: Duration = Duration::from_secs(30);
/// Longest time until every process has drained at the end.
const STOP_BOUND: Duration = Duration::from_secs(10);
/// Lines of a log that an error shows.
const LOG_TAIL_LINES: usize = 8;
/// Pause between two looks at a process that is starting.
const LOOK_PAUSE: Duration = Duration::from_millis(30);

/// Failure to start or steer a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A file could not be written.
    #[error("fleet files: {0}")]
    Files(#[from] std::io::Error),
    /// A program could not be started or signalled.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// A process did not answer in time.
    #[error("{name} is not ready at {url} after {after:?}; its log ends with:\n{log}")]
    NotReady {
        /// Process that is missing.
        name: String,
        /// Address that was asked.
        url: String,
        /// Time that was waited.
        after: Duration,
        /// Last lines of its log.
        log: String,
    },
    /// The bundle or the list of virtual machines could not be stored.
    #[error(transparent)]
    Submission(#[from] SubmissionError),
    /// An admin endpoint could not be asked.
    #[error("admin endpoint: {0}")]
    Admin(#[from] reqwest::Error),
    /// A caller's session could not be opened.
    #[error("caller: {0}")]
    Caller(#[from] tokio_postgres::Error),
    /// The layout has no such process.
    #[error("no process {0}")]
    Unknown(String),
}

/// Running fleet; every process is killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    pub(super) plan: Plan,
    dir: TempDir,
    submission: Submission,
    bundle: Bundle,
    programs: BTreeMap<String, Program>,
    pub(super) http: reqwest::Client,
}

impl Fleet {
    /// Starts every process of a layout and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails if a program does not start or is not ready within 30 seconds.
    pub async fn start(layout: Layout) -> Result<Self, FleetError> {
        let plan = Plan::new(layout);
        let platform = format!("http://{}", plan.platform_address());
        let (bundle, submission) = Submission::prepare(&plan.layout.bundle, platform)?;
        let mut fleet = Self {
            plan,
            dir: TempDir::new()?,
            programs: BTreeMap::new(),
            http: reqwest::Client::new(),
            submission,
            bundle,
        };
        fleet.start_stand_ins().await?;
        fleet.fill_platform().await?;
        for n in 0..fleet.plan.layout.vms.len() {
            fleet.start_vm(n)?;
        }
        fleet.wait_vms().await?;
        Ok(fleet)
    }

    /// Returns the bundle as it was submitted last.
    #[must_use]
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Returns the directory of settings and logs.
    #[must_use]
    pub fn directory(&self) -> &std::path::Path {
        self.dir.path()
    }

    /// Returns the names of the virtual machines.
    #[must_use]
    pub fn vms(&self) -> Vec<VmName> {
        self.plan
            .layout
            .vms
            .iter()
            .map(|vm| vm.name.clone())
            .collect()
    }

    /// Returns the key of an account.
    #[must_use]
    pub fn key(&self, account: &str) -> String {
        self.submission.key(account)
    }

    /// Returns the URL of the platform, as the fleet's processes reach it.
    #[must_use]
    pub fn platform(&self) -> String {
        format!(
            "http://{}",
            self.plan
                .reachable("platform", &self.plan.platform_address())
        )
    }

    /// Returns the address of an entry for callers.
    #[must_use]
    pub fn entry(&self, vm: &str) -> String {
        format!("{}:{}", self.plan.vm_ip(vm), settings::CALLERS)
    }

    /// Returns the URL of an entry for callers, without a route.
    #[must_use]
    pub fn entry_url(&self, vm: &str, account: &str) -> String {
        format!(
            "postgres://{account}:{}@{}",
            self.key(account),
            self.entry(vm)
        )
    }

    /// Returns the admin URL of a program of a virtual machine.
    #[must_use]
    pub fn admin(&self, vm: &str, kind: Kind) -> String {
        let port = match kind {
            Kind::Entry => settings::ENTRY_ADMIN,
            Kind::Pool => settings::POOL_ADMIN,
            Kind::Steward => settings::STEWARD_ADMIN,
            Kind::Lab => STAND_IN_ADMIN,
        };
        format!("http://{}:{port}", self.plan.vm_ip(vm))
    }

    /// Returns the state that a program shows on its admin endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not answer with JSON.
    pub async fn state(&self, vm: &str, kind: Kind) -> Result<serde_json::Value, FleetError> {
        let url = format!("{}/state", self.admin(vm, kind));
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Returns the metrics page of a program.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not answer.
    pub async fn metrics(&self, vm: &str, kind: Kind) -> Result<String, FleetError> {
        let url = format!("{}/metrics", self.admin(vm, kind));
        Ok(self.http.get(url).send().await?.text().await?)
    }

    /// Returns the calls that the platform stand-in has counted.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn platform_calls(&self) -> Result<f64, FleetError> {
        let url = format!("http://{}/state", self.plan.platform_address());
        let state: serde_json::Value = self.http.get(url).send().await?.json().await?;
        Ok(state["calls_total"].as_f64().unwrap_or(0.0))
    }

    /// Returns the process identifier of a program of a virtual machine.
    #[must_use]
    pub fn process_id(&self, vm: &str, kind: Kind) -> Option<u32> {
        let program = match kind {
            Kind::Entry => "entry",
            Kind::Pool => "pool",
            Kind::Steward => "steward",
            Kind::Lab => "lab",
        };
        self.programs.get(&format!("{vm}-{program}"))?.id()
    }

    /// Returns another operator, who submits bundles beside this fleet's own.
    ///
    /// # Errors
    ///
    /// Fails if the client of the platform cannot be set up.
    pub fn operator(&self) -> Result<Submission, FleetError> {
        Ok(self.submission.another()?)
    }

    /// Kills every program at once.
    pub async fn kill_all(&mut self) {
        for program in self.programs.values_mut() {
            if let Err(e) = program.kill().await {
                tracing::debug!(event = "kill_failed", error = %e);
            }
        }
    }

    /// Opens a caller's session on an entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry refuses the session.
    pub async fn caller(
        &self,
        vm: &str,
        account: &str,
        route: &str,
    ) -> Result<tokio_postgres::Client, FleetError> {
        self.caller_with(vm, account, route, None).await
    }

    /// Opens a caller's session that starts with a session token.
    ///
    /// # Errors
    ///
    /// Fails if the entry refuses the session.
    pub async fn caller_with(
        &self,
        vm: &str,
        account: &str,
        route: &str,
        token: Option<&str>,
    ) -> Result<tokio_postgres::Client, FleetError> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(self.plan.vm_ip(vm).to_string())
            .port(settings::CALLERS);
        config
            .user(account)
            .password(self.key(account))
            .dbname(route);
        config.connect_timeout(Duration::from_secs(5));
        if let Some(token) = token {
            config.options(format!("-c mustardbay.session={token}"));
        }
        let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(event = "caller_ended", error = %e);
            }
        });
        Ok(client)
    }

    /// Returns the upstream that takes itself for the primary under the highest term.
    ///
    /// # Errors
    ///
    /// Fails if no upstream of the group does.
    pub async fn primary(&self, group: &str) -> Result<UpstreamName, FleetError> {
        let groups = self
            .bundle
            .groups
            .iter()
            .filter(|g| g.name.as_str() == group);
        let mut best: Option<(u64, UpstreamName)> = None;
        for up in groups.flat_map(|group| &group.upstreams) {
            let Ok(state) = self.upstream_state(up.name.as_str()).await else {
                continue;
            };
            let term = state["term"].as_u64().unwrap_or(0);
            if state["role"] == "primary" && best.as_ref().is_none_or(|(t, _)| *t < term) {
                best = Some((term, up.name.clone()));
            }
        }
        let best = best.ok_or_else(|| FleetError::Unknown(format!("primary of {group}")))?;
        Ok(best.1)
    }

    /// Returns a running program by its name, such as `vm1-pool` or `upstream-ledger-1`.
    ///
    /// # Errors
    ///
    /// Fails if the fleet has no such program.
    pub fn program(&mut self, name: &str) -> Result<&mut Program, FleetError> {
        self.programs
            .get_mut(name)
            .ok_or_else(|| FleetError::Unknown(name.to_owned()))
    }

    /// Kills a program with SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails if the fleet has no such program.
    pub async fn kill(&mut self, name: &str) -> Result<(), FleetError> {
        Ok(self.program(name)?.kill().await?)
    }

    /// Starts the programs of a virtual machine again, with nothing kept from before.
    ///
    /// # Errors
    ///
    /// Fails if a program does not start or is not ready in time.
    pub async fn restart_vm(&mut self, vm: &str) -> Result<(), FleetError> {
        for kind in ["entry", "pool", "steward"] {
            self.kill(&format!("{vm}-{kind}")).await?;
        }
        let n = self
            .plan
            .layout
            .vms
            .iter()
            .position(|plan| plan.name.as_str() == vm);
        let n = n.ok_or_else(|| FleetError::Unknown(vm.to_owned()))?;
        self.start_vm(n)?;
        self.wait_vm(vm).await
    }

    /// Submits a changed bundle as the next version.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses it.
    pub async fn submit(&mut self, bundle: Bundle) -> Result<(), FleetError> {
        self.bundle = self.submission.submit(bundle).await?;
        Ok(())
    }

    /// Drains every program of the fleet, then ends what is left.
    pub async fn stop(mut self) {
        for program in self.programs.values() {
            if let Err(e) = program.terminate() {
                tracing::debug!(event = "terminate_failed", error = %e);
            }
        }
        let deadline = Instant::now() + STOP_BOUND;
        for program in self.programs.values_mut() {
            if tokio::time::timeout_at(deadline, program.wait())
                .await
                .is_err()
            {
                tracing::warn!(event = "program_killed", reason = "did not drain");
            }
        }
    }

    async fn start_stand_ins(&mut self) -> Result<(), FleetError> {
        let platform = self.plan.platform_address();
        self.start_lab("platform", &["platform", "--listen", &platform])?;
        for up in self.plan.upstreams() {
            let plan = self.plan.layout.upstreams;
            let listen = format!("{}:{}", up.ip, settings::CALLERS);
            let admin = format!("{}:{STAND_IN_ADMIN}", up.ip);
            let arguments = [
                "upstream",
                "--name",
                up.name.as_str(),
                "--listen",
                &listen,
                "--admin",
                &admin,
                "--source",
                &up.ip.to_string(),
                "--connections",
                &up.connections.to_string(),
                "--lag-ms",
                &plan.lag.as_millis().to_string(),
                "--connect-cost-ms",
                &plan.connect_cost.as_millis().to_string(),
                "--work-ms",
                &plan.work.as_millis().to_string(),
            ];
            self.start_lab(&format!("upstream-{}", up.name), &arguments)?;
        }
        if self.plan.layout.relays {
            self.start_relay()?;
        }
        self.wait_stand_ins().await
    }

    fn start_relay(&mut self) -> Result<(), FleetError> {
        let admin = self.plan.relay_admin();
        let links = self.plan.links().to_vec();
        let links: Vec<String> = links
            .iter()
            .map(|l| format!("{}={}={}", l.name, l.listen, l.target))
            .collect();
        let mut arguments = vec!["relay", "--admin", &admin];
        for link in &links {
            arguments.extend(["--link", link]);
        }
        self.start_lab("relay", &arguments)
    }

    fn start_lab(&mut self, name: &str, arguments: &[&str]) -> Result<(), FleetError> {
        let arguments: Vec<String> = arguments.iter().map(|a| (*a).to_owned()).collect();
        self.start_program(name, Kind::Lab, &arguments)
    }

    fn start_program(
        &mut self,
        name: &str,
        kind: Kind,
        arguments: &[String],
    ) -> Result<(), FleetError> {
        let log = self.dir.path().join(format!("{name}.log"));
        let program = Program::start(kind, arguments, &log)?;
        self.programs.insert(name.to_owned(), program);
        Ok(())
    }

    async fn wait_stand_ins(&self) -> Result<(), FleetError> {
        self.wait_ready(
            "platform",
            &format!("http://{}", self.plan.platform_address()),
        )
        .await?;
        for up in self.plan.upstreams() {
            let url = format!("http://{}:{STAND_IN_ADMIN}", up.ip);
            self.wait_ready(&format!("upstream-{}", up.name), &url)
                .await?;
        }
        if self.plan.layout.relays {
            let url = format!("http://{}", self.plan.relay_admin());
            self.wait_ready("relay", &url).await?;
            self.set_delays().await?;
        }
        Ok(())
    }

    async fn set_delays(&self) -> Result<(), FleetError> {
        if self.plan.layout.delay.is_zero() {
            return Ok(());
        }
        let mode = format!("delay&us={}", self.plan.layout.delay.as_micros());
        for from in self.plan.domains() {
            for to in self.plan.domains() {
                if from != to {
                    self.switch_links(&from, &to, &mode).await?;
                }
            }
        }
        Ok(())
    }

    async fn fill_platform(&mut self) -> Result<(), FleetError> {
        for n in 0..self.plan.layout.vms.len() {
            let settings = self.plan.vm_settings(n, self.submission.signer());
            let value = serde_json::json!({
                "domain": settings.vm.domain,
                "peer": settings.peer,
                "pool": settings.pool,
                "admin": format!("{}:{}", settings.ip, settings::STEWARD_ADMIN),
                "leaving": false,
            });
            let key = format!("vms/{}", settings.vm.name);
            self.submission.put(&key, &value.to_string()).await?;
        }
        let mut bundle = self.bundle.clone();
        let placed = self.plan.upstreams();
        let mut placed = placed.iter();
        for up in bundle
            .groups
            .iter_mut()
            .flat_map(|group| group.upstreams.iter_mut())
        {
            let ip = placed
                .next()
                .map_or(Ipv4Addr::LOCALHOST, |placed| placed.ip);
            let target = format!("{ip}:{}", settings::CALLERS);
            up.address = self
                .plan
                .reachable(&format!("upstream.{}", up.name), &target);
        }
        self.submit(bundle).await
    }

    fn start_vm(&mut self, n: usize) -> Result<(), FleetError> {
        let settings = self.plan.vm_settings(n, self.submission.signer());
        let vm = settings.vm.name.clone();
        let dir = self.dir.path();
        let files = [
            (
                "steward",
                Kind::Steward,
                settings.write_steward(dir, &self.plan.layout)?,
            ),
            (
                "pool",
                Kind::Pool,
                settings.write_pool(dir, &self.plan.layout)?,
            ),
            (
                "entry",
                Kind::Entry,
                settings.write_entry(dir, &self.plan.layout)?,
            ),
        ];
        for (program, kind, file) in files {
            let arguments = ["--settings".to_owned(), file.display().to_string()];
            self.start_program(&format!("{vm}-{program}"), kind, &arguments)?;
        }
        Ok(())
    }

    async fn wait_vms(&self) -> Result<(), FleetError> {
        for vm in &self.plan.layout.vms {
            self.wait_vm(vm.name.as_str()).await?;
        }
        Ok(())
    }

    async fn wait_vm(&self, vm: &str) -> Result<(), FleetError> {
        let programs = [
            ("steward", Kind::Steward),
            ("pool", Kind::Pool),
            ("entry", Kind::Entry),
        ];
        for (program, kind) in programs {
            let url = self.admin(vm, kind);
            self.wait_ready(&format!("{vm}-{program}"), &url).await?;
        }
        Ok(())
    }

    /// Returns the last lines that a program has logged.
    fn log_tail(&self, name: &str) -> String {
        let path = self.dir.path().join(format!("{name}.log"));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(LOG_TAIL_LINES).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    async fn wait_ready(&self, name: &str, url: &str) -> Result<(), FleetError> {
        let url = format!("{url}/healthz");
        let deadline = Instant::now() + START_BOUND;
        while Instant::now() < deadline {
            let answer = self.http.get(&url).timeout(START_BOUND).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        Err(FleetError::NotReady {
            name: name.to_owned(),
            url,
            after: START_BOUND,
            log: self.log_tail(name),
        })
    }
}
