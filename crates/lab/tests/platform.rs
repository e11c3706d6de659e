//! Platform stand-in: transactions, leases, watches, fault modes and call counts.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::StreamExt;
use mustardbay_lab::platform::Config;
use mustardbay_lab::platform::Mode;
use mustardbay_lab::platform::Platform;
use mustardbay_platform::Gateway;
use mustardbay_platform::Platform as _;
use mustardbay_platform::Revision;
use mustardbay_platform::WatchEvent;
use serde_json::Value;
use serde_json::json;

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Longest wait for an expected change; no step takes this long, even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

fn base64(text: &str) -> String {
    STANDARD.encode(text)
}

async fn post(platform: &Platform, path: &str, body: &Value) -> Result<Value, reqwest::Error> {
    let url = format!("{}{path}", platform.url());
    let sent = reqwest::Client::new().post(url).json(body).send().await?;
    sent.error_for_status()?.json().await
}

async fn put(platform: &Platform, key: &str, value: &str) -> Result<Value, reqwest::Error> {
    let body = json!({ "key": base64(key), "value": base64(value) });
    post(platform, "/v3/kv/put", &body).await
}

async fn get(platform: &Platform, key: &str) -> Result<Value, reqwest::Error> {
    post(platform, "/v3/kv/range", &json!({ "key": base64(key) })).await
}

/// Returns a transaction that writes a key if its revision is still the given one.
fn swap(key: &str, revision: i64, value: &str) -> Value {
    json!({
        "compare": [{ "key": base64(key), "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string() }],
        "success": [{ "requestPut": { "key": base64(key), "value": base64(value) } }],
        "failure": [{ "requestRange": { "key": base64(key) } }],
    })
}

#[tokio::test]
async fn txn_has_one_winner() -> TestResult {
    let platform = Platform::start(&Config::default()).await?;
    let first = post(&platform, "/v3/kv/txn", &swap("a", 0, "one")).await?;
    assert_eq!(first["succeeded"], true);
    let second = post(&platform, "/v3/kv/txn", &swap("a", 0, "two")).await?;
    assert_eq!(second["succeeded"], false);
    let current = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(current["value"], base64("one"));
    let revision: i64 = current["mod_revision"]
        .as_str()
        .unwrap_or_default()
        .parse()?;
    let third = post(&platform, "/v3/kv/txn", &swap("a", revision, "three")).await?;
    assert_eq!(third["succeeded"], true);
    Ok(())
}

#[tokio::test]
async fn range_by_prefix() -> TestResult {
    let platform = Platform::start(&Config::default()).await?;
    for key in ["vms/1", "vms/2", "other"] {
        put(&platform, key, "x").await?;
    }
    let body = json!({ "key": base64("vms/"), "range_end": base64("vms0") });
    let found = post(&platform, "/v3/kv/range", &body).await?;
    assert_eq!(found["count"], "2");
    Ok(())
}

#[tokio::test]
async fn lease_expires() -> TestResult {
    let platform = Platform::start(&Config::default()).await?;
    let lease = post(&platform, "/v3/lease/grant", &json!({ "TTL": 1 })).await?;
    let body = json!({ "key": base64("a"), "value": base64("x"), "lease": lease["ID"] });
    post(&platform, "/v3/kv/put", &body).await?;
    let expired = async {
        while get(&platform, "a").await?["count"] != "0" {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok::<_, reqwest::Error>(())
    };
    tokio::time::timeout(TIMEOUT, expired).await??;
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
async fn lost_answer_takes_effect() -> TestResult {
    let platform = Platform::start(&Config::default()).await?;
    platform.switch(Mode::LoseAnswers);
    let lost = put(&platform, "a", "kept").await;
    assert!(
        lost.err().is_some(),
        "the call must fail, since its answer is lost"
    );
    platform.switch(Mode::Down);
    let dropped = put(&platform, "a", "dropped").await;
    assert!(
        dropped.err().is_some(),
        "the call must fail, since the platform is down"
    );
    platform.switch(Mode::Up);
    assert_eq!(
        get(&platform, "a").await?["kvs"][0]["value"],
        base64("kept")
    );
    assert_eq!(platform.calls(), 3);
    Ok(())
}

#[tokio::test]
async fn watch_reports_changes_until_down() -> TestResult {
    let platform = Platform::start(&Config::default()).await?;
    let body = json!({ "create_request": { "key": base64("a") } });
    let url = format!("{}/v3/watch", platform.url());
    let watch = reqwest::Client::new().post(url).json(&body).send().await?;
    let mut lines = watch.bytes_stream();
    let created = lines.next().await.ok_or("the watch ended")??;
    let created: Value = serde_json::from_slice(&created)?;
    assert_eq!(created["result"]["created"], true);
    put(&platform, "b", "unseen").await?;
    put(&platform, "a", "seen").await?;
    let event = tokio::time::timeout(TIMEOUT, lines.next()).await?;
    let event: Value = serde_json::from_slice(&event.ok_or("the watch ended")??)?;
    assert_eq!(event["result"]["events"][0]["kv"]["value"], base64("seen"));
    platform.switch(Mode::Down);
    let end = tokio::time::timeout(TIMEOUT, lines.next()).await?;
    assert!(!matches!(end, Some(Ok(_))));
    Ok(())
}

/// Guards against one odd key of another writer that hides the whole list, or ends the watch (LOST).
#[tokio::test]
async fn odd_key_is_passed_over_by_list_and_watch() -> TestResult {
    let platform = Platform::start(&Config::default()).await?;
    let odd = json!({ "key": STANDARD.encode(b"vms/\xff"), "value": base64("x") });
    post(&platform, "/v3/kv/put", &odd).await?;
    put(&platform, "vms/1", "first").await?;
    let gateway = Gateway::new([platform.url()])?;
    let listing = gateway.list("vms/").await?;
    let keys: Vec<&str> = listing.entries.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, ["vms/1"]);
    let from = Revision(listing.revision.0 + 1);
    let mut events = gateway.watch("vms/", from).await?;
    post(&platform, "/v3/kv/put", &odd).await?;
    put(&platform, "vms/2", "second").await?;
    let event = tokio::time::timeout(TIMEOUT, events.recv()).await?;
    assert!(
        matches!(&event, Some(WatchEvent::Put(entry)) if entry.key == "vms/2"),
        "{event:?}"
    );
    Ok(())
}
