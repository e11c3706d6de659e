//! Platform stand-in: compare-and-swap, leases, watches, faults and counts.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::StreamExt;
use mustardbay_lab::platform::Config;
use mustardbay_lab::platform::Mode;
use mustardbay_lab::platform::Platform;
use serde_json::Value;
use serde_json::json;

type Outcome = Result<(), Box<dyn std::error::Error>>;

/// Waits longer than any step needs on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

fn code(text: &str) -> String {
    STANDARD.encode(text)
}

async fn post(platform: &Platform, path: &str, body: &Value) -> Result<Value, reqwest::Error> {
    let url = format!("{}{path}", platform.url());
    let sent = reqwest::Client::new().post(url).json(body).send().await?;
    sent.error_for_status()?.json().await
}

async fn put(platform: &Platform, key: &str, value: &str) -> Result<Value, reqwest::Error> {
    let body = json!({ "key": code(key), "value": code(value) });
    post(platform, "/v3/kv/put", &body).await
}

async fn get(platform: &Platform, key: &str) -> Result<Value, reqwest::Error> {
    post(platform, "/v3/kv/range", &json!({ "key": code(key) })).await
}

fn swap(key: &str, revision: i64, value: &str) -> Value {
    json!({
        "compare": [{ "key": code(key), "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string() }],
        "success": [{ "requestPut": { "key": code(key), "value": code(value) } }],
        "failure": [{ "requestRange": { "key": code(key) } }],
    })
}

#[tokio::test]
async fn txn_has_one_winner() -> Outcome {
    let platform = Platform::start(&Config::default()).await?;
    let first = post(&platform, "/v3/kv/txn", &swap("a", 0, "one")).await?;
    assert_eq!(first["succeeded"], true);
    let second = post(&platform, "/v3/kv/txn", &swap("a", 0, "two")).await?;
    assert_eq!(second["succeeded"], false);
    let found = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(found["value"], code("one"));
    let revision: i64 = found["mod_revision"].as_str().unwrap_or_default().parse()?;
    let third = post(&platform, "/v3/kv/txn", &swap("a", revision, "three")).await?;
    assert_eq!(third["succeeded"], true);
    Ok(())
}

#[tokio::test]
async fn range_by_prefix() -> Outcome {
    let platform = Platform::start(&Config::default()).await?;
    for key in ["vms/1", "vms/2", "other"] {
        put(&platform, key, "x").await?;
    }
    let body = json!({ "key": code("vms/"), "range_end": code("vms0") });
    let found = post(&platform, "/v3/kv/range", &body).await?;
    assert_eq!(found["count"], "2");
    Ok(())
}

#[tokio::test]
async fn lease_expires() -> Outcome {
    let platform = Platform::start(&Config::default()).await?;
    let lease = post(&platform, "/v3/lease/grant", &json!({ "TTL": 1 })).await?;
    let body = json!({ "key": code("a"), "value": code("x"), "lease": lease["ID"] });
    post(&platform, "/v3/kv/put", &body).await?;
    let gone = async {
        while get(&platform, "a").await?["count"] != "0" {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok::<_, reqwest::Error>(())
    };
    tokio::time::timeout(PATIENCE, gone).await??;
    let renewed = post(
        &platform,
        "/v3/lease/keepalive",
        &json!({ "ID": lease["ID"] }),
    )
    .await?;
    assert_eq!(renewed["result"]["TTL"], "0");
    Ok(())
}

#[tokio::test]
async fn lost_answer_takes_effect() -> Outcome {
    let platform = Platform::start(&Config::default()).await?;
    platform.switch(Mode::LoseAnswers);
    let lost = put(&platform, "a", "kept").await;
    assert!(lost.err().is_some(), "the answer is lost");
    platform.switch(Mode::Down);
    let refused = put(&platform, "a", "dropped").await;
    assert!(refused.err().is_some(), "the platform is down");
    platform.switch(Mode::Up);
    assert_eq!(get(&platform, "a").await?["kvs"][0]["value"], code("kept"));
    assert_eq!(platform.calls(), 3);
    Ok(())
}

#[tokio::test]
async fn watch_reports_changes_until_down() -> Outcome {
    let platform = Platform::start(&Config::default()).await?;
    let body = json!({ "create_request": { "key": code("a") } });
    let url = format!("{}/v3/watch", platform.url());
    let watch = reqwest::Client::new().post(url).json(&body).send().await?;
    let mut lines = watch.bytes_stream();
    let created = lines.next().await.ok_or("the watch ended")??;
    let created: Value = serde_json::from_slice(&created)?;
    assert_eq!(created["result"]["created"], true);
    put(&platform, "b", "unseen").await?;
    put(&platform, "a", "seen").await?;
    let event = tokio::time::timeout(PATIENCE, lines.next()).await?;
    let event: Value = serde_json::from_slice(&event.ok_or("the watch ended")??)?;
    assert_eq!(event["result"]["events"][0]["kv"]["value"], code("seen"));
    platform.switch(Mode::Down);
    let end = tokio::time::timeout(PATIENCE, lines.next()).await?;
    assert!(!matches!(end, Some(Ok(_))));
    Ok(())
}
