//! Stand-in of a database service: one primary and two replicas that speak the line protocol.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;

/// Number of servers.
pub const SERVERS: usize = 3;
/// Name of the service.
pub const SERVICE: &str = "adapt-core";
/// Statements that a server runs at a time.
const SLOTS: usize = 3;
/// Statements that may wait for a slot; beyond them a server answers `BUSY`.
const QUEUE: usize = 24;
/// Connections that a server accepts from all callers.
pub const MAX_CONNECTIONS: usize = 22;
/// Time that a statement takes.
const WORK: Duration = Duration::from_millis(6);
/// Time that a commit takes.
const COMMIT_WORK: Duration = Duration::from_millis(2);
/// Time for which a new connection occupies a slot.
const START_WORK: Duration = Duration::from_millis(12);
/// Time for which `STATUS` occupies a slot.
const STATUS_WORK: Duration = Duration::from_millis(1);
/// Time in which a replica receives a commit.
const NETWORK: Duration = Duration::from_millis(1);
/// Time from the receipt of a commit until a replica has applied it.
const APPLY: Duration = Duration::from_millis(60);
/// Time from a promotion call until the server leads.
const PROMOTE: Duration = Duration::from_millis(300);

/// Commit in the log of the service.
#[derive(Debug, Clone)]
pub struct Entry {
    pub term: u64,
    /// Ids of the statements that wrote.
    pub ids: Vec<String>,
    /// Items and their new data.
    pub writes: Vec<(String, String)>,
    at: Instant,
}

/// Statement of a caller that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: usize,
    pub tenant: String,
    pub id: String,
    pub text: String,
    pub at: Instant,
}

struct Server {
    address: SocketAddr,
    running: bool,
    draining: bool,
    /// Whether it receives nothing of the log.
    deaf: bool,
    /// Entries that it has received, with the time of receipt.
    received: Vec<Instant>,
    /// Statements that hold a slot, and those that wait for one.
    busy: usize,
    queued: usize,
    /// Open connections, to be broken when it stops.
    streams: BTreeMap<u64, TcpStream>,
}

struct State {
    term: u64,
    /// Index of the primary.
    primary: usize,
    log: Vec<Entry>,
    servers: Vec<Server>,
    runs: Vec<Run>,
    /// Replicas that must have received a commit before it is acknowledged.
    sync_replicas: usize,
    /// Items on which a statement takes longer, with the time.
    slow_items: BTreeMap<String, Duration>,
    /// Ids of all commits that a promotion rolled back.
    rolled_back: BTreeSet<String>,
    next_stream: u64,
    next_signature: u64,
}

/// The service; clones share its state.
#[derive(Clone)]
pub struct Database {
    state: Arc<Mutex<State>>,
    /// Notified when a slot is free or the log has changed.
    changed: Arc<Condvar>,
    record: Arc<Record>,
}

/// Returns the id of a server.
pub fn server_id(index: usize) -> String {
    format!("i-{}", ["7f3a91c2", "a18b02d4", "c90e55f1"][index])
}

/// Returns the zone of a server.
pub fn server_zone(index: usize) -> &'static str {
    ["oslo-a", "oslo-b", "hamar"][index]
}

impl Database {
    /// Starts three servers, the first as primary.
    pub fn start(record: Arc<Record>) -> std::io::Result<Self> {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..SERVERS {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            servers.push(Server {
                address: listener.local_addr()?,
                running: true,
                draining: false,
                deaf: false,
                received: Vec::new(),
                busy: 0,
                queued: 0,
                streams: BTreeMap::new(),
            });
            listeners.push(listener);
        }
        let database = Self {
            state: Arc::new(Mutex::new(State {
                term: 3,
                primary: 0,
                log: Vec::new(),
                servers,
                runs: Vec::new(),
                sync_replicas: 0,
                slow_items: BTreeMap::new(),
                rolled_back: BTreeSet::new(),
                next_stream: 0,
                next_signature: 0,
            })),
            changed: Arc::new(Condvar::new()),
            record,
        };
        for (index, listener) in listeners.into_iter().enumerate() {
            let database = database.clone();
            std::thread::spawn(move || database.accept(index, listener));
        }
        Ok(database)
    }

    /// Sets how many replicas must have received a commit before it is acknowledged.
    pub fn set_sync_replicas(&self, count: usize) {
        self.lock().sync_replicas = count;
    }

    /// Sets the time that a statement on an item takes.
    pub fn set_item_work(&self, item: &str, work: Duration) {
        self.lock().slow_items.insert(item.to_owned(), work);
    }

    /// Makes a server report that it is leaving; it serves and receives until it ends.
    pub fn drain(&self, index: usize) {
        self.lock().servers[index].draining = true;
        self.record
            .note(format!("database: {} is draining", server_id(index)));
    }

    /// Makes a replica receive nothing, or receive again.
    pub fn set_deaf(&self, index: usize, deaf: bool) {
        self.lock().servers[index].deaf = deaf;
        self.record.note(format!(
            "database: {} receives {}",
            server_id(index),
            if deaf { "nothing" } else { "again" }
        ));
    }

    /// Crashes a server: its connections break, and new ones are refused.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let server = &mut state.servers[index];
        server.running = false;
        for stream in server.streams.values() {
            let _ended = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record
            .note(format!("database: {} crashes", server_id(index)));
        self.changed.notify_all();
    }

    /// Returns the index of the primary.
    pub fn primary(&self) -> usize {
        self.lock().primary
    }

    /// Tells whether a server is leaving.
    pub fn is_draining(&self, index: usize) -> bool {
        self.lock().servers[index].draining
    }

    /// Returns the statements of callers that ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the log of the primary.
    pub fn log(&self) -> Vec<Entry> {
        self.lock().log.clone()
    }

    /// Returns the ids of the statements whose commit a promotion rolled back.
    pub fn rolled_back(&self) -> BTreeSet<String> {
        self.lock().rolled_back.clone()
    }

    /// Returns the entry with which a running server registers itself.
    pub fn registration(&self, index: usize, seq: u64) -> Option<String> {
        let state = self.lock();
        let server = &state.servers[index];
        server.running.then(|| {
            let role = if state.primary == index {
                "primary"
            } else {
                "replica"
            };
            let phase = if server.draining { "draining" } else { "ready" };
            format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{SLOTS},\"state\":\"{phase}\",\"warmupLeftMs\":0,\"dbRole\":\"{role}\",\
                 \"seq\":{seq},\"born\":1764900000000}}",
                server.address,
                server_zone(index)
            )
        })
    }

    /// Makes a server the primary after a while; returns whether the call is accepted.
    pub fn promote(&self, id: &str) -> bool {
        let Some(index) = (0..SERVERS).find(|index| server_id(*index) == id) else {
            return false;
        };
        let state = self.lock();
        if !state.servers[index].running {
            return false;
        }
        if state.primary != index {
            let database = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(PROMOTE);
                database.lead(index);
            });
        }
        true
    }

    /// Makes a server lead the next term with what it has received, and nothing more.
    fn lead(&self, index: usize) {
        let mut state = self.lock();
        state.deliver(Instant::now());
        let kept = state.servers[index].received.len();
        let dropped = state.log.split_off(kept);
        let before = state.primary;
        state.primary = index;
        state.term += 1;
        for server in &mut state.servers {
            server.received.truncate(kept);
        }
        let old = &mut state.servers[before].received;
        while old.len() < kept {
            old.push(Instant::now());
        }
        for entry in &dropped {
            state.rolled_back.extend(entry.ids.iter().cloned());
        }
        let term = state.term;
        drop(state);
        self.record.note(format!(
            "database: {} leads term {term} with {kept} entries; {} entries are rolled back",
            server_id(index),
            dropped.len()
        ));
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn accept(&self, index: usize, listener: TcpListener) {
        while self.lock().servers[index].running {
            match listener.accept() {
                Ok((stream, _)) => {
                    let database = self.clone();
                    std::thread::spawn(move || database.serve(index, stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        let prepared = stream
            .set_nonblocking(false)
            .and_then(|()| stream.set_nodelay(true));
        let (Ok(()), Ok(kept)) = (prepared, stream.try_clone()) else {
            return;
        };
        let mut state = self.lock();
        let number = state.next_stream;
        state.next_stream += 1;
        state.servers[index].streams.insert(number, kept);
        drop(state);
        let mut connection = Connection {
            database: self.clone(),
            index,
            tenant: String::new(),
            transaction: None,
            prepared: BTreeMap::new(),
        };
        connection.serve(stream);
        self.lock().servers[index].streams.remove(&number);
    }

    /// Waits for a slot and holds it for the given time; returns whether there was room in the queue.
    fn occupy(&self, index: usize, work: Duration) -> bool {
        let mut state = self.lock();
        if state.servers[index].busy >= SLOTS {
            if state.servers[index].queued >= QUEUE {
                return false;
            }
            state.servers[index].queued += 1;
            while state.servers[index].busy >= SLOTS {
                state = self.changed.wait(state).unwrap();
            }
            state.servers[index].queued -= 1;
        }
        state.servers[index].busy += 1;
        drop(state);
        std::thread::sleep(work);
        self.lock().servers[index].busy -= 1;
        self.changed.notify_all();
        true
    }
}

impl State {
    /// Lets the replicas receive what has been committed.
    fn deliver(&mut self, now: Instant) {
        let primary = self.primary;
        for (index, server) in self.servers.iter_mut().enumerate() {
            if index == primary {
                server.received.resize(self.log.len(), now);
            }
            while index != primary && server.running && !server.deaf {
                let next = self.log.get(server.received.len());
                let Some(entry) = next.filter(|entry| now - entry.at >= NETWORK) else {
                    break;
                };
                server.received.push(entry.at + NETWORK);
            }
        }
    }

    /// Returns how many entries a server has applied.
    fn applied(&self, index: usize, now: Instant) -> usize {
        if index == self.primary {
            return self.log.len();
        }
        let received = &self.servers[index].received;
        received.partition_point(|at| now.saturating_duration_since(*at) >= APPLY)
    }

    /// Returns a position for a number of entries.
    fn position(&self, index: usize, entries: usize) -> String {
        let term = if index == self.primary {
            self.term
        } else {
            let newest = entries.checked_sub(1).and_then(|last| self.log.get(last));
            newest.map_or(3, |entry| entry.term)
        };
        format!("{term}.{}", 1_000 + entries)
    }
}

/// State of one connection to a server.
struct Connection {
    database: Database,
    index: usize,
    tenant: String,
    transaction: Option<Transaction>,
    /// Whether each prepared statement writes, by name.
    prepared: BTreeMap<String, bool>,
}

#[derive(Default)]
struct Transaction {
    only_reads: bool,
    failed: bool,
    /// Term in which it began.
    term: u64,
    ids: Vec<String>,
    writes: Vec<(String, String)>,
}

/// Rows of a statement, or its error code.
type Answer = Result<Vec<String>, &'static str>;

impl Connection {
    fn serve(&mut self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let Some(line) = read_line(&mut reader) else {
                return;
            };
            let Some(reply) = self.reply(&line) else {
                return;
            };
            let crashed = !self.database.lock().servers[self.index].running;
            if crashed || writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
            if reply.starts_with("ERROR") && self.tenant.is_empty() {
                return;
            }
        }
    }

    /// Returns the reply to a message; none closes the connection.
    fn reply(&mut self, line: &str) -> Option<String> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "START" => Some(self.start(rest)),
            "QUERY" => {
                let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                let answer = match self.run(id, text) {
                    Ok(rows) => {
                        let rows: String = rows.iter().map(|r| format!("ROW {r}\r\n")).collect();
                        format!("{rows}COMPLETE {}\r\n", self.signature(id))
                    }
                    Err(code) => {
                        if let Some(transaction) = &mut self.transaction {
                            transaction.failed = true;
                        }
                        format!("ERROR {code} {}\r\n", server_id(self.index))
                    }
                };
                Some(answer + &self.ready())
            }
            _ => None,
        }
    }

    fn start(&mut self, rest: &str) -> String {
        let fields: Vec<&str> = rest.split(' ').collect();
        let id = server_id(self.index);
        if fields.first() != Some(&SERVICE) || fields.get(2).is_some_and(|f| *f != id) {
            return format!("ERROR MISROUTED {id}\r\n");
        }
        if self.database.lock().servers[self.index].streams.len() > MAX_CONNECTIONS {
            return format!("ERROR TOOMANY {id}\r\n");
        }
        self.database.occupy(self.index, START_WORK);
        self.tenant = fields.get(1).copied().unwrap_or("").to_owned();
        self.ready()
    }

    fn ready(&self) -> String {
        let state = match &self.transaction {
            None => 'I',
            Some(transaction) if transaction.failed => 'E',
            Some(_) => 'T',
        };
        let now = Instant::now();
        let mut shared = self.database.lock();
        shared.deliver(now);
        let applied = shared.applied(self.index, now);
        format!("READY {state} {}\r\n", shared.position(self.index, applied))
    }

    fn signature(&self, id: &str) -> String {
        if id == "-" {
            return "-".to_owned();
        }
        let mut shared = self.database.lock();
        shared.next_signature += 1;
        format!("{}.{:x}", self.index, 0x90e1_0000 + shared.next_signature)
    }

    fn run(&mut self, id: &str, text: &str) -> Answer {
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest
                .split_once(' ')
                .map_or((None, rest), |(p, t)| (Some(p), t)),
            None => (None, text),
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.transaction.as_ref().is_some_and(|t| t.failed)
            && !matches!(word, "ROLLBACK" | "COMMIT")
        {
            return Err("MALFORMED");
        }
        match word {
            "STATUS" => self.status(),
            "RESET" => {
                self.prepared.clear();
                Ok(Vec::new())
            }
            "SET" | "DEALLOC" => Ok(Vec::new()),
            "PREPARE" => {
                let mut fields = rest.split(' ');
                let name = fields.next().unwrap_or_default().to_owned();
                self.prepared.insert(name, fields.next() == Some("WRITE"));
                Ok(Vec::new())
            }
            "BEGIN" => self.begin(rest == "READ", after),
            "ROLLBACK" => {
                self.transaction = None;
                Ok(Vec::new())
            }
            "COMMIT" => self.commit(id),
            "READ" => self.read(id, text, rest, after),
            "WRITE" => self.write(id, text, rest),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                let writes = *self.prepared.get(name).ok_or("NOSTMT")?;
                if writes {
                    self.write(id, text, arguments)
                } else {
                    self.read(id, text, arguments, after)
                }
            }
            _ => Err("MALFORMED"),
        }
    }

    fn is_primary(&self) -> bool {
        self.database.lock().primary == self.index
    }

    /// Tells whether the server has lost the lead since the open transaction began.
    fn lost_lead(&self) -> bool {
        let Some(transaction) = &self.transaction else {
            return false;
        };
        let shared = self.database.lock();
        !transaction.only_reads && (shared.primary != self.index || shared.term != transaction.term)
    }

    fn status(&self) -> Answer {
        if !self.database.occupy(self.index, STATUS_WORK) {
            return Err("BUSY");
        }
        let now = Instant::now();
        let mut shared = self.database.lock();
        shared.deliver(now);
        let role = if shared.primary == self.index {
            "primary"
        } else {
            "replica"
        };
        let server = &shared.servers[self.index];
        let received = server.received.len();
        Ok(vec![format!(
            "{role} {} {} 0 0 {} {}",
            shared.term,
            shared.position(self.index, received),
            server.busy,
            server.streams.len()
        )])
    }

    fn begin(&mut self, only_reads: bool, after: Option<&str>) -> Answer {
        if !only_reads && !self.is_primary() {
            return Err("READONLY");
        }
        self.check_position(after)?;
        let term = self.database.lock().term;
        self.transaction = Some(Transaction {
            only_reads,
            term,
            ..Transaction::default()
        });
        Ok(Vec::new())
    }

    /// Fails unless the server's log holds a position.
    fn check_position(&self, after: Option<&str>) -> Result<(), &'static str> {
        let Some((term, number)) = after.and_then(|position| position.split_once('.')) else {
            return Ok(());
        };
        let now = Instant::now();
        let mut shared = self.database.lock();
        shared.deliver(now);
        let entries = 1_000 + shared.applied(self.index, now);
        let wanted: usize = number.parse().unwrap_or(usize::MAX);
        let term: u64 = term.parse().unwrap_or(u64::MAX);
        if entries >= wanted && shared.term >= term {
            Ok(())
        } else {
            Err("LAGGING")
        }
    }

    fn read(&mut self, id: &str, text: &str, item: &str, after: Option<&str>) -> Answer {
        if self.lost_lead() {
            return Err("READONLY");
        }
        self.check_position(after)?;
        let shared = self.database.lock();
        let work = shared.slow_items.get(item).copied();
        let work = work.unwrap_or(WORK);
        drop(shared);
        if !self.database.occupy(self.index, work) {
            return Err("BUSY");
        }
        self.note_run(id, text);
        let now = Instant::now();
        let shared = self.database.lock();
        let applied = shared.applied(self.index, now);
        let own = self.transaction.iter().flat_map(|t| t.writes.iter());
        let log = shared.log[..applied].iter().flat_map(|e| e.writes.iter());
        let found = log.chain(own).filter(|(name, _)| name == item).last();
        Ok(found.map(|(_, data)| data.clone()).into_iter().collect())
    }

    fn write(&mut self, id: &str, text: &str, rest: &str) -> Answer {
        if !self.is_primary() || self.lost_lead() {
            return Err("READONLY");
        }
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let work = self.database.lock().slow_items.get(item).copied();
        let work = work.unwrap_or(WORK);
        if !self.database.occupy(self.index, work) {
            return Err("BUSY");
        }
        self.note_run(id, text);
        let write = (item.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some(transaction) => {
                transaction.ids.push(id.to_owned());
                transaction.writes.push(write);
                Ok(Vec::new())
            }
            None => self.append(vec![id.to_owned()], vec![write]),
        }
    }

    fn commit(&mut self, id: &str) -> Answer {
        let lost_lead = self.lost_lead();
        let Some(transaction) = self.transaction.take() else {
            return Err("MALFORMED");
        };
        if transaction.failed {
            return Err("ABORTED");
        }
        if transaction.writes.is_empty() {
            return Ok(Vec::new());
        }
        if lost_lead {
            return Err("READONLY");
        }
        if !self.database.occupy(self.index, COMMIT_WORK) {
            return Err("BUSY");
        }
        self.note_run(id, "COMMIT");
        self.append(transaction.ids, transaction.writes)
    }

    /// Appends a commit to the log and waits until as many replicas have it as are needed.
    fn append(&mut self, ids: Vec<String>, writes: Vec<(String, String)>) -> Answer {
        let mut shared = self.database.lock();
        if shared.primary != self.index || !shared.servers[self.index].running {
            return Err("READONLY");
        }
        let term = shared.term;
        let place = shared.log.len();
        shared.log.push(Entry {
            term,
            ids,
            writes,
            at: Instant::now(),
        });
        drop(shared);
        loop {
            let mut shared = self.database.lock();
            shared.deliver(Instant::now());
            let holders = shared.servers.iter().enumerate();
            let holders = holders.filter(|(index, server)| {
                *index != self.index && server.running && server.received.len() > place
            });
            if holders.count() >= shared.sync_replicas {
                return Ok(Vec::new());
            }
            let ended = shared.term != term || !shared.servers[self.index].running;
            drop(shared);
            if ended {
                return Err("FAILED");
            }
            std::thread::sleep(Duration::from_micros(500));
        }
    }

    fn note_run(&self, id: &str, text: &str) {
        let run = Run {
            server: self.index,
            tenant: self.tenant.clone(),
            id: id.to_owned(),
            text: text.to_owned(),
            at: Instant::now(),
        };
        self.database.lock().runs.push(run);
    }
}

/// Reads a line that ends with CR LF; a lone LF is part of the line.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    loop {
        let read = reader.read_until(b'\n', &mut line).ok()?;
        if read == 0 {
            return None;
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return String::from_utf8(line).ok();
        }
    }
}
