//! Where batches go and what happens when an upstream cannot serve them.

use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use test_case::test_case;

use crate::bed::Bed;
use crate::bed::refused;
use crate::bed::value;
use crate::fake_pool::Act;

const TOKEN: &str = "v1.g1.1:5";

#[tokio::test]
async fn read_covered_goes_to_local_replica() {
    let bed = Bed::start().await;
    bed.pool.applied("b", Position::new(1, 5));
    bed.pool.applied("c", Position::new(1, 9));
    let client = bed.client_at(TOKEN).await;
    for _ in 0..3 {
        assert_eq!(value(&client, "SELECT 1").await.unwrap(), "b");
    }
    let floors: Vec<_> = bed
        .pool
        .log()
        .iter()
        .map(|s| s.floor.unwrap().index)
        .collect();
    assert_eq!(floors, [5, 5, 5]);
}

#[tokio::test]
async fn read_of_another_group_token_goes_to_primary() {
    let bed = Bed::start().await;
    bed.pool.applied("b", Position::new(1, 5));
    let client = bed.client_at("v1.other.1:5").await;
    assert_eq!(value(&client, "SELECT 1").await.unwrap(), "a");
}

#[test_case(Reason::Behind; "behind")]
#[test_case(Reason::NoUpstream; "no upstream")]
#[test_case(Reason::Overloaded; "overloaded")]
#[tokio::test]
async fn read_refused_by_replicas_goes_to_primary(reason: Reason) {
    let bed = Bed::start().await;
    for _ in 0..2 {
        bed.pool
            .will(Act::Refuse(Refusal::not_run(reason, "no", None)));
    }
    let client = bed.client_at(TOKEN).await;
    assert_eq!(value(&client, "SELECT 1").await.unwrap(), "a");
    assert_eq!(bed.pool.upstreams(), ["b", "c", "a"]);
}

#[tokio::test]
async fn write_refused_is_answered() {
    let bed = Bed::start().await;
    let after = Some(Duration::from_millis(40));
    let refusal = Refusal::not_run(Reason::Overloaded, "queue is full", after);
    bed.pool.will(Act::Refuse(refusal));
    let client = bed.client().await;
    let answer = client.batch_execute("INSERT INTO t VALUES (1)").await;
    let (code, detail) = refused(answer);
    assert_eq!(code, "53400");
    assert_eq!(detail, "outcome=not_run retry_after_ms=40");
    client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
}

#[tokio::test]
async fn write_answer_lost_is_unknown() {
    let bed = Bed::start().await;
    bed.pool.will(Act::Drop);
    let client = bed.client().await;
    let answer = client.batch_execute("INSERT INTO t VALUES (1)").await;
    assert_eq!(
        refused(answer),
        ("40003".to_owned(), "outcome=unknown".to_owned())
    );
    assert_eq!(bed.pool.log().len(), 1);
}

#[tokio::test]
async fn transaction_lost_stays_failed_until_rollback() {
    let bed = Bed::start().await;
    let client = bed.client().await;
    client.batch_execute("BEGIN").await.unwrap();
    bed.pool.will(Act::Drop);
    let answer = client.batch_execute("INSERT INTO t VALUES (1)").await;
    assert_eq!(refused(answer).0, "40003");
    let answer = client.batch_execute("INSERT INTO t VALUES (2)").await;
    assert_eq!(refused(answer).0, "25P02");
    client.batch_execute("ROLLBACK").await.unwrap();
    assert_eq!(bed.pool.log().len(), 2);
}
