//! Starts a fleet's programs and waits until each of them is ready.

use std::time::Duration;

use tokio::time::Instant;

use super::placement::STAND_IN_ADMIN;
use super::program::Kind;
use super::program::Program;
use super::running::Fleet;
use super::running::FleetError;
use super::settings;

/// Longest wait for one process to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Lines from the end of a log that an error shows.
const LOG_TAIL_LINES: usize = 8;
/// Pause between two health checks of a process that is starting.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

impl Fleet {
    /// Starts platform, upstreams and relay, and waits until they are ready.
    pub(super) async fn start_stand_ins(&mut self) -> Result<(), FleetError> {
        let platform = self.placement.platform_address();
        self.start_stand_in("platform", &["platform", "--listen", &platform])?;
        for up in self.placement.upstreams() {
            let timing = self.placement.layout.upstreams;
            let listen = format!("{}:{}", up.ip, settings::POSTGRES_PORT);
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
                &timing.lag.as_millis().to_string(),
                "--connect-cost-ms",
                &timing.connect_cost.as_millis().to_string(),
                "--work-ms",
                &timing.work.as_millis().to_string(),
            ];
            self.start_stand_in(&format!("upstream-{}", up.name), &arguments)?;
        }
        if self.placement.layout.relays {
            self.start_relay()?;
        }
        self.wait_stand_ins().await
    }

    fn start_relay(&mut self) -> Result<(), FleetError> {
        let admin = self.placement.relay_admin();
        let links = self.placement.links().to_vec();
        let links: Vec<String> = links
            .iter()
            .map(|l| format!("{}={}={}", l.name, l.listen, l.target))
            .collect();
        let mut arguments = vec!["relay", "--admin", &admin];
        for link in &links {
            arguments.extend(["--link", link]);
        }
        self.start_stand_in("relay", &arguments)
    }

    fn start_stand_in(&mut self, name: &str, arguments: &[&str]) -> Result<(), FleetError> {
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
            &format!("http://{}", self.placement.platform_address()),
        )
        .await?;
        for up in self.placement.upstreams() {
            let url = format!("http://{}:{STAND_IN_ADMIN}", up.ip);
            self.wait_ready(&format!("upstream-{}", up.name), &url)
                .await?;
        }
        if self.placement.layout.relays {
            let url = format!("http://{}", self.placement.relay_admin());
            self.wait_ready("relay", &url).await?;
            self.set_delays().await?;
        }
        Ok(())
    }

    /// Delays every link between two domains by the layout's delay.
    async fn set_delays(&self) -> Result<(), FleetError> {
        if self.placement.layout.delay.is_zero() {
            return Ok(());
        }
        let mode = format!("delay&us={}", self.placement.layout.delay.as_micros());
        for from in self.placement.domains() {
            for to in self.placement.domains() {
                if from != to {
                    self.set_link_modes(&from, &to, &mode).await?;
                }
            }
        }
        Ok(())
    }

    /// Writes the settings of the `n`th vm and starts its programs.
    pub(super) fn start_vm(&mut self, n: usize) -> Result<(), FleetError> {
        let settings = self.placement.vm_settings(n, self.operator.signer());
        let vm = settings.vm.name.clone();
        let dir = self.dir.path();
        let files = [
            (
                "steward",
                Kind::Steward,
                settings.write_steward(dir, &self.placement.layout)?,
            ),
            (
                "pool",
                Kind::Pool,
                settings.write_pool(dir, &self.placement.layout)?,
            ),
            (
                "entry",
                Kind::Entry,
                settings.write_entry(dir, &self.placement.layout)?,
            ),
        ];
        for (program, kind, file) in files {
            let arguments = ["--settings".to_owned(), file.display().to_string()];
            self.start_program(&format!("{vm}-{program}"), kind, &arguments)?;
        }
        Ok(())
    }

    /// Waits until the programs of every vm are ready.
    pub(super) async fn wait_vms(&self) -> Result<(), FleetError> {
        for vm in &self.placement.layout.vms {
            self.wait_vm(vm.name.as_str()).await?;
        }
        Ok(())
    }

    /// Waits until the programs of a vm are ready.
    pub(super) async fn wait_vm(&self, vm: &str) -> Result<(), FleetError> {
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

    /// Returns the last lines of a program's log; empty if it cannot be read.
    pub(super) fn log_tail(&self, name: &str) -> String {
        let path = self.dir.path().join(format!("{name}.log"));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(LOG_TAIL_LINES).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    /// Polls the health endpoint below `url` until it reports success.
    async fn wait_ready(&self, name: &str, url: &str) -> Result<(), FleetError> {
        let url = format!("{url}/healthz");
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            let answer = self.http.get(&url).timeout(START_TIMEOUT).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(FleetError::NotReady {
            name: name.to_owned(),
            url,
            after: START_TIMEOUT,
            log: self.log_tail(name),
        })
    }
}
