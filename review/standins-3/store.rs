//! Stand-in of the platform's store and of its promotion call: HTTP/1.1 on one loopback address.

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
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::group::Groups;
use super::json::Json;
use super::json::to_base64;
use super::record::Record;

/// Most items in a page of a list.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Highest fencing token of each service.
    tokens: BTreeMap<String, u64>,
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (term, since))| now.duration_since(*since) >= *term)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end(id);
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.items.remove(&key);
        }
    }
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    content: Arc<Mutex<Content>>,
    groups: Groups,
    record: Record,
    pub address: SocketAddr,
}

struct Request {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Store {
    pub fn start(groups: Groups, record: Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            content: Arc::new(Mutex::new(Content {
                revision: 10,
                ..Content::default()
            })),
            groups,
            record,
            address: listener.local_addr().expect("bound"),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let beating = store.clone();
        thread::spawn(move || {
            loop {
                beating.register();
                thread::sleep(Duration::from_millis(100));
            }
        });
        store
    }

    /// Writes a document, as the operator does; returns once the store has acknowledged it.
    pub fn put(&self, key: &str, document: &str) {
        let mut content = self.content.lock().expect("not poisoned");
        content.put(key, to_base64(document.as_bytes()), 0);
        self.record
            .line(&format!("operator put {key} acknowledged"));
    }

    /// Removes a document, as the operator does.
    pub fn remove(&self, key: &str) {
        let mut content = self.content.lock().expect("not poisoned");
        content.revision += 1;
        content.items.remove(key);
        self.record
            .line(&format!("operator delete {key} acknowledged"));
    }

    /// Tells how many keys begin with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let mut content = self.content.lock().expect("not poisoned");
        content.expire();
        content
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// Writes the entries of the backends that changed, and removes those of backends that are gone.
    fn register(&self) {
        let entries = self.groups.entries();
        let mut content = self.content.lock().expect("not poisoned");
        for (key, document) in &entries {
            let value = to_base64(document.as_bytes());
            if content
                .items
                .get(key)
                .is_none_or(|item| item.value != value)
            {
                content.put(key, value, 0);
            }
        }
        let gone: Vec<String> = content
            .items
            .keys()
            .filter(|key| key.starts_with("servers/") && !entries.contains_key(*key))
            .cloned()
            .collect();
        for key in gone {
            content.revision += 1;
            content.items.remove(&key);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if request.path == "/promote" {
            return self.promote(request, &body);
        }
        let mut content = self.content.lock().expect("not poisoned");
        content.expire();
        let path = request.path.trim_start_matches("/mustardbay/");
        let (call, id) = path.split_once('/').unwrap_or((path, ""));
        let id: u64 = id.parse().unwrap_or(0);
        match (request.method.as_str(), call) {
            ("GET", "kv-range") => {
                let prefix = request.query.get("prefix").cloned().unwrap_or_default();
                let after = request.query.get("after").cloned().unwrap_or_default();
                let mut found = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found
                    .by_ref()
                    .take(PAGE_ITEMS)
                    .map(|(key, item)| item_text(key, item))
                    .collect();
                let more = found.next().is_some();
                let page = format!(
                    "{{\"items\":[{}],\"hasMore\":{more},\"currentRev\":{}}}",
                    items.join(","),
                    content.revision
                );
                (200, page)
            }
            ("POST", "kv-lease") => {
                let term = body.get("ttlMs").map_or(1_000, Json::number).max(1_000);
                content.revision += 1;
                let lease = content.revision;
                let entry = (Duration::from_millis(term), Instant::now());
                content.leases.insert(lease, entry);
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{term}}}"))
            }
            ("POST", "kv-keep") => match content.leases.get_mut(&id) {
                Some((term, since)) => {
                    *since = Instant::now();
                    (200, format!("{{\"ttlMs\":{}}}", term.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", "kv-lease-end") => {
                content.end(id);
                (200, "{}".to_owned())
            }
            ("POST", "kv-txn") => transact(&mut content, &body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn promote(&self, request: &Request, body: &Json) -> (u16, String) {
        let service = body.get("service").map_or("", Json::text);
        let id = body.get("id").map_or("", Json::text);
        let token = request.headers.get("fencing-token");
        let token: u64 = token.and_then(|text| text.parse().ok()).unwrap_or(0);
        let holder = request.headers.get("lease-holder").cloned();
        let holder = holder.unwrap_or_default();
        let mut content = self.content.lock().expect("not poisoned");
        let seen = content.tokens.entry(service.to_owned()).or_default();
        let fenced = token < *seen;
        *seen = token.max(*seen);
        drop(content);
        let status = if !fenced && self.groups.promote(service, id) {
            200
        } else {
            409
        };
        self.record.line(&format!(
            "promote {service} {id} by {holder} with {token}: {status}"
        ));
        (status, "{}".to_owned())
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn transact(content: &mut Content, body: &Json) -> (u16, String) {
    let list = |name: &str| body.get(name).map_or(&[][..], Json::list);
    for row in list("expected") {
        let key = row.get("key").map_or("", Json::text);
        let wanted = row.get("revision").map_or(0, Json::number);
        let present = content.items.get(key).map_or(0, |item| item.revision);
        if wanted != present {
            let items: Vec<String> = list("expected")
                .iter()
                .map(|row| row.get("key").map_or("", Json::text))
                .map(|key| match content.items.get(key) {
                    Some(item) => item_text(key, item),
                    None => format!("{{\"key\":\"{key}\"}}"),
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
    }
    for put in list("puts") {
        let lease = put.get("lease").map_or(0, Json::number);
        if lease != 0 && !content.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
    }
    for put in list("puts") {
        let key = put.get("key").map_or("", Json::text);
        let value = put.get("value").map_or("", Json::text);
        let lease = put.get("lease").map_or(0, Json::number);
        content.put(key, value.to_owned(), lease);
    }
    for key in list("deletes") {
        content.revision += 1;
        content.items.remove(key.text());
    }
    (200, format!("{{\"revision\":{}}}", content.revision))
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(if byte == b'+' { b' ' } else { byte });
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
