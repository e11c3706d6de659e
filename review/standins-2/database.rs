//! Stand-in of a database group: backends that speak the line protocol and replicate a log.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::json::Json;
use crate::json::table;
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of a backend's registration.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that a read, a write or a commit takes.
const WORK: Duration = Duration::from_millis(3);
/// Time that a new connection takes.
const HANDSHAKE: Duration = Duration::from_millis(12);
/// Bytes of a row of a document; a message has at most 1 MiB.
const ROW_BYTES: usize = 1_000_000;
/// Pause of the loops that wait for a change of the state.
const POLL: Duration = Duration::from_millis(1);

/// One write of a statement.
#[derive(Debug, Clone, PartialEq)]
pub struct Write1 {
    /// Id of the client's statement.
    pub id: String,
    pub item: String,
    pub data: String,
}

/// One commit in a log.
#[derive(Debug, Clone)]
pub struct Entry {
    term: u64,
    number: u64,
    writes: Vec<Write1>,
    /// When each backend receives it, unless a commit before it comes later.
    arrivals: Vec<Instant>,
}

/// What a group is like.
#[derive(Debug, Clone)]
pub struct Shape {
    pub service: String,
    pub zones: Vec<String>,
    /// Mean time after which a replica receives a commit of the primary.
    pub lag: Duration,
    /// Spread of that time: the standard deviation of its logarithm; 0 if it is always the same.
    pub lag_spread: f64,
    /// Replicas that have received a commit before it is acknowledged.
    pub sync_replicas: u64,
    /// Time from a promotion call until the named backend leads.
    pub promote_time: Duration,
    pub max_connections: usize,
    /// Rows of [`ROW_BYTES`] that a read of an item whose name begins with `document` returns.
    pub document_rows: usize,
}

impl Shape {
    /// Draws the time until a replica receives a commit, at most six times the mean.
    fn draw_lag(&self) -> Duration {
        let normal = (-2.0 * draw().ln()).sqrt() * (std::f64::consts::TAU * draw()).cos();
        let factor = (self.lag_spread * normal - self.lag_spread.powi(2) / 2.0).exp();
        self.lag.mul_f64(factor.min(6.0))
    }
}

/// Draws a number above 0 and at most 1.
fn draw() -> f64 {
    use std::hash::BuildHasher;
    use std::hash::RandomState;
    let drawn = RandomState::new().hash_one(Instant::now()) >> 11;
    (drawn as f64 + 1.0) / (1_u64 << 53) as f64
}

struct Server {
    id: String,
    address: SocketAddr,
    running: bool,
    draining: bool,
    paused: u64,
    log: Vec<Entry>,
    connections: BTreeMap<u64, TcpStream>,
}

/// A statement that a backend ran, by the signature that it gave.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    pub id: String,
    /// The statement as it ran, with the shape in place of a prepared name.
    pub text: String,
}

struct State {
    term: u64,
    primary: usize,
    servers: Vec<Server>,
    next_connection: u64,
    next_signature: u64,
    runs: BTreeMap<String, Run>,
    promotions: u64,
    /// Backend of the last promotion call that was accepted.
    chosen: Option<usize>,
    /// Commits that a promotion rolled back.
    rolled_back: Vec<Write1>,
}

/// The group; clones share it.
#[derive(Clone)]
pub struct Group {
    pub shape: Arc<Shape>,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Group {
    /// Starts the backends, the first as primary.
    pub fn start(shape: Shape, record: Record) -> std::io::Result<Self> {
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        let service = &shape.service;
        for index in 0..shape.zones.len() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            servers.push(Server {
                id: format!("i-{}-{service}", index + 1),
                address: listener.local_addr()?,
                running: true,
                draining: false,
                paused: 0,
                log: vec![Entry {
                    term: 3,
                    number: 1_200,
                    writes: Vec::new(),
                    arrivals: Vec::new(),
                }],
                connections: BTreeMap::new(),
            });
            listeners.push(listener);
        }
        let group = Self {
            shape: Arc::new(shape),
            state: Arc::new(Mutex::new(State {
                term: 3,
                primary: 0,
                servers,
                next_connection: 1,
                next_signature: 1,
                runs: BTreeMap::new(),
                promotions: 0,
                chosen: None,
                rolled_back: Vec::new(),
            })),
            record,
        };
        for (index, listener) in listeners.into_iter().enumerate() {
            group.listen(index, listener)?;
            let replica = group.clone();
            std::thread::spawn(move || replica.replicate(index));
        }
        Ok(group)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Registers the backends in the store until the case ends.
    pub fn register(&self, store: Store) {
        for index in 0..self.shape.zones.len() {
            self.register_one(&store, index);
            let (group, store) = (self.clone(), store.clone());
            std::thread::spawn(move || {
                let mut heard = Instant::now();
                loop {
                    std::thread::sleep(Duration::from_millis(20));
                    if group.register_one(&store, index) {
                        heard = Instant::now();
                    } else if heard.elapsed() >= HEARTBEAT * 3 {
                        store.remove(&format!("servers/{}", group.id(index)));
                    }
                }
            });
        }
    }

    /// Writes a backend's registration if it changed; returns whether the backend runs.
    fn register_one(&self, store: &Store, index: usize) -> bool {
        let state = self.lock();
        let server = &state.servers[index];
        let role = if state.primary == index {
            "primary"
        } else {
            "replica"
        };
        let entry = table([
            ("service", self.shape.service.as_str().into()),
            ("address", server.address.to_string().into()),
            ("zone", self.shape.zones[index].as_str().into()),
            ("version", "v1".into()),
            ("slots", 3.into()),
            (
                "state",
                if server.draining { "draining" } else { "ready" }.into(),
            ),
            ("warmupLeftMs", 0.into()),
            ("dbRole", role.into()),
            ("seq", 4.into()),
            ("born", 1_785_000_000_000.into()),
        ]);
        let (id, running) = (server.id.clone(), server.running);
        drop(state);
        if running {
            store.put(&format!("servers/{id}"), &entry);
        }
        running
    }

    pub fn id(&self, index: usize) -> String {
        self.lock().servers[index].id.clone()
    }

    pub fn primary(&self) -> usize {
        self.lock().primary
    }

    /// Returns how many promotions took effect.
    pub fn promotions(&self) -> u64 {
        self.lock().promotions
    }

    /// Returns the backend of the last promotion call that was accepted.
    pub fn chosen(&self) -> Option<usize> {
        self.lock().chosen
    }

    /// Returns the run that a signature belongs to.
    pub fn run_of(&self, signature: &str) -> Option<Run> {
        self.lock().runs.get(signature).cloned()
    }

    /// Returns every write in the primary's log.
    pub fn committed(&self) -> Vec<Write1> {
        let state = self.lock();
        let log = &state.servers[state.primary].log;
        log.iter().flat_map(|entry| entry.writes.clone()).collect()
    }

    /// Returns the writes that promotions rolled back.
    pub fn rolled_back(&self) -> Vec<Write1> {
        self.lock().rolled_back.clone()
    }

    /// Reports that a backend is leaving; it goes on serving.
    pub fn drain(&self, index: usize) {
        self.record
            .note(format!("server {} drains", self.id(index)));
        self.lock().servers[index].draining = true;
    }

    /// Ends a backend's process: its connections break, and new ones are refused.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let server = &mut state.servers[index];
        server.running = false;
        for connection in std::mem::take(&mut server.connections).into_values() {
            if let Err(e) = connection.shutdown(Shutdown::Both) {
                eprintln!("crash: {e}");
            }
        }
        let id = server.id.clone();
        drop(state);
        self.record.note(format!("server {id} crashes"));
    }

    /// Starts a crashed backend again, with its log.
    pub fn restart(&self, index: usize) -> std::io::Result<()> {
        let address = self.lock().servers[index].address;
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(POLL),
            }
        };
        self.lock().servers[index].running = true;
        self.listen(index, listener)?;
        self.record
            .note(format!("server {} is back", self.id(index)));
        Ok(())
    }

    /// Takes a promotion call; the backend leads later.
    pub fn promote(&self, service: &str, id: &str) -> u16 {
        let mut state = self.lock();
        let found = state.servers.iter().position(|server| server.id == id);
        let Some(index) = found.filter(|_| service == self.shape.service) else {
            return 404;
        };
        if !state.servers[index].running {
            return 409;
        }
        if state.primary == index {
            return 200;
        }
        state.chosen = Some(index);
        drop(state);
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(group.shape.promote_time);
            group.lead(index);
        });
        200
    }

    /// Makes a backend the primary of the next term, with the log that it has received.
    fn lead(&self, index: usize) {
        let mut state = self.lock();
        if !state.servers[index].running || state.primary == index {
            return;
        }
        state.term += 1;
        state.primary = index;
        state.promotions += 1;
        state.servers[index].paused = 0;
        let leader = state.servers[index].log.clone();
        let mut gone: Vec<Entry> = Vec::new();
        for server in &mut state.servers {
            let same = server.log.iter().zip(&leader);
            let common = same.take_while(|(a, b)| (a.term, a.number) == (b.term, b.number));
            let common = common.count();
            gone.extend(server.log.drain(common..));
            server.paused = 0;
        }
        let writes = gone.into_iter().flat_map(|entry| entry.writes);
        for write in writes {
            if !state.rolled_back.contains(&write) {
                state.rolled_back.push(write);
            }
        }
        let (id, term, lost) = (
            state.servers[index].id.clone(),
            state.term,
            state.rolled_back.len(),
        );
        drop(state);
        self.record.note(format!(
            "server {id} leads term {term}; {lost} writes rolled back so far"
        ));
    }

    /// Receives the primary's commits on a replica, each after the replica's lag.
    fn replicate(&self, index: usize) {
        loop {
            std::thread::sleep(POLL);
            let mut state = self.lock();
            let primary = state.primary;
            let receives = primary != index
                && state.servers[index].running
                && state.servers[primary].running
                && state.servers[index].paused == 0;
            if !receives {
                continue;
            }
            let have = state.servers[index].log.len();
            let news: Vec<Entry> = state.servers[primary]
                .log
                .iter()
                .skip(have)
                .take_while(|entry| {
                    entry
                        .arrivals
                        .get(index)
                        .is_none_or(|at| *at <= Instant::now())
                })
                .cloned()
                .collect();
            state.servers[index].log.extend(news);
        }
    }

    fn listen(&self, index: usize, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let group = self.clone();
        std::thread::spawn(move || {
            while group.lock().servers[index].running {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let group = group.clone();
                        std::thread::spawn(move || group.serve(index, stream));
                    }
                    Err(_) => std::thread::sleep(POLL),
                }
            }
        });
        Ok(())
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        let (Ok(read), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let number = {
            let mut state = self.lock();
            let number = state.next_connection;
            state.next_connection += 1;
            if !state.servers[index].running {
                return;
            }
            state.servers[index].connections.insert(number, kept);
            number
        };
        let mut connection = Connection {
            group: self.clone(),
            index,
            number,
            account: String::new(),
            transaction: None,
            failed: false,
            prepared: BTreeMap::new(),
            values: BTreeMap::new(),
        };
        connection.talk(BufReader::new(read), stream);
        self.lock().servers[index].connections.remove(&number);
    }
}

/// Transaction that is open on a connection.
struct Transaction {
    reads: bool,
    term: u64,
    writes: Vec<Write1>,
}

/// Connection to one backend.
struct Connection {
    group: Group,
    index: usize,
    number: u64,
    account: String,
    transaction: Option<Transaction>,
    failed: bool,
    prepared: BTreeMap<String, (bool, String)>,
    values: BTreeMap<String, String>,
}

/// Result of a statement: rows with a signature, or an error code.
type Outcome = Result<(Vec<String>, Option<String>), &'static str>;

impl Connection {
    fn talk(&mut self, mut reader: BufReader<TcpStream>, mut stream: TcpStream) {
        let Some(start) = read_line(&mut reader) else {
            return;
        };
        std::thread::sleep(HANDSHAKE);
        if let Some(error) = self.start(&start) {
            send(&mut stream, &format!("ERROR {error}\r\n"));
            return;
        }
        if !send(&mut stream, &format!("READY I {}\r\n", self.position())) {
            return;
        }
        while let Some(line) = read_line(&mut reader) {
            let Some(query) = line.strip_prefix("QUERY ") else {
                return;
            };
            let (id, text) = query.split_once(' ').unwrap_or((query, ""));
            let Some(outcome) = self.run(id, text) else {
                return;
            };
            let mut reply = String::new();
            match &outcome {
                Ok((rows, signature)) => {
                    for row in rows {
                        reply += &format!("ROW {row}\r\n");
                    }
                    let signature = signature.as_deref().unwrap_or("-");
                    reply += &format!("COMPLETE {signature}\r\n");
                }
                Err(code) => {
                    self.failed |= self.transaction.is_some();
                    reply += &format!("ERROR {code} {}\r\n", self.group.id(self.index));
                }
            }
            let state = match (&self.transaction, self.failed) {
                (None, _) => 'I',
                (Some(_), false) => 'T',
                (Some(_), true) => 'E',
            };
            reply += &format!("READY {state} {}\r\n", self.position());
            if text != "STATUS" {
                let result = outcome.as_ref().map(|_| "done").unwrap_or_else(|code| code);
                self.group.record.note(format!(
                    "server {} connection {} {} ran {id} {text}: {result} {state}",
                    self.group.id(self.index),
                    self.number,
                    self.account
                ));
            }
            if !send(&mut stream, &reply) {
                return;
            }
        }
    }

    fn start(&mut self, line: &str) -> Option<&'static str> {
        let fields: Vec<&str> = line.split(' ').collect();
        let state = self.group.lock();
        let server = &state.servers[self.index];
        if fields.first() != Some(&"START")
            || fields.get(1) != Some(&self.group.shape.service.as_str())
        {
            return Some("MISROUTED");
        }
        if fields.get(3).is_some_and(|id| *id != server.id) {
            return Some("MISROUTED");
        }
        if server.connections.len() > self.group.shape.max_connections {
            return Some("TOOMANY");
        }
        self.account = fields.get(2).unwrap_or(&"-").to_string();
        None
    }

    fn position(&self) -> String {
        let state = self.group.lock();
        let server = &state.servers[self.index];
        server
            .log
            .last()
            .map_or("-".to_owned(), |e| format!("{}.{}", e.term, e.number))
    }

    /// Runs a statement; `None` closes the connection without an answer.
    fn run(&mut self, id: &str, text: &str) -> Option<Outcome> {
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map(|(p, t)| (Some(p.to_owned()), t))?,
            None => (None, text),
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.failed && word != "COMMIT" && word != "ROLLBACK" {
            return Some(Err("MALFORMED"));
        }
        if self.has_lost_lead() && !(word == "COMMIT" && self.wrote_nothing()) && word != "ROLLBACK"
        {
            if word == "COMMIT" {
                self.end();
            }
            return Some(Err("READONLY"));
        }
        if let Some(after) = after
            && !self.holds(&after)
        {
            return Some(Err("LAGGING"));
        }
        match word {
            "BEGIN" => Some(self.begin(rest == "READ")),
            "ROLLBACK" => {
                self.end();
                Some(Ok((Vec::new(), None)))
            }
            "COMMIT" => self.commit(id),
            "READ" => Some(self.read(id, text, rest)),
            "WRITE" => self.write(id, text, rest),
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.to_owned(), value.to_owned());
                Some(Ok((Vec::new(), None)))
            }
            "PREPARE" => {
                let mut fields = rest.splitn(3, ' ');
                let name = fields.next().unwrap_or_default().to_owned();
                let writes = fields.next() == Some("WRITE");
                let shape = fields.next().unwrap_or_default().to_owned();
                self.prepared.insert(name, (writes, shape));
                Some(Ok((Vec::new(), None)))
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                let Some((writes, shape)) = self.prepared.get(name).cloned() else {
                    return Some(Err("NOSTMT"));
                };
                let ran = format!("EXECUTE {shape} {arguments}");
                if writes {
                    self.write(id, &ran, arguments)
                } else {
                    Some(self.read(id, &ran, arguments))
                }
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                Some(Ok((Vec::new(), None)))
            }
            "STATUS" => Some(Ok((vec![self.status()], None))),
            "PAUSE" => {
                let term = rest.parse().unwrap_or(0);
                let mut state = self.group.lock();
                if state.primary != self.index && term > state.term {
                    state.servers[self.index].paused = term;
                }
                drop(state);
                Some(Ok((vec![self.status()], None)))
            }
            "CONTINUE" => {
                self.group.lock().servers[self.index].paused = 0;
                Some(Ok((vec![self.status()], None)))
            }
            _ => Some(Err("MALFORMED")),
        }
    }

    fn status(&self) -> String {
        let state = self.group.lock();
        let server = &state.servers[self.index];
        let role = if state.primary == self.index {
            "primary"
        } else {
            "replica"
        };
        let last = server
            .log
            .last()
            .map_or("-".to_owned(), |e| format!("{}.{}", e.term, e.number));
        let connections = server.connections.len();
        format!(
            "{role} {} {last} {} 0 1 {connections}",
            state.term, server.paused
        )
    }

    fn is_primary(&self) -> bool {
        self.group.lock().primary == self.index
    }

    fn has_lost_lead(&self) -> bool {
        let state = self.group.lock();
        let leads = |t: &Transaction| state.primary == self.index && state.term == t.term;
        self.transaction
            .as_ref()
            .is_some_and(|t| !t.reads && !leads(t))
    }

    fn wrote_nothing(&self) -> bool {
        self.transaction
            .as_ref()
            .is_none_or(|t| t.writes.is_empty())
    }

    fn holds(&self, after: &str) -> bool {
        let parse = |text: &str| {
            let (term, number) = text.split_once('.')?;
            Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
        };
        parse(&self.position()) >= parse(after)
    }

    fn begin(&mut self, reads: bool) -> Outcome {
        if self.transaction.is_some() {
            return Err("MALFORMED");
        }
        if !reads && !self.is_primary() {
            return Err("READONLY");
        }
        let term = self.group.lock().term;
        self.transaction = Some(Transaction {
            reads,
            term,
            writes: Vec::new(),
        });
        Ok((Vec::new(), None))
    }

    fn end(&mut self) {
        self.transaction = None;
        self.failed = false;
    }

    fn commit(&mut self, id: &str) -> Option<Outcome> {
        std::thread::sleep(WORK);
        let failed = self.failed;
        let Some(transaction) = self.transaction.take() else {
            return Some(Err("MALFORMED"));
        };
        self.failed = false;
        if failed {
            return Some(Err("ABORTED"));
        }
        if !transaction.writes.is_empty() && !self.append(transaction.writes)? {
            return Some(Err("READONLY"));
        }
        Some(Ok((Vec::new(), Some(self.sign(id, "COMMIT")))))
    }

    fn read(&mut self, id: &str, text: &str, item: &str) -> Outcome {
        std::thread::sleep(WORK);
        let state = self.group.lock();
        let log = &state.servers[self.index].log;
        let writes = log.iter().rev().flat_map(|entry| entry.writes.iter().rev());
        let own = self.transaction.iter().flat_map(|t| t.writes.iter().rev());
        let found = own.chain(writes).find(|write| write.item == item);
        let rows = found.map(|write| write.data.clone()).into_iter().collect();
        drop(state);
        if item.starts_with("document") {
            let rows = vec!["x".repeat(ROW_BYTES); self.group.shape.document_rows];
            return Ok((rows, Some(self.sign(id, text))));
        }
        Ok((rows, Some(self.sign(id, text))))
    }

    fn write(&mut self, id: &str, text: &str, rest: &str) -> Option<Outcome> {
        std::thread::sleep(WORK);
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let write = Write1 {
            id: id.to_owned(),
            item: item.to_owned(),
            data: data.to_owned(),
        };
        match &mut self.transaction {
            Some(transaction) if transaction.reads => return Some(Err("READONLY")),
            Some(transaction) => transaction.writes.push(write),
            None => {
                if !self.append(vec![write])? {
                    return Some(Err("READONLY"));
                }
            }
        }
        Some(Ok((Vec::new(), Some(self.sign(id, text)))))
    }

    /// Commits writes; `Some(false)` if this is not the primary, `None` if the outcome is not known.
    fn append(&self, writes: Vec<Write1>) -> Option<bool> {
        let mut state = self.group.lock();
        if state.primary != self.index || !state.servers[self.index].running {
            return Some(false);
        }
        let term = state.term;
        let log = &mut state.servers[self.index].log;
        let number = log.last().map_or(0, |entry| entry.number) + 1;
        let servers = 0..self.group.shape.zones.len();
        let arrivals = servers
            .map(|_| Instant::now() + self.group.shape.draw_lag())
            .collect();
        log.push(Entry {
            term,
            number,
            writes,
            arrivals,
        });
        let place = log.len() - 1;
        drop(state);
        let needed = self.group.shape.sync_replicas as usize;
        loop {
            let state = self.group.lock();
            let is_it = |log: &[Entry]| {
                log.get(place)
                    .is_some_and(|entry| (entry.term, entry.number) == (term, number))
            };
            if !is_it(&state.servers[self.index].log) || !state.servers[self.index].running {
                return None;
            }
            let others = state
                .servers
                .iter()
                .enumerate()
                .filter(|(i, _)| *i != self.index);
            if others.filter(|(_, server)| is_it(&server.log)).count() >= needed {
                return Some(true);
            }
            drop(state);
            std::thread::sleep(POLL);
        }
    }

    fn sign(&self, id: &str, text: &str) -> String {
        let mut state = self.group.lock();
        let server = state.servers[self.index].id.clone();
        let signature = format!("{}.{:x}", self.index + 1, state.next_signature);
        state.next_signature += 1;
        let run = Run {
            server,
            id: id.to_owned(),
            text: text.to_owned(),
        };
        state.runs.insert(signature.clone(), run);
        signature
    }
}

fn send(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

/// Reads a line without its CR LF; `None` at the end of the connection.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(read) if read > 0 && line.ends_with("\r\n") => Some(line[..line.len() - 2].to_owned()),
        _ => None,
    }
}

/// Returns a configuration with services, routes of each kind to each of them, and one tenant.
///
/// The routes of the first service are `main`, `own` and `reads`, those of the second `main2` and so on.
pub fn configuration(version: u64, shapes: &[Shape], keys: &[&str], rate: u64) -> Json {
    let route = |host: String, kind: &str, stale: u64, shape: &Shape| {
        table([
            ("name", format!("r-{host}").into()),
            ("host", host.as_str().into()),
            ("prefix", "/".into()),
            ("routeType", kind.into()),
            ("timeoutMs", 800.into()),
            ("targetLatencyMs", 250.into()),
            ("priority", 1.into()),
            ("service", shape.service.as_str().into()),
            ("maxAttempts", 2.into()),
            ("maxStalenessMs", stale.into()),
            ("authExempt", false.into()),
        ])
    };
    let mut routes = Vec::new();
    for (index, shape) in shapes.iter().enumerate() {
        let suffix = if index == 0 {
            String::new()
        } else {
            (index + 1).to_string()
        };
        routes.push(route(format!("main{suffix}"), "primary", 0, shape));
        routes.push(route(
            format!("own{suffix}"),
            "read_your_writes",
            2_500,
            shape,
        ));
        routes.push(route(
            format!("reads{suffix}"),
            "bounded_staleness",
            1_500,
            shape,
        ));
    }
    let services = shapes.iter().map(|shape| {
        table([
            ("name", shape.service.as_str().into()),
            ("healthPath", "/health".into()),
            ("maxConns", (shape.max_connections as u64).into()),
            ("protocol", "h1".into()),
            ("tls", false.into()),
            ("syncReplicas", shape.sync_replicas.into()),
        ])
    });
    let keys: Vec<Json> = keys.iter().map(|key| (*key).into()).collect();
    table([
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", services.collect::<Vec<_>>().into()),
        ("limits", table([("txIdleMs", 3_000.into())])),
        (
            "tenants",
            vec![table([
                ("name", "nypu920".into()),
                ("apiKeys", keys.into()),
                ("priority", 1.into()),
                ("ratePerS", rate.into()),
                ("burst", rate.into()),
            ])]
            .into(),
        ),
    ])
}
