//! Groups of upstream stand-ins, formed by direct calls of their control functions.

use std::net::SocketAddr;

use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::SimpleQueryRow;

use crate::error::LabError;
use crate::upstream::Config;
use crate::upstream::Upstream;

/// Starts upstreams and makes the first one primary of term 1, with the others as its replicas.
///
/// # Errors
///
/// Fails if an upstream does not start or a control function fails.
pub async fn start(configs: impl IntoIterator<Item = Config>) -> Result<Vec<Upstream>, LabError> {
    let mut upstreams = Vec::new();
    for config in configs {
        upstreams.push(Upstream::start(config).await?);
    }
    let addresses: Vec<SocketAddr> = upstreams.iter().map(Upstream::address).collect();
    promote(&addresses, 1).await?;
    Ok(upstreams)
}

/// Makes the first upstream primary of a term, with the others as its replicas.
///
/// All upstreams are fenced at the term first. Without addresses nothing happens.
///
/// # Errors
///
/// Fails if an upstream cannot be reached or a control function fails.
pub async fn promote(addresses: &[SocketAddr], term: u64) -> Result<(), LabError> {
    let Some((first, others)) = addresses.split_first() else {
        return Ok(());
    };
    for address in addresses {
        call(*address, &format!("mustardbay_fence({term})")).await?;
    }
    call(*first, &format!("mustardbay_promote({term})")).await?;
    for other in others {
        call(*other, &format!("mustardbay_follow('{first}', {term})")).await?;
    }
    Ok(())
}

/// Calls a control function on a new connection and returns the first row of its result.
///
/// # Errors
///
/// Fails if the upstream cannot be reached, the function fails or it returns no row.
pub async fn call(address: SocketAddr, function: &str) -> Result<SimpleQueryRow, LabError> {
    let (client, connection) = tokio_postgres::Config::new()
        .host(address.ip().to_string())
        .port(address.port())
        .user("mustardbay")
        .dbname("mustardbay")
        .connect(NoTls)
        .await?;
    let driver = tokio::spawn(connection);
    let answers = client
        .simple_query(&format!("SELECT * FROM {function}"))
        .await?;
    driver.abort();
    let mut rows = answers.into_iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    rows.next().ok_or(LabError::NoAnswer)
}
