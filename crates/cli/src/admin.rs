//! HTTP calls to the admin endpoints of processes.

use std::time::Duration;

use serde_json::Value;

use crate::error::CliError;

/// Longest wait for a response of a process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches the state of a process.
pub(crate) async fn state(url: &str) -> Result<Value, CliError> {
    let response = client(url)?
        .get(format!("{}/state", base_url(url)))
        .send()
        .await
        .and_then(reqwest::Response::error_for_status);
    let response = response.map_err(|e| admin_error(url, &e))?;
    response.json().await.map_err(|e| admin_error(url, &e))
}

/// Asks a process to drain and exit.
pub(crate) async fn drain(url: &str) -> Result<(), CliError> {
    let response = client(url)?
        .post(format!("{}/drain", base_url(url)))
        .send()
        .await
        .and_then(reqwest::Response::error_for_status);
    match response {
        Ok(_) => Ok(()),
        Err(e) => Err(admin_error(url, &e)),
    }
}

fn client(url: &str) -> Result<reqwest::Client, CliError> {
    reqwest::Client::builder()
        .no_proxy()
        .timeout(RESPONSE_TIMEOUT)
        .build()
        .map_err(|e| admin_error(url, &e))
}

/// Returns the base URL without a trailing slash, with `http://` if it has no scheme.
fn base_url(url: &str) -> String {
    let url = url.trim_end_matches('/');
    if url.contains("://") {
        url.to_owned()
    } else {
        format!("http://{url}")
    }
}

fn admin_error(url: &str, error: &reqwest::Error) -> CliError {
    CliError::Admin {
        url: url.to_owned(),
        cause: error.to_string(),
    }
}
