//! Running fleet: start, addresses, process control and shutdown.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::names::VmName;
use tempfile::TempDir;
use thiserror::Error;
use tokio::time::Instant;

use super::layout::Layout;
use super::operator::Operator;
use super::operator::OperatorError;
use super::placement::Placement;
use super::placement::STAND_IN_ADMIN;
use super::program::Kind;
use super::program::Program;
use super::program::ProgramError;
use super::settings;

/// Longest wait for all processes to drain when the fleet stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Failure to start or control a fleet.
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
        /// Name of the process.
        name: String,
        /// URL of the health check.
        url: String,
        /// Time after which the wait ended.
        after: Duration,
        /// Last lines of the process's log.
        log: String,
    },
    /// The bundle or the record of a vm could not be stored.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// A request to an admin endpoint failed.
    #[error("admin endpoint: {0}")]
    Admin(#[from] reqwest::Error),
    /// A client session could not be opened.
    #[error("client session: {0}")]
    Caller(#[from] tokio_postgres::Error),
    /// The fleet has no process, upstream or primary of this name.
    #[error("not in the fleet: {0}")]
    Unknown(String),
}

/// Running fleet; every process is killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    pub(super) placement: Placement,
    pub(super) dir: TempDir,
    pub(super) operator: Operator,
    pub(super) bundle: Bundle,
    pub(super) programs: BTreeMap<String, Program>,
    pub(super) http: reqwest::Client,
}

impl Drop for Fleet {
    /// Prints the end of the stewards' logs if a test panics: the log directory is deleted here.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let stewards = self
            .programs
            .keys()
            .filter(|name| name.ends_with("-steward"));
        for name in stewards {
            eprintln!("{name}:\n{}", self.log_tail(name));
        }
    }
}

impl Fleet {
    /// Starts every process of a layout and waits until all of them are ready.
    ///
    /// # Errors
    ///
    /// Fails if a program does not start or is not ready within 30 seconds, or if the platform
    /// does not store the fleet's records.
    pub async fn start(layout: Layout) -> Result<Self, FleetError> {
        let placement = Placement::new(layout);
        let platform = format!("http://{}", placement.platform_address());
        let (bundle, operator) = Operator::prepare(&placement.layout.bundle, platform)?;
        let mut fleet = Self {
            placement,
            dir: TempDir::new()?,
            programs: BTreeMap::new(),
            http: reqwest::Client::new(),
            operator,
            bundle,
        };
        fleet.start_stand_ins().await?;
        fleet.publish_records().await?;
        for n in 0..fleet.placement.layout.vms.len() {
            fleet.start_vm(n)?;
        }
        fleet.wait_vms().await?;
        Ok(fleet)
    }

    /// Returns the bundle that was submitted last.
    #[must_use]
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Returns the directory that contains settings files and logs.
    #[must_use]
    pub fn directory(&self) -> &std::path::Path {
        self.dir.path()
    }

    /// Returns the names of the vms.
    #[must_use]
    pub fn vms(&self) -> Vec<VmName> {
        self.placement
            .layout
            .vms
            .iter()
            .map(|vm| vm.name.clone())
            .collect()
    }

    /// Returns the key of an account; empty if it has none.
    #[must_use]
    pub fn key(&self, account: &str) -> String {
        self.operator.key(account)
    }

    /// Returns the URL at which the fleet's processes reach the platform.
    #[must_use]
    pub fn platform(&self) -> String {
        format!(
            "http://{}",
            self.placement
                .reachable("platform", &self.placement.platform_address())
        )
    }

    /// Returns the address at which the entry of a vm accepts clients.
    #[must_use]
    pub fn entry(&self, vm: &str) -> String {
        format!("{}:{}", self.placement.vm_ip(vm), settings::POSTGRES_PORT)
    }

    /// Returns the PostgreSQL URL of an account on the entry of a vm, without a route.
    #[must_use]
    pub fn entry_url(&self, vm: &str, account: &str) -> String {
        format!(
            "postgres://{account}:{}@{}",
            self.key(account),
            self.entry(vm)
        )
    }

    /// Returns the admin URL of a program of a vm.
    #[must_use]
    pub fn admin(&self, vm: &str, kind: Kind) -> String {
        let port = match kind {
            Kind::Entry => settings::ENTRY_ADMIN_PORT,
            Kind::Pool => settings::POOL_ADMIN_PORT,
            Kind::Steward => settings::STEWARD_ADMIN_PORT,
            Kind::Lab => STAND_IN_ADMIN,
        };
        format!("http://{}:{port}", self.placement.vm_ip(vm))
    }

    /// Returns another operator, which submits bundles independently of the fleet's own.
    ///
    /// # Errors
    ///
    /// Fails if the client of the platform cannot be set up.
    pub fn operator(&self) -> Result<Operator, FleetError> {
        Ok(self.operator.fork()?)
    }

    /// Kills every program with SIGKILL, one after the other.
    pub async fn kill_all(&mut self) {
        for program in self.programs.values_mut() {
            if let Err(e) = program.kill().await {
                tracing::debug!(event = "kill_failed", error = %e);
            }
        }
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

    /// Kills the programs of a vm and starts new processes in their place.
    ///
    /// # Errors
    ///
    /// Fails if a program does not start or is not ready in time.
    pub async fn restart_vm(&mut self, vm: &str) -> Result<(), FleetError> {
        for kind in ["entry", "pool", "steward"] {
            self.kill(&format!("{vm}-{kind}")).await?;
        }
        let n = self
            .placement
            .layout
            .vms
            .iter()
            .position(|layout| layout.name.as_str() == vm);
        let n = n.ok_or_else(|| FleetError::Unknown(vm.to_owned()))?;
        self.start_vm(n)?;
        self.wait_vm(vm).await
    }

    /// Submits a bundle as the next version.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or another submission came first.
    pub async fn submit(&mut self, bundle: Bundle) -> Result<(), FleetError> {
        self.bundle = self.operator.submit(bundle).await?;
        Ok(())
    }

    /// Drains every program of the fleet and kills those that do not end within ten seconds.
    pub async fn stop(mut self) {
        for program in self.programs.values() {
            if let Err(e) = program.terminate() {
                tracing::debug!(event = "terminate_failed", error = %e);
            }
        }
        let deadline = Instant::now() + STOP_TIMEOUT;
        for program in self.programs.values_mut() {
            if tokio::time::timeout_at(deadline, program.wait())
                .await
                .is_err()
            {
                tracing::warn!(event = "program_killed", reason = "did not drain");
            }
        }
    }

    /// Stores the record of every vm, and submits the bundle with the upstreams' addresses.
    async fn publish_records(&mut self) -> Result<(), FleetError> {
        for n in 0..self.placement.layout.vms.len() {
            let settings = self.placement.vm_settings(n, self.operator.signer());
            let value = serde_json::json!({
                "domain": settings.vm.domain,
                "peer": settings.peer,
                "pool": settings.pool,
                "admin": format!("{}:{}", settings.ip, settings::STEWARD_ADMIN_PORT),
                "leaving": false,
            });
            let key = format!("vms/{}", settings.vm.name);
            self.operator.put(&key, &value.to_string()).await?;
        }
        let mut bundle = self.bundle.clone();
        let placed = self.placement.upstreams();
        let mut placed = placed.iter();
        for up in bundle
            .groups
            .iter_mut()
            .flat_map(|group| group.upstreams.iter_mut())
        {
            let ip = placed
                .next()
                .map_or(Ipv4Addr::LOCALHOST, |placed| placed.ip);
            let target = format!("{ip}:{}", settings::POSTGRES_PORT);
            up.address = self
                .placement
                .reachable(&format!("upstream.{}", up.name), &target);
        }
        self.submit(bundle).await
    }
}
