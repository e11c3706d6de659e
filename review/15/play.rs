//! The operator changes `graceS` to a fraction, and the platform stops and starts the machine.

#[path = "../standins-3/site.rs"]
mod site;

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::process::exit;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use site::client::Client;
use site::group::Figures;
use site::group::Groups;
use site::json::Json;
use site::record::Record;
use site::store::Store;
use site::template;
use site::vm::free_address;

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"leaflets","prefix":"/","routeType":"bounded_staleness","timeoutMs":2000,"targetLatencyMs":500,"priority":2,"service":"huvo11a","maxAttempts":2,"maxStalenessMs":1500,"authExempt":false}],"services":[{"name":"huvo11a","healthPath":"/health","maxConns":22,"protocol":"h1","tls":false,"syncReplicas":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000},"tenants":[{"name":"nypu920","apiKeys":["key-1"],"priority":1,"ratePerS":119,"burst":119}]}"#;

/// Starts that the platform tries; it starts a process that ended again after a short delay.
const STARTS: usize = 3;
/// Longest time from a start to the first answer.
const SERVE_TIME: Duration = Duration::from_secs(15);

/// The machine, as the platform knows it.
struct Machine {
    fields: String,
    entry: SocketAddr,
    settings: PathBuf,
    record: Record,
}

impl Machine {
    /// Writes the settings file with a value of `graceS`.
    fn write_settings(&self, grace: &str) {
        let fields = self.fields.replace("GRACE", grace);
        let fields = Json::parse(&fields).expect("the fields are JSON");
        let text = fs::read_to_string("deploy/settings.yaml").expect("the template");
        let text = template::fill(&text, &fields).expect("a valid template");
        fs::write(&self.settings, text).expect("the settings are written");
        self.record
            .line(&format!("settings written with graceS {grace}"));
    }

    fn start(&self) -> Child {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("a log file");
        let child = Command::new("target/release/mustardbay-vm")
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("HOME", env::var_os("HOME").unwrap_or_default())
            .env("MUSTARDBAY_NODE_FILE", &self.settings)
            .env("MIMALLOC_ALLOW_THP", "0")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record.line(&format!("process {} started", child.id()));
        child
    }

    /// Waits until the machine serves; `false` if its process ends or the time is over.
    fn serves(&self, child: &mut Child) -> bool {
        let until = Instant::now() + SERVE_TIME;
        loop {
            if let Ok(Some(status)) = child.try_wait() {
                self.record
                    .line(&format!("process {} ended by itself: {status}", child.id()));
                return false;
            }
            let answer = Client::start(self.entry, "leaflets", "key-1")
                .and_then(|mut client| client.ask("probe", "READ seed"));
            if answer.is_ok_and(|answer| answer.result.is_ok()) {
                self.record.line("a read is served");
                return true;
            }
            if Instant::now() > until {
                self.record.line("nothing is served in time");
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

fn signal(child: &Child, name: &str, record: &Record) {
    record.line(&format!("{name} to process {}", child.id()));
    let sent = Command::new("kill")
        .args([format!("-{name}"), child.id().to_string()])
        .status();
    assert!(
        sent.is_ok_and(|status| status.success()),
        "the signal is sent"
    );
}

fn main() {
    let folder = PathBuf::from(env::args().nth(1).expect("the folder of the case"));
    let temporary = PathBuf::from(env::args().nth(2).expect("a temporary folder"));
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    let figures = Figures {
        slots: 3,
        work: Duration::from_millis(6),
        max_connections: 22,
        rows: 1,
        row: "a",
    };
    let groups = Groups::start(
        &["huvo11a"],
        &["oslo-a", "oslo-b", "hamar"],
        figures,
        record.clone(),
    );
    let store = Store::start(groups, record.clone());
    store.put("op/config", CONFIGURATION);
    let machine = machine(&store, &temporary, &record);
    machine.write_settings("6");
    let mut child = machine.start();
    if !machine.serves(&mut child) {
        let _ = child.kill();
        let _ = child.wait();
        exit(2);
    }
    machine.write_settings(if trouble { "6.5" } else { "7" });
    signal(&child, "HUP", &record);
    thread::sleep(Duration::from_secs(1));
    signal(&child, "TERM", &record);
    let ended = wait(&mut child, Duration::from_secs(7));
    record.line(&format!("stopped: {ended}"));
    let mut served = false;
    for _ in 0..STARTS {
        let mut child = machine.start();
        served = machine.serves(&mut child);
        let _ = child.kill();
        let _ = child.wait();
        if served {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    let log = fs::read_to_string(machine.settings.with_extension("log")).unwrap_or_default();
    for line in log.lines().rev().take(2) {
        record.line(&format!(
            "last log lines: {}",
            line.replace(&*temporary.to_string_lossy(), "")
        ));
    }
    record.line(&format!("served after the restart: {served}"));
    println!("served after the restart: {served}");
    exit(i32::from(!served));
}

/// Waits for the end of a process, and ends it then.
fn wait(child: &mut Child, time: Duration) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if matches!(child.try_wait(), Ok(Some(_))) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let _ = child.kill();
    let _ = child.wait();
    false
}

fn machine(store: &Store, temporary: &Path, record: &Record) -> Machine {
    let ip = "127.0.4.1";
    let [entry, ready, control] = [(); 3].map(|()| free_address(ip));
    let (link, admin) = (free_address(ip).port(), free_address(ip).port());
    let fields = format!(
        r#"{{"nodeName":"edge-oslo-a-1","role":"vm","nodeClass":"edge","ip":"{ip}","zone":"oslo-a","region":"norge-ost","zones":{{"oslo-a":"norge-ost","oslo-b":"norge-ost","hamar":"norge-ost"}},"listen":{{"frontend":"{entry}","readiness":"{ready}","control":"{control}"}},"internalPorts":[{link},{admin}],"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4300,"linkMbps":1000.0,"diskMb":0}},"bounds":{{"stableMs":4000,"drainMs":7000,"graceS":GRACE,"revokeMs":5000,"quotaWindowS":5,"quotaBurst":0.1}},"platform":{{"address":"{0}"}},"cloudApi":{{"address":"{0}"}}}}"#,
        store.address
    );
    Machine {
        fields,
        entry,
        settings: temporary.join("local.yaml"),
        record: record.clone(),
    }
}
