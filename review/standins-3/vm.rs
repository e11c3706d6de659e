//! The project's program on one machine of a small deployment, and the platform's watch over its memory.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::record::Record;

/// Program of the deploy file, in the repository's root.
const PROGRAM: &str = "target/release/mustardbay-vm";

/// What differs between the machines, in the words of the settings' template.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub memory_mb: u64,
    pub regions: String,
    pub bounds: String,
}

/// One machine; its process is ended when it is dropped.
pub struct Vm {
    pub machine: Machine,
    pub entry: SocketAddr,
    pub ready: SocketAddr,
    pub link: SocketAddr,
    settings: PathBuf,
    child: Arc<Mutex<Child>>,
    /// Most anonymous memory seen, in KiB.
    pub peak_kib: Arc<AtomicU64>,
    /// Whether the platform killed it for its memory.
    pub killed: Arc<AtomicBool>,
    record: Record,
}

/// Returns an address with a free port on a loopback ip.
pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

impl Vm {
    pub fn start(machine: Machine, store: SocketAddr, folder: &Path, record: &Record) -> Vm {
        let [entry, ready, link, admin] = [(); 4].map(|()| free_address(&machine.ip));
        let settings = folder.join(format!("{}.yaml", machine.name));
        let text = format!(
            "vm: {}\ndomain: {}\nlisten:\n  entry: {entry}\n  ready: {ready}\n  link: {link}\n  admin: {admin}\nplatform:\n  store: {store}\n  control: {store}\nbounds:\n{}regions: {}\ncores: 0.25\nlimits: {{ memory_mb: {}, descriptors: 4300 }}\n",
            machine.name, machine.zone, machine.bounds, machine.regions, machine.memory_mb
        );
        fs::write(&settings, text).expect("the settings are written");
        let child = spawn(&settings);
        record.line(&format!(
            "{} started as process {}",
            machine.name,
            child.id()
        ));
        let vm = Vm {
            machine,
            entry,
            ready,
            link,
            settings,
            child: Arc::new(Mutex::new(child)),
            peak_kib: Arc::default(),
            killed: Arc::default(),
            record: record.clone(),
        };
        vm.watch_memory();
        vm
    }

    pub fn id(&self) -> u32 {
        self.child.lock().expect("not poisoned").id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        self.record
            .line(&format!("{} gets {name}", self.machine.name));
        let id = self.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "the signal is sent"
        );
    }

    /// Ends the process at once and starts it again, as the platform does with one that was killed.
    pub fn kill_and_restart(&self, pause: Duration) {
        let mut child = self.child.lock().expect("not poisoned");
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(&format!("{} killed", self.machine.name));
        thread::sleep(pause);
        *child = spawn(&self.settings);
        self.record
            .line(&format!("{} started again", self.machine.name));
    }

    /// Kills the process if it exceeds its memory, as the platform does.
    fn watch_memory(&self) {
        let child = Arc::clone(&self.child);
        let peak = Arc::clone(&self.peak_kib);
        let killed = Arc::clone(&self.killed);
        let record = self.record.clone();
        let name = self.machine.name.clone();
        let limit = self.machine.memory_mb * 1_024;
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                let id = child.lock().expect("not poisoned").id();
                let Some(used) = anonymous_kib(id) else {
                    continue;
                };
                peak.fetch_max(used, Ordering::Relaxed);
                if used > limit && !killed.swap(true, Ordering::Relaxed) {
                    record.line(&format!("{name} holds {used} KiB of {limit}: killed"));
                    let _ = child.lock().expect("not poisoned").kill();
                }
            }
        });
    }

    /// Tells whether the process still runs.
    pub fn runs(&self) -> bool {
        let mut child = self.child.lock().expect("not poisoned");
        matches!(child.try_wait(), Ok(None))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let mut child = self.child.lock().expect("not poisoned");
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn spawn(settings: &Path) -> Child {
    let log = settings.with_extension("log");
    let log = fs::OpenOptions::new().create(true).append(true).open(log);
    Command::new(PROGRAM)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("HOME", std::env::var_os("HOME").unwrap_or_default())
        .env("MUSTARDBAY_NODE_FILE", settings)
        .env("MIMALLOC_ALLOW_THP", "0")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log.expect("a log file"))
        .spawn()
        .expect("the program starts")
}

/// Anonymous memory of a process, without its program file.
fn anonymous_kib(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
