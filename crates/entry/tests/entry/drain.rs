//! Graceful shutdown.

use std::time::Duration;
use std::time::Instant;

use mustardbay_process::settings::Milliseconds;
use test_case::test_case;

use crate::fake_pool::ScriptedAction;
use crate::startup::admin_get;
use crate::test_bed::TestBed;
use crate::test_bed::connect;
use crate::test_bed::db_error;
use crate::test_bed::eventually;

#[tokio::test]
async fn drain_finishes_the_open_transaction() {
    let bed = TestBed::start().await;
    let idle = bed.client().await;
    let busy = bed.client().await;
    busy.batch_execute("BEGIN").await.unwrap();
    bed.lifecycle.drain();
    eventually(|| idle.is_closed()).await;
    assert!(admin_get(&bed, "/healthz").await.contains("503"));
    let (code, detail) = db_error(connect(&bed.config()).await);
    assert_eq!(
        (code.as_str(), detail.as_str()),
        ("57P01", "outcome=not_run retry_after_ms=0")
    );
    busy.batch_execute("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    busy.batch_execute("COMMIT").await.unwrap();
    eventually(|| busy.is_closed()).await;
    bed.lifecycle.stopped().await;
}

#[tokio::test]
async fn drain_ends_at_its_bound() {
    let bed = TestBed::start_with(|s| s.limits.drain_ms = Milliseconds::clamped(20)).await;
    let busy = bed.client().await;
    busy.batch_execute("BEGIN").await.unwrap();
    bed.lifecycle.drain();
    bed.lifecycle.stopped().await;
}

/// Guards against a statement that gets no answer because the entry stops (LOST).
#[test_case(&["BEGIN"], "INSERT INTO t VALUES (1)"; "in_a_transaction")]
#[test_case(&[], "INSERT INTO t VALUES (1)"; "write")]
#[test_case(&[], "SELECT 1"; "read")]
#[tokio::test]
async fn drain_answers_the_statement_that_outlasts_it(begin: &[&str], sql: &str) {
    let bed = TestBed::start_with(|s| s.limits.drain_ms = Milliseconds::clamped(1_000)).await;
    let busy = bed.client().await;
    for sql in begin {
        busy.batch_execute(sql).await.unwrap();
    }
    bed.pool.script(ScriptedAction::Hang);
    let requests = bed.pool.log().len();
    let stopping = async {
        eventually(|| bed.pool.log().len() > requests).await;
        bed.lifecycle.drain();
        Instant::now() + Duration::from_secs(1)
    };
    let answering = async { (busy.batch_execute(sql).await, Instant::now()) };
    let (end, (answered, at)) = tokio::join!(stopping, answering);
    assert!(at < end, "the process would have ended before");
    let (_, detail) = db_error(answered);
    assert!(detail.starts_with("outcome=unknown"), "{detail}");
}
