//! The demonstration's session, from a first write to the loss of a primary.

use std::time::Duration;

use tokio::time::Instant;
use tokio_postgres::Client;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::types::Type;

use super::error::DemoError;
use super::report::Report;
use super::report::Verdict;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::fleet::demo;

/// Time within which a withdrawn key must have stopped working.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(4);
/// Time within which writes must flow again after a primary was killed.
const FAILOVER_BOUND: Duration = Duration::from_secs(18);
/// Writes that are acknowledged before the primary is killed.
const WRITES_BEFORE: u32 = 20;
/// Writes that are acknowledged after the primary was killed.
const WRITES_AFTER: u32 = 20;
/// Pause between two tries while something is awaited.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Runs the demonstration and returns what was seen.
///
/// # Errors
///
/// Fails if the fleet does not start or a statement fails that should not.
pub async fn tell() -> Result<Report, DemoError> {
    let mut fleet = Fleet::start(demo()).await?;
    let mut report = Report::default();
    roam(&fleet, &mut report).await?;
    refuse_wrong_key(&fleet, &mut report).await;
    lose_primary(&mut fleet, &mut report).await?;
    withdraw_key(&mut fleet, &mut report).await?;
    fleet.stop().await;
    Ok(report)
}

/// Writes on one entry and reads on the others, with the session's token and without.
async fn roam(fleet: &Fleet, report: &mut Report) -> Result<(), DemoError> {
    let writer = fleet.caller("vm1", "alice", "ledger").await?;
    writer
        .batch_execute("CREATE TABLE entries (id BIGINT PRIMARY KEY, note TEXT)")
        .await?;
    let insert = "INSERT INTO entries VALUES ($1, $2)";
    writer
        .query_typed(insert, &[(&1_i64, Type::INT8), (&"first", Type::TEXT)])
        .await?;
    report.add("write on vm1", "acknowledged", Verdict::Held);
    let token = show_session(&writer).await?;
    let reader = fleet
        .caller_with("vm2", "alice", "ledger", Some(&token))
        .await?;
    let seen = count(&reader).await?;
    report.add(
        "read on vm2 with the session's token",
        format!("{seen} row"),
        Verdict::of(seen == 1),
    );
    let stranger = fleet.caller("vm3", "alice", "ledger").await?;
    let seen = count(&stranger).await?;
    report.add(
        "read on vm3 without a token",
        format!("{seen} row"),
        Verdict::of(seen == 1),
    );
    Ok(())
}

async fn refuse_wrong_key(fleet: &Fleet, report: &mut Report) {
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
    let verdict = Verdict::of(code.as_deref() == Some("28P01"));
    report.add(
        "wrong key",
        format!("refused with {}", code.unwrap_or_default()),
        verdict,
    );
}

/// Kills the primary of `ledger` between acknowledged writes and counts what is left.
async fn lose_primary(fleet: &mut Fleet, report: &mut Report) -> Result<(), DemoError> {
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
    let mut next = 1000;
    while gap.is_none() && killed.elapsed() < FAILOVER_BOUND {
        match insert(&caller, next).await {
            Ok(()) => {
                gap = Some(killed.elapsed());
                acknowledged.push(next);
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
        next += 1;
    }
    let seen = gap.map_or_else(
        || "none came through".to_owned(),
        |gap| format!("{gap:.0?}"),
    );
    report.add(
        "primary killed: gap in writes",
        seen,
        Verdict::of(gap.is_some()),
    );
    for id in 0..WRITES_AFTER {
        insert(&caller, 2000 + id).await?;
        acknowledged.push(2000 + id);
    }
    let missing = missing(&caller, &acknowledged).await?;
    let seen = format!("{} acknowledged, {missing} missing", acknowledged.len());
    report.add(
        "acknowledged writes after the failover",
        seen,
        Verdict::of(missing == 0),
    );
    Ok(())
}

/// Withdraws the key of a session that stays open.
async fn withdraw_key(fleet: &mut Fleet, report: &mut Report) -> Result<(), DemoError> {
    let caller = fleet.caller("vm2", "bob", "ledger").await?;
    count(&caller).await?;
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
        match count(&caller).await {
            Ok(_) => tokio::time::sleep(RETRY_PAUSE).await,
            Err(_) => stopped = Some(withdrawn.elapsed()),
        }
    }
    let seen = stopped.map_or_else(
        || "still works".to_owned(),
        |t| format!("stopped in {t:.0?}"),
    );
    report.add(
        "key withdrawn on an open connection",
        seen,
        Verdict::of(stopped.is_some()),
    );
    let again = fleet.caller("vm1", "bob", "ledger").await;
    let refused = matches!(again, Err(FleetError::Caller(_)));
    let seen = if refused { "refused" } else { "let in" };
    report.add("the same key on another entry", seen, Verdict::of(refused));
    Ok(())
}

async fn show_session(caller: &Client) -> Result<String, tokio_postgres::Error> {
    let rows = caller.simple_query("SHOW mustardbay.session").await?;
    let text = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    Ok(text.unwrap_or_default())
}

async fn count(caller: &Client) -> Result<i64, tokio_postgres::Error> {
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

/// Counts the acknowledged rows that cannot be read.
async fn missing(caller: &Client, ids: &[u32]) -> Result<usize, tokio_postgres::Error> {
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
