//! Client input that is malformed, incomplete or over a limit; flush, cancel and limits.

use std::time::Duration;

use mustardbay_process::settings::Milliseconds;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::test_bed::OPEN_ROUTE;
use crate::test_bed::TestBed;
use crate::test_bed::connect;
use crate::test_bed::db_error;
use crate::test_bed::eventually;
use crate::test_bed::first_value;

/// Returns a start-up message for the open route.
fn startup() -> Vec<u8> {
    let mut body = 196_608_u32.to_be_bytes().to_vec();
    let token = "v1.g1.1:0";
    for text in [
        "user",
        "x",
        "database",
        OPEN_ROUTE,
        "mustardbay.session",
        token,
    ] {
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    body.push(0);
    let mut packet = u32::try_from(body.len() + 4)
        .unwrap()
        .to_be_bytes()
        .to_vec();
    packet.extend_from_slice(&body);
    packet
}

/// Sends bytes and returns the output until the connection closes.
async fn exchange(bed: &TestBed, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(bed.entry.client_address())
        .await
        .unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // Closing a connection with unread input may also reset it.
    match stream.read_to_end(&mut answer).await {
        Ok(_) | Err(_) => answer,
    }
}

fn contains(answer: &[u8], text: &str) -> bool {
    answer.windows(text.len()).any(|w| w == text.as_bytes())
}

#[test_case(&[0, 0, 0, 4]; "packet without a code")]
#[test_case(&[0, 0, 0, 9, 0, 7, 0, 0, 0]; "other major version")]
#[test_case(&[0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0]; "oversized start-up")]
#[test_case(b"GET / HTTP/1.1\r\n\r\n"; "other protocol")]
#[tokio::test]
async fn startup_malformed_ends_the_connection(bytes: &[u8]) {
    let bed = TestBed::start().await;
    exchange(&bed, bytes).await;
}

#[test_case(&[b'P', 0, 0, 0, 5, 0]; "parse cut short")]
#[test_case(&[b'B', 0, 0, 0, 8, 0, 0, 0xff, 0xff]; "bind with a false count")]
#[test_case(&[b'E', 0, 0, 0, 4]; "execute without a body")]
#[test_case(&[b'Q', 0, 0, 0, 3]; "length below its own size")]
#[test_case(&[b'?', 0, 0, 0, 4]; "unknown type")]
#[test_case(&[b'Q', 0x7f, 0xff, 0xff, 0xff, 0]; "oversized query")]
#[tokio::test]
async fn message_malformed_is_refused(message: &[u8]) {
    let bed = TestBed::start().await;
    let mut bytes = startup();
    bytes.extend_from_slice(message);
    assert!(contains(&exchange(&bed, &bytes).await, "08P01"));
    assert!(bed.pool.log().is_empty());
}

#[tokio::test]
async fn startup_unfinished_is_closed() {
    let bed = TestBed::start_with(|s| s.limits.startup_ms = Milliseconds::clamped(20)).await;
    assert!(exchange(&bed, &startup()[..10]).await.is_empty());
}

#[tokio::test]
async fn encryption_refused_without_certificate() {
    let bed = TestBed::start().await;
    let mut stream = TcpStream::connect(bed.entry.client_address())
        .await
        .unwrap();
    for code in [80_877_104_u32, 80_877_103] {
        stream.write_all(&8_u32.to_be_bytes()).await.unwrap();
        stream.write_all(&code.to_be_bytes()).await.unwrap();
        assert_eq!(stream.read_u8().await.unwrap(), b'N');
    }
    stream.write_all(&startup()).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'R');
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused() {
    let bed = TestBed::start_with(|s| s.limits.connections = 1).await;
    let client = bed.client().await;
    assert_eq!(db_error(connect(&bed.config()).await).0, "53300");
    drop(client);
    while connect(&bed.config()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the types of the messages up to the last one of type `last`.
async fn types_until(stream: &mut TcpStream, last: u8) -> String {
    let mut types = String::new();
    loop {
        let kind = stream.read_u8().await.unwrap();
        let length = stream.read_u32().await.unwrap() as usize;
        stream.read_exact(&mut vec![0; length - 4]).await.unwrap();
        types.push(char::from(kind));
        if kind == last {
            return types;
        }
    }
}

/// Opens a session with a token, so that no `ParameterStatus` with a token precedes the answers.
async fn session(bed: &TestBed) -> TcpStream {
    let mut stream = TcpStream::connect(bed.entry.client_address())
        .await
        .unwrap();
    stream.write_all(&startup()).await.unwrap();
    types_until(&mut stream, b'Z').await;
    stream
}

const PARSE: &[u8] = b"P\0\0\0\x12s1\0SELECT 1\0\0\0";
const PARSE_BROKEN: &[u8] = b"P\0\0\0\x11s1\0broken!\0\0\0";
const DESCRIBE: &[u8] = b"D\0\0\0\x08Ss1\0";
const BIND: &[u8] = b"B\0\0\0\x0e\0s1\0\0\0\0\0\0\0";
const EXECUTE: &[u8] = b"E\0\0\0\x09\0\0\0\0\0";
const FLUSH: &[u8] = b"H\0\0\0\x04";
const SYNC: &[u8] = b"S\0\0\0\x04";

#[tokio::test]
async fn flush_answers_what_was_prepared() {
    let bed = TestBed::start().await;
    let mut stream = session(&bed).await;
    stream
        .write_all(&[PARSE, DESCRIBE, FLUSH].concat())
        .await
        .unwrap();
    assert_eq!(types_until(&mut stream, b'T').await, "1tT");
    stream
        .write_all(&[BIND, EXECUTE, SYNC].concat())
        .await
        .unwrap();
    assert_eq!(types_until(&mut stream, b'Z').await, "2DCZ");
}

#[tokio::test]
async fn flush_after_error_skips_to_sync() {
    let bed = TestBed::start().await;
    let mut stream = session(&bed).await;
    stream
        .write_all(&[PARSE_BROKEN, FLUSH].concat())
        .await
        .unwrap();
    assert_eq!(types_until(&mut stream, b'E').await, "E");
    stream
        .write_all(&[BIND, EXECUTE, SYNC].concat())
        .await
        .unwrap();
    assert_eq!(types_until(&mut stream, b'Z').await, "Z");
    assert_eq!(bed.pool.log().len(), 1);
}

#[tokio::test]
async fn flush_of_an_implicit_transaction_is_refused() {
    let bed = TestBed::start().await;
    let mut stream = session(&bed).await;
    stream
        .write_all(&[PARSE, BIND, EXECUTE, FLUSH, SYNC].concat())
        .await
        .unwrap();
    assert_eq!(types_until(&mut stream, b'Z').await, "EZ");
    assert!(bed.pool.log().is_empty());
}

#[tokio::test]
async fn unnamed_statement_survives_sync() {
    let bed = TestBed::start().await;
    let mut stream = session(&bed).await;
    let parse = b"P\0\0\0\x10\0SELECT 1\0\0\0";
    stream.write_all(&[parse, SYNC].concat()).await.unwrap();
    assert_eq!(types_until(&mut stream, b'Z').await, "1Z");
    let bind = b"B\0\0\0\x0c\0\0\0\0\0\0\0\0";
    stream
        .write_all(&[bind, EXECUTE, SYNC].concat())
        .await
        .unwrap();
    assert_eq!(types_until(&mut stream, b'Z').await, "2DCZ");
}

#[tokio::test]
async fn unnamed_statement_unknown_is_an_error() {
    let bed = TestBed::start().await;
    let mut stream = session(&bed).await;
    let bind = b"B\0\0\0\x0c\0\0\0\0\0\0\0\0";
    stream
        .write_all(&[bind, EXECUTE, SYNC].concat())
        .await
        .unwrap();
    assert_eq!(types_until(&mut stream, b'Z').await, "EZ");
}

#[tokio::test]
async fn prepared_statements_are_bounded() {
    let bed = TestBed::start_with(|s| s.limits.statements = 2).await;
    let client = bed.client().await;
    let first = client.prepare("SELECT 1").await.unwrap();
    let _second = client.prepare("SELECT 2").await.unwrap();
    assert_eq!(db_error(client.prepare("SELECT 3").await).0, "54000");
    drop(first);
    client.prepare("SELECT 3").await.unwrap();
}

#[tokio::test]
async fn cancel_reaches_the_pool() {
    let bed = TestBed::start().await;
    let client = bed.client().await;
    bed.pool.script(crate::fake_pool::ScriptedAction::Hang);
    let token = client.cancel_token();
    let running =
        tokio::spawn(async move { client.batch_execute("INSERT INTO t VALUES (1)").await });
    eventually(|| !bed.pool.log().is_empty()).await;
    token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    eventually(|| !bed.pool.cancels().is_empty()).await;
    running.abort();
}

#[tokio::test]
async fn copy_is_refused() {
    let bed = TestBed::start().await;
    let client = bed.client().await;
    assert_eq!(
        db_error(client.batch_execute("COPY t TO STDOUT").await).0,
        "0A000"
    );
    assert_ne!(first_value(&client, "SELECT 1").await.unwrap(), "");
}
