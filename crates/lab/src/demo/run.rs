//! Steps of the demonstration, from a first write to a failover and the withdrawal of a key.

use std::time::Duration;

use tokio::time::Instant;
use tokio_postgres::Client;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::types::Type;

use super::error::DemoError;
use super::report::Report;
use super::report::StepResult;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::fleet::demo;

/// Time within which a withdrawn key must stop working.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(4);
/// Time within which a write must succeed after the primary was killed.
const FAILOVER_BOUND: Duration = Duration::from_secs(18);
/// Number of writes that are acknowledged before the primary is killed.
const WRITES_BEFORE: u32 = 20;
/// Number of writes that are acknowledged after the failover.
const WRITES_AFTER: u32 = 20;
/// Time between two attempts while the demonstration waits for a change.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Runs every step of the demonstration on a new fleet and returns the report.
///
/// # Errors
///
/// Fails if the fleet does not start or cannot be controlled, or if a statement fails unexpectedly.
pub async fn run() -> Result<Report, DemoError> {
    let mut fleet = Fleet::start(demo()).await?;
    let mut report = Report::default();
    read_your_writes(&fleet, &mut report).await?;
    wrong_key(&fleet, &mut report).await;
    primary_failover(&mut fleet, &mut report).await?;
    key_withdrawal(&mut fleet, &mut report).await?;
    fleet.stop().await;
    Ok(report)
}

/// Writes on one entry and reads on the others, with and without the session's token.
async fn read_your_writes(fleet: &Fleet, report: &mut Report) -> Result<(), DemoError> {
    let writer = fleet.caller("vm1", "alice", "ledger").await?;
    writer
        .batch_execute("CREATE TABLE entries (id BIGINT PRIMARY KEY, note TEXT)")
        .await?;
    let insert = "INSERT INTO entries VALUES ($1, $2)";
    writer
        .query_typed(insert, &[(&1_i64, Type::INT8), (&"first", Type::TEXT)])
        .await?;
    report.add("write on vm1", "acknowledged", StepResult::Held);
    let token = session_token(&writer).await?;
    let reader = fleet
        .caller_with("vm2", "alice", "ledger", Some(&token))
        .await?;
    let rows = count_rows(&reader).await?;
    report.add(
        "read on vm2 with the session's token",
        format!("{rows} row"),
        StepResult::of(rows == 1),
    );
    let tokenless = fleet.caller("vm3", "alice", "ledger").await?;
    let rows = count_rows(&tokenless).await?;
    report.add(
        "read on vm3 without a token",
        format!("{rows} row"),
        StepResult::of(rows == 1),
    );
    Ok(())
}

/// Connects with a wrong key and expects SQLSTATE 28P01.
async fn wrong_key(fleet: &Fleet, report: &mut Report) {
    let mut config = tokio_postgres::Config::new();
    let (host, port) = fleet.entry("vm1").split_once(':').map_or_else(
        || (String::new(), 0),
        |(host, port)| (host.to_owned(), port.parse().unwrap_or(0)),
    );
    config
        .host(host)
        .port(port)
        .user("alice")
        .password("not-the-key")
        .dbname("ledger");
    let refused = config.connect(tokio_postgres::NoTls).await.err();
    let code = refused.and_then(|e| e.code().map(|code| code.code().to_owned()));
    let result = StepResult::of(code.as_deref() == Some("28P01"));
    report.add(
        "wrong key",
        format!("refused with {}", code.unwrap_or_default()),
        result,
    );
}

/// Kills the primary of `ledger`, measures the gap in writes and counts lost acknowledged writes.
async fn primary_failover(fleet: &mut Fleet, report: &mut Report) -> Result<(), DemoError> {
    let caller = fleet.caller("vm1", "alice", "ledger").await?;
    let mut acknowledged = vec![1];
    for id in 0..WRITES_BEFORE {
        insert(&caller, 100 + id).await?;
        acknowledged.push(100 + id);
    }
    let primary = fleet.primary("ledger").await?;
    let killed = Instant::now();
    fleet.kill(&format!("upstream-{primary}")).await?;
    let mut gap = None;
    let mut next_id = 1000;
    while gap.is_none() && killed.elapsed() < FAILOVER_BOUND {
        match insert(&caller, next_id).await {
            Ok(()) => {
                gap = Some(killed.elapsed());
                acknowledged.push(next_id);
            }
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
        next_id += 1;
    }
    let observed = gap.map_or_else(
        || "no write succeeded".to_owned(),
        |gap| format!("{gap:.0?}"),
    );
    report.add(
        "primary killed: gap in writes",
        observed,
        StepResult::of(gap.is_some()),
    );
    for id in 0..WRITES_AFTER {
        insert(&caller, 2000 + id).await?;
        acknowledged.push(2000 + id);
    }
    let missing = count_missing(&caller, &acknowledged).await?;
    let observed = format!("{} acknowledged, {missing} missing", acknowledged.len());
    report.add(
        "acknowledged writes after the failover",
        observed,
        StepResult::of(missing == 0),
    );
    Ok(())
}

/// Withdraws the key of an open session; its statements and new connections must be refused.
async fn key_withdrawal(fleet: &mut Fleet, report: &mut Report) -> Result<(), DemoError> {
    let caller = fleet.caller("vm2", "bob", "ledger").await?;
    count_rows(&caller).await?;
    let mut bundle = fleet.bundle().clone();
    for account in &mut bundle.accounts {
        if account.name.as_str() == "bob" {
            account.keys.clear();
        }
    }
    fleet.submit(bundle).await?;
    let withdrawn = Instant::now();
    let mut stopped = None;
    while stopped.is_none() && withdrawn.elapsed() < WITHDRAWAL_BOUND {
        match count_rows(&caller).await {
            Ok(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            Err(_) => stopped = Some(withdrawn.elapsed()),
        }
    }
    let observed = stopped.map_or_else(
        || "still works".to_owned(),
        |t| format!("stopped in {t:.0?}"),
    );
    report.add(
        "key withdrawn on an open connection",
        observed,
        StepResult::of(stopped.is_some()),
    );
    let again = fleet.caller("vm1", "bob", "ledger").await;
    let refused = matches!(again, Err(FleetError::Caller(_)));
    let observed = if refused { "refused" } else { "accepted" };
    report.add(
        "the same key on another entry",
        observed,
        StepResult::of(refused),
    );
    Ok(())
}

/// Returns the token of the caller's session, empty if the proxy returns none.
async fn session_token(caller: &Client) -> Result<String, tokio_postgres::Error> {
    let rows = caller.simple_query("SHOW mustardbay.session").await?;
    let text = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    Ok(text.unwrap_or_default())
}

async fn count_rows(caller: &Client) -> Result<i64, tokio_postgres::Error> {
    Ok(caller
        .query_one("SELECT count(*) FROM entries", &[])
        .await?
        .get(0))
}

async fn insert(caller: &Client, id: u32) -> Result<(), tokio_postgres::Error> {
    caller
        .batch_execute(&format!("INSERT INTO entries VALUES ({id}, 'note')"))
        .await
}

/// Returns how many of the rows with these ids cannot be read.
async fn count_missing(caller: &Client, ids: &[u32]) -> Result<usize, tokio_postgres::Error> {
    let mut missing = 0;
    for id in ids {
        let rows = caller
            .simple_query(&format!("SELECT id FROM entries WHERE id = {id}"))
            .await?;
        let found = rows
            .iter()
            .any(|message| matches!(message, SimpleQueryMessage::Row(_)));
        missing += usize::from(!found);
    }
    Ok(missing)
}
