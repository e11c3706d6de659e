//! Stand-in of the platform: its metadata store and its promotion call, over HTTP on loopback.

use std::collections::BTreeMap;
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

use crate::database::Database;
use crate::json::Json;
use crate::json::base64;
use crate::record::Record;

/// Most items in one page of a list.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Term and last renewal of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Highest fencing token seen.
    newest_token: u64,
}

/// The store and the promotion call; clones share their state.
#[derive(Clone)]
pub struct Store {
    content: Arc<Mutex<Content>>,
    database: Database,
    record: Arc<Record>,
    pub address: SocketAddr,
}

/// Status and body of a response.
type Response = (u16, String);

impl Store {
    /// Starts a store whose promotion call acts on `database`.
    pub fn start(database: Database, record: Arc<Record>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            content: Arc::new(Mutex::new(Content {
                revision: 10,
                ..Content::default()
            })),
            database,
            record,
            address: listener.local_addr()?,
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

    /// Writes a document as the operator or a server does.
    pub fn put(&self, key: &str, document: &str) {
        let mut content = self.content.lock().unwrap();
        content.put(key, base64(document.as_bytes()), 0);
    }

    /// Removes an entry as the operator or the platform does.
    pub fn remove(&self, key: &str) {
        let mut content = self.content.lock().unwrap();
        if content.items.remove(key).is_some() {
            content.revision += 1;
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Response {
        // The store takes 4 ms an answer.
        std::thread::sleep(Duration::from_millis(4));
        if request.path == "/promote" {
            return self.promote(request);
        }
        let mut content = self.content.lock().unwrap();
        content.expire();
        let Some(call) = request.path.strip_prefix("/mustardbay/") else {
            return (404, "{}".to_owned());
        };
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match call.split_once('/').unwrap_or((call, "")) {
            ("kv-key", _) => content.key(request.query("key")),
            ("kv-range", _) => content.range(request.query("prefix"), request.query("after")),
            ("kv-txn", _) => content.transact(&body),
            ("kv-lease", _) => content.lease(body.get("ttlMs").number()),
            ("kv-keep", id) => content.keep(id.parse().unwrap_or(0)),
            ("kv-lease-end", id) => {
                content.leases.remove(&id.parse().unwrap_or(0));
                content.expire();
                (200, "{}".to_owned())
            }
            // Nothing is kept of the history.
            ("kv-watch", _) => (410, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    /// Promotes a server, unless the token is lower than one that was seen.
    fn promote(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let token = request.header("fencing-token").parse().unwrap_or(0);
        let id = body.get("id").text().to_owned();
        let mut content = self.content.lock().unwrap();
        let is_low = token < content.newest_token;
        content.newest_token = content.newest_token.max(token);
        drop(content);
        let accepted = !is_low && self.database.promote(&id);
        let status = if accepted { 200 } else { 409 };
        self.record.note(format!(
            "platform: promote {id} by {} with token {token} -> {status}",
            request.header("lease-holder")
        ));
        (status, "{}".to_owned())
    }
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    /// Ends leases that were not renewed in time and removes their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (term, at)| now - *at < *term);
        let leases = &self.leases;
        let before = self.items.len();
        self.items
            .retain(|_, item| item.lease == 0 || leases.contains_key(&item.lease));
        self.revision += (before - self.items.len()) as u64;
    }

    fn item(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(item) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
                item.value, item.revision, item.created, item.lease
            ),
            None => format!("{{\"key\":\"{key}\"}}"),
        }
    }

    fn key(&self, key: &str) -> Response {
        if self.items.contains_key(key) {
            (200, self.item(key))
        } else {
            (404, "{}".to_owned())
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Response {
        let mut keys = self.items.keys();
        let found: Vec<&String> = keys
            .by_ref()
            .filter(|key| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE_ITEMS + 1)
            .collect();
        let has_more = found.len() > PAGE_ITEMS;
        let items: Vec<String> = found
            .iter()
            .take(PAGE_ITEMS)
            .map(|key| self.item(key))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"currentRev\":{}}}",
            items.join(","),
            self.revision
        );
        (200, body)
    }

    fn transact(&mut self, body: &Json) -> Response {
        let expected = body.get("expected").items();
        let holds = expected.iter().all(|row| {
            let present = self.items.get(row.get("key").text());
            present.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let items: Vec<String> = expected
                .iter()
                .map(|row| self.item(row.get("key").text()))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").items();
        let leases = puts.iter().map(|put| put.get("lease").number());
        if leases
            .clone()
            .any(|lease| lease != 0 && !self.leases.contains_key(&lease))
        {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = put.get("value").text().to_owned();
            self.put(put.get("key").text(), value, put.get("lease").number());
        }
        for key in body.get("deletes").items() {
            if self.items.remove(key.text()).is_some() {
                self.revision += 1;
            }
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn lease(&mut self, ttl_ms: u64) -> Response {
        self.revision += 1;
        let id = self.revision;
        let term = Duration::from_millis(ttl_ms.max(1_000));
        self.leases.insert(id, (term, Instant::now()));
        let ttl_ms = term.as_millis();
        (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&mut self, id: u64) -> Response {
        match self.leases.get_mut(&id) {
            Some((term, at)) => {
                *at = Instant::now();
                (200, format!("{{\"ttlMs\":{}}}", term.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

struct Request {
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Request {
    /// Reads the next request of a connection; returns nothing at its end.
    fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut first = String::new();
        reader.read_line(&mut first).ok()?;
        let target = first.split(' ').nth(1)?.to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut headers = BTreeMap::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").map_or("0", String::as_str);
        let mut body = vec![0_u8; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Some(Self {
            path: path.to_owned(),
            query: pairs.map(|(n, v)| (n.to_owned(), unescape(v))).collect(),
            headers,
            body: String::from_utf8(body).ok()?,
        })
    }

    fn query(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Decodes percent escapes of a query value.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        let code = (byte == b'%' && rest.len() >= 2)
            .then(|| std::str::from_utf8(&rest[..2]).ok())
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                bytes.push(code);
                rest = &rest[2..];
            }
            None if byte == b'+' => bytes.push(b' '),
            None => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
