//! A small deployment: platform, one database service and vms, with bounds as on klarsprak-drift.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::database::Database;
use crate::database::MAX_CONNECTIONS;
use crate::database::SERVERS;
use crate::database::SERVICE;
use crate::database::server_id;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;

/// Time between two liveness reports of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Liveness reports that a server may miss before its entry is removed.
const MISSED_REPORTS: u32 = 3;

/// Route of a configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub host: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
}

/// Tenant of a configuration.
#[derive(Debug, Clone)]
pub struct Tenant {
    pub name: &'static str,
    pub keys: Vec<&'static str>,
}

/// Content of a configuration, without its version.
#[derive(Debug, Clone)]
pub struct Configuration {
    pub routes: Vec<Route>,
    pub tenants: Vec<Tenant>,
    pub sync_replicas: u32,
}

impl Configuration {
    fn document(&self, version: u64) -> String {
        let routes: Vec<String> = self
            .routes
            .iter()
            .map(|route| {
                format!(
                    "{{\"name\":\"r-{0}\",\"host\":\"{0}\",\"prefix\":\"/\",\"routeType\":\"{1}\",\
                     \"timeoutMs\":{2},\"targetLatencyMs\":500,\"priority\":1,\
                     \"service\":\"{SERVICE}\",\"maxAttempts\":2,\"maxStalenessMs\":1500,\
                     \"authExempt\":false}}",
                    route.host, route.kind, route.timeout_ms
                )
            })
            .collect();
        let tenants: Vec<String> = self
            .tenants
            .iter()
            .map(|tenant| {
                let keys: Vec<String> = tenant.keys.iter().map(|k| format!("\"{k}\"")).collect();
                format!(
                    "{{\"name\":\"{}\",\"apiKeys\":[{}],\"priority\":1,\"ratePerS\":500,\"burst\":500}}",
                    tenant.name,
                    keys.join(",")
                )
            })
            .collect();
        format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"healthPath\":\"/health\",\"maxConns\":{MAX_CONNECTIONS},\"protocol\":\"h1\",\
             \"tls\":false,\"syncReplicas\":{}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\
             \"txIdleMs\":3000}},\"tenants\":[{}]}}",
            routes.join(","),
            self.sync_replicas,
            tenants.join(",")
        )
    }
}

/// Platform, database and vms of one case.
pub struct Site {
    pub store: Store,
    pub database: Database,
    pub fleet: Fleet,
    pub record: Arc<Record>,
    /// Servers that cannot reach the store.
    cut_servers: Arc<Mutex<Vec<usize>>>,
    version: u64,
}

impl Site {
    /// Starts everything and waits until all vms serve `route` with `key`.
    pub fn start(
        vms: usize,
        configuration: &Configuration,
        record: &Arc<Record>,
        evacuation_ms: Option<u32>,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let database = Database::start(Arc::clone(record))?;
        database.set_sync_replicas(configuration.sync_replicas as usize);
        let store = Store::start(database.clone(), Arc::clone(record))?;
        store.put("op/config", &configuration.document(7));
        let cut_servers: Arc<Mutex<Vec<usize>>> = Arc::default();
        start_reports(&store, &database, &cut_servers);
        let fleet = Fleet::start(vms, &store, record, evacuation_ms)?;
        let first = &configuration.routes[0];
        fleet.wait_until_served(first.host, configuration.tenants[0].keys[0])?;
        Ok(Self {
            store,
            database,
            fleet,
            record: Arc::clone(record),
            cut_servers,
            version: 7,
        })
    }

    /// Writes a new configuration; returns when the store acknowledged it.
    pub fn configure(&mut self, configuration: &Configuration) -> Instant {
        self.version += 3;
        self.store
            .put("op/config", &configuration.document(self.version));
        self.record.note(format!(
            "operator: configuration {} acknowledged",
            self.version
        ));
        Instant::now()
    }

    /// Partitions a server from the store, or reconnects it; the vms still reach it.
    pub fn cut_from_store(&self, server: usize, cut: bool) {
        let mut servers = self.cut_servers.lock().unwrap();
        servers.retain(|other| *other != server);
        if cut {
            servers.push(server);
        }
        self.record.note(format!(
            "network: {} is {} the store",
            server_id(server),
            if cut {
                "cut off from"
            } else {
                "connected again to"
            }
        ));
    }
}

/// Time of a server's last report, with the primary and whether the server was draining then.
type Reported = (Instant, (usize, bool));

/// Starts the servers' liveness reports, and the removal of entries that are not renewed.
fn start_reports(store: &Store, database: &Database, cut_servers: &Arc<Mutex<Vec<usize>>>) {
    let store = store.clone();
    let database = database.clone();
    let cut_servers = Arc::clone(cut_servers);
    let report = move |reported: &mut [Option<Reported>; SERVERS], seq: u64| {
        let primary = database.primary();
        for (index, last) in reported.iter_mut().enumerate() {
            let key = format!("servers/{}", server_id(index));
            let phase = (primary, database.is_draining(index));
            let is_due = last.is_none_or(|(at, known)| at.elapsed() >= HEARTBEAT || known != phase);
            let is_cut = cut_servers.lock().unwrap().contains(&index);
            let entry = database.registration(index, seq);
            if let Some(entry) = entry.filter(|_| !is_cut) {
                if is_due {
                    store.put(&key, &entry);
                    *last = Some((Instant::now(), phase));
                }
            } else if last.is_some_and(|(at, _)| at.elapsed() >= HEARTBEAT * MISSED_REPORTS) {
                store.remove(&key);
                *last = None;
            }
        }
    };
    let mut reported = [None; SERVERS];
    report(&mut reported, 1);
    std::thread::spawn(move || {
        for seq in 2.. {
            std::thread::sleep(Duration::from_millis(20));
            report(&mut reported, seq);
        }
    });
}
