//! Stand-in of the services: each a primary and its replicas, which speak the line protocol on loopback.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::BufWriter;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::record::Record;

/// One committed transaction.
#[derive(Debug, Clone)]
pub struct Commit {
    pub term: u64,
    pub at: Instant,
    /// Item, data, id of the client's statement.
    pub writes: Vec<(String, String, String)>,
}

/// One backend.
#[derive(Debug, Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub log: Vec<Commit>,
    /// Replication lag of this backend.
    pub lag: Duration,
    /// Whether it runs; one that does not accepts nothing and its connections end.
    pub up: bool,
    /// Whether its state is `draining`.
    pub draining: bool,
    busy: usize,
    connections: usize,
}

#[derive(Debug)]
struct Service {
    term: u64,
    primary: usize,
    backends: Vec<Backend>,
}

/// Figures that all backends share.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    pub slots: usize,
    pub work: Duration,
    pub max_connections: usize,
    /// Rows of the answer to a read of the item `table`, and their text.
    pub rows: usize,
    pub row: &'static str,
}

/// All services; clones share them.
#[derive(Clone)]
pub struct Groups {
    services: Arc<Mutex<BTreeMap<String, Service>>>,
    freed: Arc<Condvar>,
    figures: Figures,
    record: Record,
    /// Statements of clients that ran: id, tenant, time.
    pub ran: Arc<Mutex<Vec<(String, String, Instant)>>>,
}

impl Groups {
    /// Starts services with one backend in each zone, the first as primary.
    pub fn start(services: &[&str], zones: &[&str], figures: Figures, record: Record) -> Groups {
        let groups = Groups {
            services: Arc::default(),
            freed: Arc::default(),
            figures,
            record,
            ran: Arc::default(),
        };
        for service in services {
            let mut backends = Vec::new();
            let mut listeners = Vec::new();
            for (index, zone) in zones.iter().enumerate() {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                backends.push(Backend {
                    id: format!("i-{service}-{index}"),
                    service: (*service).to_owned(),
                    zone: (*zone).to_owned(),
                    address: listener.local_addr().expect("bound"),
                    log: vec![Commit {
                        term: 1,
                        at: Instant::now(),
                        writes: vec![("seed".into(), "0".into(), "-".into())],
                    }],
                    lag: Duration::from_millis(if index == 0 { 0 } else { 20 }),
                    up: true,
                    draining: false,
                    busy: 0,
                    connections: 0,
                });
                listeners.push(listener);
            }
            let service_state = Service {
                term: 1,
                primary: 0,
                backends,
            };
            let mut all = groups.services.lock().expect("not poisoned");
            all.insert((*service).to_owned(), service_state);
            drop(all);
            for (index, listener) in listeners.into_iter().enumerate() {
                let groups = groups.clone();
                let service = (*service).to_owned();
                thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let groups = groups.clone();
                        let service = service.clone();
                        thread::spawn(move || {
                            Connection::new(groups, service, index).serve(stream)
                        });
                    }
                });
            }
        }
        let replicating = groups.clone();
        thread::spawn(move || {
            loop {
                replicating.replicate();
                thread::sleep(Duration::from_millis(2));
            }
        });
        groups
    }

    /// Calls `change` with one backend.
    pub fn backend<T>(
        &self,
        service: &str,
        index: usize,
        change: impl FnOnce(&mut Backend) -> T,
    ) -> T {
        let mut all = self.services.lock().expect("not poisoned");
        let service = all.get_mut(service).expect("a known service");
        change(&mut service.backends[index])
    }

    /// Returns the index of the primary.
    pub fn primary(&self, service: &str) -> usize {
        self.services.lock().expect("not poisoned")[service].primary
    }

    /// Store entries of the backends that run.
    pub fn entries(&self) -> BTreeMap<String, String> {
        let all = self.services.lock().expect("not poisoned");
        let mut entries = BTreeMap::new();
        for (name, service) in all.iter() {
            for (index, backend) in service.backends.iter().enumerate() {
                if !backend.up {
                    continue;
                }
                let role = if index == service.primary {
                    "primary"
                } else {
                    "replica"
                };
                let state = if backend.draining {
                    "draining"
                } else {
                    "ready"
                };
                let document = format!(
                    "{{\"service\":\"{name}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"warmupLeftMs\":0,\"dbRole\":\"{role}\",\"seq\":1,\"born\":1700000000000}}",
                    backend.address, backend.zone, self.figures.slots
                );
                entries.insert(format!("servers/{}", backend.id), document);
            }
        }
        entries
    }

    /// Makes a backend the primary of the next term; `false` if it does not run.
    pub fn promote(&self, service: &str, id: &str) -> bool {
        let mut all = self.services.lock().expect("not poisoned");
        let Some(service) = all.get_mut(service) else {
            return false;
        };
        let Some(index) = service.backends.iter().position(|b| b.id == id && b.up) else {
            return false;
        };
        if service.primary != index {
            service.primary = index;
            service.term += 1;
            let length = service.backends[index].log.len();
            for backend in &mut service.backends {
                backend.log.truncate(length);
            }
        }
        true
    }

    fn replicate(&self) {
        let now = Instant::now();
        let mut all = self.services.lock().expect("not poisoned");
        for service in all.values_mut() {
            let primary = service.primary;
            if !service.backends[primary].up {
                continue;
            }
            for index in 0..service.backends.len() {
                if index == primary || !service.backends[index].up {
                    continue;
                }
                let lag = service.backends[index].lag;
                let have = service.backends[index].log.len();
                let more: Vec<Commit> = service.backends[primary]
                    .log
                    .iter()
                    .skip(have)
                    .take_while(|commit| now.duration_since(commit.at) >= lag)
                    .cloned()
                    .collect();
                service.backends[index].log.extend(more);
            }
        }
    }

    /// Takes a slot of a backend, as long as it runs.
    fn take_slot(&self, service: &str, index: usize) -> bool {
        let mut all = self.services.lock().expect("not poisoned");
        loop {
            let backend = &mut all.get_mut(service).expect("a known service").backends[index];
            if !backend.up {
                return false;
            }
            if backend.busy < self.figures.slots {
                backend.busy += 1;
                return true;
            }
            let waited = self.freed.wait_timeout(all, Duration::from_millis(50));
            all = waited.expect("not poisoned").0;
        }
    }

    fn free_slot(&self, service: &str, index: usize) {
        self.backend(service, index, |backend| backend.busy -= 1);
        self.freed.notify_all();
    }
}

/// State of one connection to a backend.
struct Connection {
    groups: Groups,
    service: String,
    index: usize,
    tenant: String,
    /// Writes of the open transaction and whether it may write; `None` while none is open.
    transaction: Option<(bool, Vec<(String, String, String)>)>,
    failed: bool,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, bool>,
}

impl Connection {
    fn new(groups: Groups, service: String, index: usize) -> Connection {
        Connection {
            groups,
            service,
            index,
            tenant: String::new(),
            transaction: None,
            failed: false,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
        }
    }

    fn is_up(&self) -> bool {
        self.groups.backend(&self.service, self.index, |b| b.up)
    }

    fn serve(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let mut writer = BufWriter::with_capacity(256 * 1024, writer);
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        let mut counted = false;
        loop {
            let read = reader.read_line(&mut line);
            if !self.is_up() {
                break;
            }
            match read {
                Ok(0) => break,
                Ok(_) if line.ends_with('\n') => {}
                Ok(_) => continue,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(_) => break,
            }
            let text = line.trim_end_matches(['\r', '\n']).to_owned();
            line.clear();
            let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
            let done = match word {
                "START" => {
                    let fields: Vec<String> = rest.split(' ').map(str::to_owned).collect();
                    let (id, full) = self.groups.backend(&self.service, self.index, |b| {
                        (
                            b.id.clone(),
                            b.connections >= self.groups.figures.max_connections,
                        )
                    });
                    let named = fields.get(2).is_none_or(|named| *named == id);
                    if fields[0] != self.service || !named {
                        let _ = write!(writer, "ERROR MISROUTED x\r\n");
                        let _ = writer.flush();
                        break;
                    }
                    if full {
                        let _ = write!(writer, "ERROR TOOMANY x\r\n");
                        let _ = writer.flush();
                        break;
                    }
                    counted = true;
                    self.groups
                        .backend(&self.service, self.index, |b| b.connections += 1);
                    self.tenant = fields.get(1).cloned().unwrap_or_default();
                    thread::sleep(Duration::from_millis(2));
                    self.ready(&mut writer)
                }
                "QUERY" => {
                    let (id, query) = rest.split_once(' ').unwrap_or((rest, ""));
                    self.query(id, query, &mut writer)
                }
                _ => break,
            };
            if done.and_then(|()| writer.flush()).is_err() {
                break;
            }
        }
        if counted {
            self.groups
                .backend(&self.service, self.index, |b| b.connections -= 1);
        }
    }

    fn ready(&self, writer: &mut impl Write) -> std::io::Result<()> {
        let state = match (&self.transaction, self.failed) {
            (_, true) => 'E',
            (Some(_), false) => 'T',
            (None, false) => 'I',
        };
        let term = self.groups.services.lock().expect("not poisoned")[&self.service].term;
        let length = self
            .groups
            .backend(&self.service, self.index, |b| b.log.len());
        write!(writer, "READY {state} {term}.{length}\r\n")
    }

    fn query(&mut self, id: &str, query: &str, writer: &mut impl Write) -> std::io::Result<()> {
        let (after, query) = match query.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or((rest, "")),
            None => ("", query),
        };
        let needed: usize = after
            .split_once('.')
            .and_then(|(_, number)| number.parse().ok())
            .unwrap_or(0);
        let length = self
            .groups
            .backend(&self.service, self.index, |b| b.log.len());
        let ran = if length < needed {
            Err("LAGGING")
        } else {
            self.run(id, query, writer)?
        };
        match ran {
            Ok(signed) => {
                let signature = if signed {
                    format!("sig.{}.{id}", self.index)
                } else {
                    "-".to_owned()
                };
                write!(writer, "COMPLETE {signature}\r\n")?;
            }
            Err(code) => {
                self.failed |= self.transaction.is_some();
                write!(writer, "ERROR {code} x\r\n")?;
            }
        }
        self.ready(writer)
    }

    /// Runs a query; tells whether its answer is signed, or the error code.
    fn run(
        &mut self,
        id: &str,
        query: &str,
        writer: &mut impl Write,
    ) -> std::io::Result<Result<bool, &'static str>> {
        let (word, rest) = query.split_once(' ').unwrap_or((query, ""));
        let is_primary = self.groups.primary(&self.service) == self.index;
        if self.failed && word != "ROLLBACK" && word != "COMMIT" {
            return Ok(Err("MALFORMED"));
        }
        let works = matches!(word, "READ" | "WRITE" | "EXECUTE" | "COMMIT");
        if works {
            if !self.groups.take_slot(&self.service, self.index) {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            thread::sleep(self.groups.figures.work);
        }
        let result = self.run_now(id, word, rest, is_primary, writer);
        if works {
            self.groups.free_slot(&self.service, self.index);
        }
        result
    }

    fn run_now(
        &mut self,
        id: &str,
        word: &str,
        rest: &str,
        is_primary: bool,
        writer: &mut impl Write,
    ) -> std::io::Result<Result<bool, &'static str>> {
        let plain = matches!(self.transaction, Some((true, _)));
        match word {
            "STATUS" | "PAUSE" | "CONTINUE" => {
                let role = if is_primary { "primary" } else { "replica" };
                let term = self.groups.services.lock().expect("not poisoned")[&self.service].term;
                let (length, busy, connections) =
                    self.groups.backend(&self.service, self.index, |b| {
                        (b.log.len(), b.busy, b.connections)
                    });
                write!(
                    writer,
                    "ROW {role} {term} {term}.{length} 0 0 {busy} {connections}\r\n"
                )?;
                Ok(Ok(false))
            }
            "BEGIN" if rest.is_empty() && !is_primary => Ok(Err("READONLY")),
            "BEGIN" => {
                self.transaction = Some((rest.is_empty(), Vec::new()));
                Ok(Ok(false))
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.failed = false;
                Ok(Ok(false))
            }
            "COMMIT" if self.failed => {
                self.transaction = None;
                self.failed = false;
                Ok(Err("ABORTED"))
            }
            "COMMIT" => {
                let (_, writes) = self.transaction.take().unwrap_or_default();
                if writes.is_empty() {
                    return Ok(Ok(true));
                }
                if !is_primary {
                    return Ok(Err("READONLY"));
                }
                self.commit(id, writes);
                Ok(Ok(true))
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.to_owned(), value.to_owned());
                Ok(Ok(false))
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                Ok(Ok(false))
            }
            "PREPARE" => {
                let mut fields = rest.split(' ');
                let name = fields.next().unwrap_or_default().to_owned();
                self.prepared.insert(name, fields.next() == Some("WRITE"));
                Ok(Ok(false))
            }
            "DEALLOC" => Ok(Ok(false)),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.prepared.get(name) {
                    Some(true) => self.run_now(id, "WRITE", arguments, is_primary, writer),
                    Some(false) => self.run_now(id, "READ", arguments, is_primary, writer),
                    None => Ok(Err("NOSTMT")),
                }
            }
            "READ" if plain && !is_primary => Ok(Err("READONLY")),
            "READ" => {
                self.note(id, &format!("READ {rest}"));
                if rest == "table" {
                    for _ in 0..self.groups.figures.rows {
                        write!(writer, "ROW {}\r\n", self.groups.figures.row)?;
                    }
                    return Ok(Ok(true));
                }
                let found = self.groups.backend(&self.service, self.index, |b| {
                    let mut commits = b.log.iter().rev();
                    commits.find_map(|commit| {
                        let mut writes = commit.writes.iter().rev();
                        writes.find(|(item, ..)| item == rest).map(|w| w.1.clone())
                    })
                });
                if let Some(data) = found {
                    write!(writer, "ROW {data}\r\n")?;
                }
                Ok(Ok(true))
            }
            "WRITE" if !is_primary => Ok(Err("READONLY")),
            "WRITE" => {
                self.note(id, &format!("WRITE {rest}"));
                let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                let write = (item.to_owned(), data.to_owned(), id.to_owned());
                match &mut self.transaction {
                    Some((_, writes)) => writes.push(write),
                    None => self.commit(id, vec![write]),
                }
                Ok(Ok(true))
            }
            _ => Ok(Err("MALFORMED")),
        }
    }

    fn note(&self, id: &str, text: &str) {
        let ran = (id.to_owned(), self.tenant.clone(), Instant::now());
        self.groups.ran.lock().expect("not poisoned").push(ran);
        let backend = self
            .groups
            .backend(&self.service, self.index, |b| b.id.clone());
        self.groups
            .record
            .line(&format!("{backend} runs {id} for {}: {text}", self.tenant));
    }

    fn commit(&self, id: &str, writes: Vec<(String, String, String)>) {
        let mut all = self.groups.services.lock().expect("not poisoned");
        let service = all.get_mut(&self.service).expect("a known service");
        let term = service.term;
        service.backends[self.index].log.push(Commit {
            term,
            at: Instant::now(),
            writes,
        });
        let length = service.backends[self.index].log.len();
        drop(all);
        self.groups
            .record
            .line(&format!("{} commits {id} as {term}.{length}", self.service));
    }
}
