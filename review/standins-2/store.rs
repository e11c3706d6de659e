//! Stand-in of the platform's metadata store and of its promotion call.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::json::Json;
use crate::json::table;
use crate::record::Record;

/// Items in one page of a list.
const PAGE: usize = 500;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    term: Duration,
    ends: Instant,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// Highest token seen for each service.
    fences: BTreeMap<String, u64>,
}

/// Handles a promotion of a backend of a service; returns the status code.
type Promote = Arc<dyn Fn(&str, &str) -> u16 + Send + Sync>;

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    promote: Promote,
    record: Record,
    late: Arc<Mutex<LateWrites>>,
}

/// Writes whose answers are lost and which are carried out later.
#[derive(Default)]
struct LateWrites {
    /// Prefix of the keys: the first write under each of them is late; `None` if all are answered.
    prefix: Option<String>,
    after: Duration,
    keys: BTreeSet<String>,
}

impl Store {
    /// Starts the store on loopback.
    pub fn start(
        record: Record,
        promote: impl Fn(&str, &str) -> u16 + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                revision: 100,
                items: BTreeMap::new(),
                leases: BTreeMap::new(),
                next_lease: 77_000,
                fences: BTreeMap::new(),
            })),
            promote: Arc::new(promote),
            record,
            late: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item as the operator or a backend does; nothing changes if it has this value.
    pub fn put(&self, key: &str, value: &Json) {
        let value = encode(value.to_string().as_bytes());
        let mut state = self.state.lock().expect("not poisoned");
        if state.items.get(key).is_none_or(|item| item.value != value) {
            state.put(key, value, 0);
        }
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("not poisoned");
        if state.items.remove(key).is_some() {
            state.revision += 1;
        }
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut state = self.state.lock().expect("not poisoned");
        state.end_leases();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Loses the answer of the next write of each key under `prefix` and carries the write out later.
    pub fn delay_next_writes(&self, prefix: &str, after: Duration) {
        *self.late.lock().expect("not poisoned") = LateWrites {
            prefix: Some(prefix.to_owned()),
            after,
            keys: BTreeSet::new(),
        };
    }

    /// Returns after how long a request is carried out without an answer, if it is.
    fn lateness(&self, target: &str, body: &str) -> Option<Duration> {
        if !target.ends_with("/kv-txn") {
            return None;
        }
        let mut late = self.late.lock().expect("not poisoned");
        let prefix = late.prefix.clone()?;
        let puts = Json::parse(body)?.list("puts");
        let key = puts
            .iter()
            .map(|put| put.text("key"))
            .find(|key| key.starts_with(&prefix))?;
        let first = late.keys.insert(key.clone());
        self.record.note(format!(
            "store write of {key}: {}",
            if first { "late" } else { "at once" }
        ));
        first.then_some(late.after)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        let mut stream = stream;
        while let Some((line, headers, body)) = read_request(&mut reader) {
            let mut words = line.split(' ');
            let method = words.next().unwrap_or_default().to_owned();
            let target = words.next().unwrap_or_default().to_owned();
            if let Some(after) = self.lateness(&target, &body) {
                std::thread::sleep(after);
                let (status, _) = self.answer(&method, &target, &headers, &body);
                self.record
                    .note(format!("store late write carried out: {status}"));
                // Nothing further is returned on this connection.
                let mut rest = Vec::new();
                if let Err(e) = reader.read_to_end(&mut rest) {
                    eprintln!("store: {e}");
                }
                return;
            }
            let (status, reply) = self.answer(&method, &target, &headers, &body);
            let text = reply.map(|reply| reply.to_string()).unwrap_or_default();
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if stream.write_all((head + &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        method: &str,
        target: &str,
        headers: &BTreeMap<String, String>,
        body: &str,
    ) -> (u16, Option<Json>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = Json::parse(body).unwrap_or(Json::Null);
        if method == "POST" && path == "/promote" {
            return (self.promote(headers, &body), None);
        }
        let mut state = self.state.lock().expect("not poisoned");
        state.end_leases();
        let path = path.strip_prefix("/mustardbay/").unwrap_or(path);
        match (method, path.split_once('/')) {
            ("GET", None) if path == "kv-range" => (200, Some(state.range(query))),
            ("POST", None) if path == "kv-txn" => state.transact(&body),
            ("POST", None) if path == "kv-lease" => (200, Some(state.lease(&body))),
            ("POST", Some(("kv-keep", id))) => match state.keep(id) {
                Some(reply) => (200, Some(reply)),
                None => (404, None),
            },
            ("DELETE", Some(("kv-lease-end", id))) => {
                let ended = id.parse().ok().and_then(|id: u64| state.leases.remove(&id));
                state.drop_leased();
                (if ended.is_some() { 200 } else { 404 }, None)
            }
            _ => (404, None),
        }
    }

    fn promote(&self, headers: &BTreeMap<String, String>, body: &Json) -> u16 {
        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
        let token: u64 = header("fencing-token").parse().unwrap_or(0);
        let (service, id) = (body.text("service"), body.text("id"));
        let mut state = self.state.lock().expect("not poisoned");
        let seen = state.fences.entry(service.clone()).or_default();
        let old = token < *seen;
        *seen = (*seen).max(token);
        drop(state);
        let status = if old {
            409
        } else {
            (self.promote)(&service, &id)
        };
        let holder = header("lease-holder");
        self.record.note(format!(
            "platform promote {service} {id} by {holder} token {token}: {status}"
        ));
        status
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.ends > now);
        self.drop_leased();
    }

    /// Removes the keys of leases that have ended.
    fn drop_leased(&mut self) {
        let before = self.items.len();
        let leases = &self.leases;
        let keeps = |item: &Item| item.lease == 0 || leases.contains_key(&item.lease);
        self.items.retain(|_, item| keeps(item));
        self.revision += (before - self.items.len()) as u64;
    }

    fn item(&self, key: &str) -> Json {
        let Some(item) = self.items.get(key) else {
            return table([("key", key.into()), ("revision", 0.into())]);
        };
        table([
            ("key", key.into()),
            ("value", item.value.as_str().into()),
            ("revision", item.revision.into()),
            ("createRev", item.created.into()),
            ("lease", item.lease.into()),
        ])
    }

    fn range(&self, query: &str) -> Json {
        let fields: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let prefix = fields.get("prefix").cloned().unwrap_or_default();
        let after = fields.get("after").cloned().unwrap_or_default();
        let keys = self.items.keys();
        let mut keys = keys.filter(|key| key.starts_with(&prefix) && **key > after);
        let page: Vec<Json> = keys.by_ref().take(PAGE).map(|key| self.item(key)).collect();
        table([
            ("items", page.into()),
            ("hasMore", keys.next().is_some().into()),
            ("currentRev", self.revision.into()),
        ])
    }

    fn transact(&mut self, body: &Json) -> (u16, Option<Json>) {
        let expected = body.list("expected");
        let holds = expected.iter().all(|row| {
            let present = self.items.get(&row.text("key"));
            present.map_or(0, |item| item.revision) == row.number("revision")
        });
        if !holds {
            let items = expected.iter().map(|row| self.item(&row.text("key")));
            return (
                412,
                Some(table([("items", items.collect::<Vec<_>>().into())])),
            );
        }
        let puts = body.list("puts");
        let leases = puts.iter().map(|put| put.number("lease"));
        if leases
            .clone()
            .any(|lease| lease != 0 && !self.leases.contains_key(&lease))
        {
            return (404, None);
        }
        for put in &puts {
            self.put(&put.text("key"), put.text("value"), put.number("lease"));
        }
        for key in body.list("deletes") {
            if let Json::Text(key) = key
                && self.items.remove(&key).is_some()
            {
                self.revision += 1;
            }
        }
        (200, Some(table([("revision", self.revision.into())])))
    }

    fn lease(&mut self, body: &Json) -> Json {
        let term = body.number("ttlMs");
        self.next_lease += 1;
        let lease = Lease {
            term: Duration::from_millis(term),
            ends: Instant::now() + Duration::from_millis(term),
        };
        self.leases.insert(self.next_lease, lease);
        table([("lease", self.next_lease.into()), ("ttlMs", term.into())])
    }

    fn keep(&mut self, id: &str) -> Option<Json> {
        let lease = self.leases.get_mut(&id.parse().ok()?)?;
        lease.ends = Instant::now() + lease.term;
        let term = u64::try_from(lease.term.as_millis()).ok()?;
        Some(table([("ttlMs", term.into())]))
    }
}

fn read_request(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, BTreeMap<String, String>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((
        first.trim_end().to_owned(),
        headers,
        String::from_utf8(body).ok()?,
    ))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let hex = |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16)).unwrap_or(0) as u8;
        bytes.push(match byte {
            b'%' => hex(rest.next()) * 16 + hex(rest.next()),
            b'+' => b' ',
            other => other,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Encodes bytes as base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * index) & 63) as usize];
            let padding = index > chunk.len();
            text.push(if padding { '=' } else { char::from(letter) });
        }
    }
    text
}
