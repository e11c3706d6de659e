//! Calls to the admin endpoints of processes.

use std::time::Duration;

use serde_json::Value;

use crate::error::CliError;

/// Longest time that a process may take to answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the state of a process.
pub(crate) async fn state(url: &str) -> Result<Value, CliError> {
    let answer = client(url)?
        .get(format!("{}/state", base(url)))
        .send()
        .await
        .and_then(reqwest::Response::error_for_status);
    let answer = answer.map_err(|e| failure(url, &e))?;
    answer.json().await.map_err(|e| failure(url, &e))
}

/// Starts the drain of a process.
pub(crate) async fn drain(url: &str) -> Result<(), CliError> {
    let answer = client(url)?
        .post(format!("{}/drain", base(url)))
        .send()
        .await
        .and_then(reqwest::Response::error_for_status);
    match answer {
        Ok(_) => Ok(()),
        Err(e) => Err(failure(url, &e)),
    }
}

fn client(url: &str) -> Result<reqwest::Client, CliError> {
    reqwest::Client::builder()
        .no_proxy()
        .timeout(TIMEOUT)
        .build()
        .map_err(|e| failure(url, &e))
}

fn base(url: &str) -> String {
    let url = url.trim_end_matches('/');
    if url.contains("://") {
        url.to_owned()
    } else {
        format!("http://{url}")
    }
}

fn failure(url: &str, error: &reqwest::Error) -> CliError {
    CliError::Admin {
        url: url.to_owned(),
        cause: error.to_string(),
    }
}
