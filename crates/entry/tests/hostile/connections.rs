//! Connections that never become sessions.

use mustardbay_process::settings::Milliseconds;
use test_case::test_case;

use crate::crowd::gather;
use crate::entry_process::EntryProcess;
use crate::raw_client::RawClient;
use crate::raw_client::startup;

/// Start-up time that does not pass within a test.
const LONG_STARTUP_MS: u64 = 600_000;

#[test_case(0; "nothing sent")]
#[test_case(6; "length and half of the version")]
#[test_case(20; "half of the parameters")]
#[tokio::test(flavor = "multi_thread")]
async fn startup_half_way(bytes: usize) {
    let mut entry = EntryProcess::start(|settings| {
        settings.limits.connections = 64;
        settings.limits.startup_ms = Milliseconds::clamped(LONG_STARTUP_MS);
    })
    .await;
    let crowd = gather(128, entry.callers(), move |address| async move {
        let mut client = RawClient::connect(address).await?;
        client.send(&startup()[..bytes]).await?;
        Some(client)
    })
    .await;
    entry.check();
    entry.answer_ordinary().await;
    entry.check();
    drop(crowd);
}

#[test_case(10_000; "at the limit")]
#[test_case(i32::MAX as u32; "far over the limit")]
#[test_case(u32::MAX; "largest length")]
#[tokio::test(flavor = "multi_thread")]
async fn startup_declared_large(length: u32) {
    let mut entry = EntryProcess::start(|_| {}).await;
    let crowd = gather(256, entry.callers(), move |address| async move {
        let mut client = RawClient::connect(address).await?;
        client.send(&length.to_be_bytes()).await?;
        // The entry may close the connection meanwhile.
        let _ = client.send_pieces(&vec![b'a'; 256 * 1024], 4 * 1024).await;
        Some(client)
    })
    .await;
    entry.check();
    entry.answer_ordinary().await;
    entry.check();
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_over_descriptors() {
    let mut entry = EntryProcess::start(|settings| {
        settings.limits.descriptors = Some(160);
        settings.limits.startup_ms = Milliseconds::clamped(LONG_STARTUP_MS);
    })
    .await;
    let crowd = gather(400, entry.callers(), RawClient::connect).await;
    entry.check();
    entry.answer_ordinary().await;
    entry.check();
    drop(crowd);
}
