//! A client's session.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Answer to one query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub rows: usize,
    pub first_row: String,
    /// Signature, or the error's code and text.
    pub result: Result<String, String>,
    pub state: char,
}

pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Starts a session; the error tells why there is none.
    pub fn start(address: SocketAddr, database: &str, key: &str) -> Result<Client, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
            .map_err(|e| format!("connect: {e}"))?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let mut client = Client {
            reader: BufReader::with_capacity(256 * 1024, stream),
        };
        client.send(&format!("START {database} {key}"))?;
        let line = client.line()?;
        if line.starts_with("READY") {
            Ok(client)
        } else {
            Err(line)
        }
    }

    /// Sets the longest wait for a part of an answer.
    pub fn patience(&mut self, time: Duration) {
        let _ = self.reader.get_ref().set_read_timeout(Some(time));
    }

    pub fn send(&mut self, line: &str) -> Result<(), String> {
        let text = format!("{line}\r\n");
        let sent = self.reader.get_mut().write_all(text.as_bytes());
        sent.map_err(|e| format!("send: {e}"))
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err("closed".to_owned()),
            Ok(_) => Ok(line.trim_end_matches(['\r', '\n']).to_owned()),
            Err(e) => Err(format!("read: {e}")),
        }
    }

    /// Sends a query and reads its whole answer; the error tells how the connection failed.
    pub fn ask(&mut self, id: &str, text: &str) -> Result<Answer, String> {
        self.send(&format!("QUERY {id} {text}"))?;
        self.answer()
    }

    /// Reads the whole answer to a query that was sent.
    pub fn answer(&mut self) -> Result<Answer, String> {
        let mut rows = 0;
        let mut first_row = String::new();
        let mut result = Err("no end".to_owned());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => {
                    rows += 1;
                    if rows == 1 {
                        rest.clone_into(&mut first_row);
                    }
                }
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => result = Err(rest.to_owned()),
                "READY" => {
                    return Ok(Answer {
                        rows,
                        first_row,
                        result,
                        state: rest.chars().next().unwrap_or('?'),
                    });
                }
                _ => return Err(format!("unknown message {line}")),
            }
        }
    }
}
