//! Starts the project's program as the deploy file says, one process a machine.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::json::Json;
use crate::json::table;

/// Longest wait until a machine is ready.
const START_TIME: Duration = Duration::from_secs(20);

/// Ports that were tried already.
static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// One machine with the project's process.
pub struct Machine {
    pub name: String,
    pub entry: SocketAddr,
    pub ready: SocketAddr,
    pub link: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// The machines of a deployment; their processes end with it.
pub struct Fleet {
    root: PathBuf,
    pub machines: Vec<Machine>,
}

impl Fleet {
    /// Writes the settings of the machines, named by zone, and starts their processes.
    pub fn start(
        root: &Path,
        folder: &Path,
        zones: &[&str],
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let template = std::fs::read_to_string(root.join("deploy/settings.yaml"))?;
        let mut fleet = Self {
            root: root.to_owned(),
            machines: Vec::new(),
        };
        for (index, zone) in zones.iter().enumerate() {
            let ports = free_addresses(4)?;
            let name = format!("edge-{zone}-{}", index + 1);
            let fields = fields(&name, zone, zones, &ports, store);
            let settings = folder.join(format!("{name}.yaml"));
            std::fs::write(&settings, render(&template, &fields, &fields))?;
            fleet.machines.push(Machine {
                log: folder.join(format!("{name}.log")),
                name,
                entry: ports[0],
                ready: ports[1],
                link: ports[2],
                settings,
                process: None,
            });
        }
        for index in 0..zones.len() {
            fleet.start_process(index)?;
        }
        Ok(fleet)
    }

    /// Starts a machine's process with the command and variables of the deploy file.
    pub fn start_process(&mut self, index: usize) -> std::io::Result<()> {
        let machine = &mut self.machines[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&machine.log)?;
        let deploy = std::fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.unwrap_or_default().trim().trim_matches('"');
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let mut command = Command::new(self.root.join(program));
        command.args(words).env_clear().current_dir(&self.root);
        command.env("MUSTARDBAY_NODE_FILE", &machine.settings);
        command.env("MIMALLOC_ALLOW_THP", "0");
        command.stdout(log.try_clone()?).stderr(log);
        let process = command.spawn()?;
        // For the script, should this program be ended before it ends them itself.
        let list = machine.settings.with_file_name("processes");
        let mut list = File::options().create(true).append(true).open(list)?;
        writeln!(list, "{}", process.id())?;
        machine.process = Some(process);
        Ok(())
    }

    /// Waits until every machine is ready; returns whether they are.
    pub fn until_ready(&self) -> bool {
        let until = Instant::now() + START_TIME;
        while Instant::now() < until {
            if self.machines.iter().all(|machine| is_ready(machine.ready)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&self, index: usize, signal: &str) {
        let Some(process) = &self.machines[index].process else {
            return;
        };
        let id = process.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        if !sent.is_ok_and(|status| status.success()) {
            eprintln!("kill {signal} {id} failed");
        }
    }

    /// Tells whether a machine's process has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let process = self.machines[index].process.as_mut();
        process.is_none_or(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    /// Returns the resident memory of a machine's process, in megabytes; 0 if it does not run.
    pub fn memory_mb(&self, index: usize) -> u64 {
        let id = self.machines[index].process.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1_024
    }

    /// Returns what a machine's process has logged.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.machines[index].log).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut process) = machine.process.take() {
                let ended = process.kill().and_then(|()| process.wait());
                if let Err(e) = ended {
                    eprintln!("{}: {e}", machine.name);
                }
            }
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    use std::io::Read;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
        return false;
    };
    let limit = Some(Duration::from_millis(500));
    let request = b"GET /mustardbay/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let mut answer = [0; 12];
    stream.set_read_timeout(limit).is_ok()
        && stream.write_all(request).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.ends_with(b"200")
}

/// Returns loopback addresses that nothing listens on.
///
/// Their ports lie below those that the system gives to outgoing connections, which could take one
/// before the machine's process listens on it.
pub fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let first = 20_000 + std::process::id() % 600 * 20;
    let ports = (0..12_000).map(|step| 20_000 + (first - 20_000 + step) % 12_000);
    let mut listeners = Vec::new();
    for port in ports {
        let port = u16::try_from(port).map_err(std::io::Error::other)?;
        if TAKEN.lock().expect("not poisoned").insert(port)
            && let Ok(listener) = TcpListener::bind(("127.0.0.1", port))
        {
            listeners.push(listener);
        }
        if listeners.len() == count {
            return listeners.iter().map(TcpListener::local_addr).collect();
        }
    }
    Err(std::io::Error::other("no free ports"))
}

/// Returns the fields of a machine's settings file, with the bounds of the small sites.
fn fields(name: &str, zone: &str, zones: &[&str], ports: &[SocketAddr], store: SocketAddr) -> Json {
    let text = |address: SocketAddr| Json::from(address.to_string());
    let regions = zones
        .iter()
        .map(|zone| ((*zone).to_owned(), "norge-ost".into()));
    table([
        ("nodeName", name.into()),
        ("zone", zone.into()),
        ("ip", "127.0.0.1".into()),
        (
            "listen",
            table([("frontend", text(ports[0])), ("readiness", text(ports[1]))]),
        ),
        (
            "internalPorts",
            vec![
                u64::from(ports[2].port()).into(),
                u64::from(ports[3].port()).into(),
            ]
            .into(),
        ),
        ("platform", table([("address", text(store))])),
        ("cloudApi", table([("address", text(store))])),
        (
            "bounds",
            table([
                ("revokeMs", 5_000.into()),
                ("graceS", 6.into()),
                ("quotaWindowS", 5.into()),
            ]),
        ),
        ("zones", Json::Table(regions.collect())),
        (
            "limits",
            table([
                ("cpuShare", Json::Number(0.25)),
                ("memoryMb", 260.into()),
                ("maxFds", 4_300.into()),
            ]),
        ),
    ])
}

/// Fills in a template: values, values as JSON, and sections.
fn render(template: &str, scope: &Json, all: &Json) -> String {
    let Some((before, rest)) = template.split_once("{{") else {
        return template.to_owned();
    };
    let Some((tag, rest)) = rest.split_once("}}") else {
        return template.to_owned();
    };
    let find = |path: &str| scope.get(path).or_else(|| all.get(path)).cloned();
    if let Some(name) = tag.strip_prefix('#') {
        let close = format!("{{{{/{name}}}}}");
        let (inner, rest) = rest.split_once(&close).unwrap_or((rest, ""));
        let filled = find(name).map(|value| render(inner, &value, all));
        return before.to_owned() + &filled.unwrap_or_default() + &render(rest, scope, all);
    }
    let (path, json) = match tag.strip_suffix("|json") {
        Some(path) => (path, true),
        None => (tag, false),
    };
    let value = if path == "." {
        Some(scope.clone())
    } else {
        find(path)
    };
    let shown = match value {
        Some(Json::Text(text)) if !json => text,
        Some(value) => value.to_string(),
        None => String::new(),
    };
    before.to_owned() + &shown + &render(rest, scope, all)
}
