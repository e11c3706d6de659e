//! Stand-in of a client: one session on one connection.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::database::read_line;
use crate::record::Record;

/// Time after which a client gives up waiting for an answer.
const PATIENCE: Duration = Duration::from_secs(5);
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Answer to one query.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Id of the query.
    pub id: String,
    pub rows: Vec<String>,
    /// Signature, or the error code.
    pub result: Result<String, String>,
    /// Session state after it.
    pub state: String,
}

/// A client's session.
pub struct Session {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
    record: Record,
    name: String,
}

impl Session {
    /// Opens a session; `None` if it is not accepted.
    pub fn open(
        entry: SocketAddr,
        route: &str,
        key: &str,
        name: &str,
        record: &Record,
    ) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&entry, PATIENCE).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut session = Self {
            reader: BufReader::new(stream.try_clone().ok()?),
            stream,
            record: record.clone(),
            name: name.to_owned(),
        };
        session.send(&format!("START {route} {key}"))?;
        let first = read_line(&mut session.reader)?;
        first.starts_with("READY").then_some(session)
    }

    fn send(&mut self, line: &str) -> Option<()> {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).ok()
    }

    /// Sends a query under a new id and returns its answer; `None` if the connection ended.
    pub fn ask(&mut self, text: &str) -> Option<Answer> {
        let id = format!(
            "{:016x}",
            0x5c0e_0000_u64 + NEXT_ID.fetch_add(1, Ordering::Relaxed)
        );
        self.record
            .note(format!("client {} sent {id} {text}", self.name));
        let answer = self.exchange(&id, text);
        let shown = match &answer {
            None => "no answer".to_owned(),
            Some(a) => match &a.result {
                Ok(signature) => format!(
                    "COMPLETE {signature} rows {} READY {}",
                    shown(&a.rows),
                    a.state
                ),
                Err(code) => format!("ERROR {code} READY {}", a.state),
            },
        };
        self.record
            .note(format!("client {} answered {id} {shown}", self.name));
        answer
    }

    fn exchange(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}"))?;
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            let line = read_line(&mut self.reader)?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Some(Ok(rest.to_owned())),
                "ERROR" => result = Some(Err(rest.to_owned())),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Some(Answer {
                        id: id.to_owned(),
                        rows,
                        result: result?,
                        state,
                    });
                }
                _ => return None,
            }
        }
    }
}

/// Shows the rows of an answer, or their number and length if they are long.
fn shown(rows: &[String]) -> String {
    match rows.first() {
        Some(first) if first.len() > 80 => format!("{} of {} bytes", rows.len(), first.len()),
        _ => format!("{rows:?}"),
    }
}
