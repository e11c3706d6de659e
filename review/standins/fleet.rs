//! Vms of the system as separate processes, started with the commands of the deploy file.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Caller;
use crate::record::Record;
use crate::store::Store;

/// Number of the signal that asks a process to stop.
pub const SIGTERM: i32 = 15;
/// Zones of the vms, in order.
const ZONES: [&str; 4] = ["oslo-a", "oslo-b", "hamar", "drammen"];
/// Time from the request to stop until the platform kills a process, as on klarsprak-drift.
pub const GRACE: Duration = Duration::from_secs(6);

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// One vm.
pub struct Vm {
    pub name: String,
    pub entry: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
}

/// Vms of one case; they end with it.
pub struct Fleet {
    pub vms: Vec<Vm>,
    folder: PathBuf,
    record: Arc<Record>,
}

impl Fleet {
    /// Starts vms and waits until all of them are ready and serve.
    pub fn start(
        count: usize,
        store: &Store,
        record: &Arc<Record>,
        evacuation_ms: Option<u32>,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let folder = std::env::temp_dir().join(format!("mustardbay-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            vms: Vec::new(),
            folder,
            record: Arc::clone(record),
        };
        for index in 0..count {
            let vm = fleet.start_vm(index, store, evacuation_ms)?;
            fleet.vms.push(vm);
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    fn start_vm(
        &self,
        index: usize,
        store: &Store,
        evacuation_ms: Option<u32>,
    ) -> Result<Vm, Box<dyn std::error::Error>> {
        let ports = free_ports(4)?;
        let name = format!("edge-{}-{index}", ZONES[index]);
        let address = |place: usize| SocketAddr::from(([127, 0, 0, 1], ports[place]));
        let mut values = vec![
            ("nodeName", name.clone()),
            ("zone", ZONES[index].to_owned()),
            ("listen.frontend", address(0).to_string()),
            ("listen.readiness", address(1).to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("internalPorts.0", ports[2].to_string()),
            ("internalPorts.1", ports[3].to_string()),
            ("platform.address", store.address.to_string()),
            ("cloudApi.address", store.address.to_string()),
            ("bounds.revokeMs", "5000".to_owned()),
            ("bounds.graceS", GRACE.as_secs().to_string()),
            ("bounds.quotaWindowS", "5".to_owned()),
            ("zones|json", zones_json()),
            ("limits.cpuShare", "0.25".to_owned()),
        ];
        values.extend(evacuation_ms.map(|time| ("bounds.evacMs", time.to_string())));
        let deploy = std::fs::read_to_string("deploy/system.toml")?;
        let template = field(&deploy, "template").ok_or("the deploy file names no template")?;
        let settings = render(&std::fs::read_to_string(template)?, &values);
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings)?;
        let run = field(&deploy, "run").ok_or("the deploy file names no program")?;
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let process = Command::new(Path::new(program))
            .args(words)
            .env("MUSTARDBAY_NODE_FILE", &file)
            .env("MIMALLOC_ALLOW_THP", "0")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .note(format!("platform: starts {name}, entry {}", address(0)));
        Ok(Vm {
            name,
            entry: address(0),
            ready: address(1),
            process,
        })
    }

    /// Waits until every vm counts as ready; traffic starts 10 s after the machines.
    fn wait_until_ready(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let started = Instant::now();
        while !self.vms.iter().all(Vm::is_ready) {
            if started.elapsed() > Duration::from_secs(20) {
                return Err("a vm is not ready after 20 s".into());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        std::thread::sleep(Duration::from_secs(10).saturating_sub(started.elapsed()));
        self.record.note("all vms are ready");
        Ok(())
    }

    /// Waits until every vm serves a statement of the route.
    pub fn wait_until_served(&self, route: &str, key: &str) -> Result<(), &'static str> {
        let started = Instant::now();
        for vm in &self.vms {
            loop {
                let caller = Caller::open("probe", vm.entry, route, key, None);
                let answer = caller.and_then(|mut caller| caller.ask("READ seed").1);
                if answer.is_some_and(|answer| answer.succeeded()) {
                    break;
                }
                if started.elapsed() > Duration::from_secs(10) {
                    return Err("a vm does not serve");
                }
                std::thread::sleep(Duration::from_millis(200));
            }
        }
        Ok(())
    }

    /// Sends a signal to the process of a vm.
    pub fn signal(&self, index: usize, signal: i32) {
        let vm = &self.vms[index];
        self.record
            .note(format!("platform: signal {signal} to {}", vm.name));
        // SAFETY: the process is a child of this one that has not been waited for.
        let sent = unsafe { kill(vm.process.id() as i32, signal) };
        if sent != 0 {
            self.record.note("platform: the signal was not sent");
        }
    }

    /// Returns whether the process of a vm has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        matches!(self.vms[index].process.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            let _ended = vm.process.kill();
            let _status = vm.process.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Vm {
    /// Asks the readiness probe once, as the platform does.
    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, wait) else {
            return false;
        };
        let request = "GET /mustardbay/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        let read = stream
            .set_read_timeout(Some(wait))
            .and_then(|()| stream.write_all(request.as_bytes()))
            .and_then(|()| stream.read_to_string(&mut answer));
        read.is_ok() && answer.starts_with("HTTP/1.1 200")
    }
}

fn zones_json() -> String {
    let zones: BTreeMap<&str, &str> = ZONES.iter().map(|zone| (*zone, "norge-ost")).collect();
    let fields: Vec<String> = zones
        .iter()
        .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
        .collect();
    format!("{{{}}}", fields.join(","))
}

/// Returns the text of a field of the deploy file.
fn field<'a>(deploy: &'a str, name: &str) -> Option<&'a str> {
    let prefix = format!("{name} = \"");
    let line = deploy.lines().find_map(|line| line.strip_prefix(&prefix))?;
    line.strip_suffix('"')
}

/// Fills in a settings template; a section whose value is absent is left out.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").unwrap_or(0);
        let end_tag = format!("{{{{/{}}}}}", &text[start + 3..name_end]);
        let end = text
            .find(&end_tag)
            .map_or(text.len(), |at| at + end_tag.len());
        let name = text[start + 3..name_end].to_owned();
        let inner = text[name_end + 2..end - end_tag.len()].to_owned();
        let value = values.iter().find(|(known, _)| *known == name);
        let shown = value.map_or(String::new(), |(_, value)| inner.replace("{{.}}", value));
        text.replace_range(start..end, &shown);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Returns ports below the ephemeral range on which nothing listens.
fn free_ports(count: usize) -> Result<Vec<u16>, &'static str> {
    use std::sync::atomic::AtomicU16;
    use std::sync::atomic::Ordering;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 21_000 + (std::process::id() % 40) as u16 * 200;
    let mut ports = Vec::new();
    while ports.len() < count {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        if offset >= 200 {
            return Err("no free ports");
        }
        if TcpListener::bind(("127.0.0.1", first + offset)).is_ok() {
            ports.push(first + offset);
        }
    }
    Ok(ports)
}
