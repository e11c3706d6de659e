//! Client of the line protocol.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;

/// Longest wait for an answer.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Answer to one query.
#[derive(Debug, Clone)]
pub struct Answer {
    pub rows: Vec<String>,
    /// Signature of the server, if the query succeeded.
    pub signature: Option<String>,
    /// Error code, if it failed.
    pub code: Option<String>,
    /// Transaction state after it: `I`, `T` or `E`.
    pub state: String,
}

impl Answer {
    /// Tells whether the query succeeded.
    pub fn succeeded(&self) -> bool {
        self.code.is_none()
    }

    /// Returns the answer as one word.
    pub fn word(&self) -> String {
        match (&self.code, &self.signature) {
            (Some(code), _) => format!("ERROR {code}, state {}", self.state),
            (None, signature) => format!(
                "COMPLETE {}, state {}",
                signature.as_deref().unwrap_or("-"),
                self.state
            ),
        }
    }
}

/// Session of a client.
pub struct Caller {
    name: String,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    record: Option<Arc<Record>>,
    next_id: u64,
}

impl Caller {
    /// Begins a session; returns nothing if it is refused.
    pub fn open(
        name: &str,
        address: SocketAddr,
        database: &str,
        key: &str,
        record: Option<Arc<Record>>,
    ) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(MAX_WAIT)).ok()?;
        let mut caller = Self {
            name: name.to_owned(),
            writer: stream.try_clone().ok()?,
            reader: BufReader::new(stream),
            record,
            next_id: 0,
        };
        caller.send(&format!("START {database} {key}"))?;
        let first = caller.line()?;
        caller.note(&format!("START {database} -> {first}"));
        first.starts_with("READY").then_some(caller)
    }

    /// Returns a new id for a query.
    pub fn new_id(&mut self) -> String {
        self.next_id += 1;
        format!("{}-{:04}", self.name, self.next_id)
    }

    /// Sends a query with a new id; returns the id and the answer, if one comes.
    pub fn ask(&mut self, text: &str) -> (String, Option<Answer>) {
        let id = self.new_id();
        let answer = self.ask_as(&id, text);
        (id, answer)
    }

    /// Sends a query with an id and waits for its answer; returns nothing if the connection ends.
    pub fn ask_as(&mut self, id: &str, text: &str) -> Option<Answer> {
        let began = Instant::now();
        let shown = text.escape_debug().to_string();
        self.note(&format!("QUERY {id} {shown}"));
        let answer = self
            .send(&format!("QUERY {id} {text}"))
            .and_then(|()| self.answer());
        let word = answer.as_ref().map_or_else(
            || "no answer, the connection ended".to_owned(),
            Answer::word,
        );
        self.note(&format!(
            "answer to {id} after {} ms: {word}",
            began.elapsed().as_millis()
        ));
        answer
    }

    /// Reads one whole answer.
    pub fn answer(&mut self) -> Option<Answer> {
        let mut answer = Answer {
            rows: Vec::new(),
            signature: None,
            code: None,
            state: String::new(),
        };
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "COMPLETE" => answer.signature = Some(rest.to_owned()),
                "ERROR" => answer.code = rest.split(' ').next().map(str::to_owned),
                "READY" => {
                    rest.split(' ')
                        .next()
                        .unwrap_or("")
                        .clone_into(&mut answer.state);
                    return Some(answer);
                }
                _ => return None,
            }
        }
    }

    /// Waits for a message that no query asked for.
    pub fn unasked(&mut self, wait: Duration) -> Option<String> {
        self.wait_at_most(wait);
        let line = self.line();
        self.wait_at_most(MAX_WAIT);
        line
    }

    /// Tells whether the other side has ended the connection.
    pub fn has_ended(&mut self) -> bool {
        self.block(false);
        let mut byte = [0_u8; 1];
        let ended = match self.reader.read(&mut byte) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        };
        self.block(true);
        ended
    }

    fn block(&self, blocks: bool) {
        if let Err(e) = self.reader.get_ref().set_nonblocking(!blocks) {
            self.note(&format!("the connection's mode was not set: {e}"));
        }
    }

    fn wait_at_most(&self, time: Duration) {
        if let Err(e) = self.reader.get_ref().set_read_timeout(Some(time)) {
            self.note(&format!("the read timeout was not set: {e}"));
        }
    }

    fn send(&mut self, line: &str) -> Option<()> {
        self.writer.write_all(format!("{line}\r\n").as_bytes()).ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0 && line.ends_with("\r\n")).then(|| line.trim_end().to_owned())
    }

    fn note(&self, text: &str) {
        if let Some(record) = &self.record {
            record.note(format!("client {}: {text}", self.name));
        }
    }
}
