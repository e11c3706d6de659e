//! Ledgers of the groups, read from their primaries after a run.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::bundle::Group;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

use super::MeasureError;
use super::fault_injector;
use crate::fleet::Fleet;

/// User and database that upstream stand-ins accept.
const USER: &str = "mustardbay";

/// Longest time that reading one ledger may take.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the number of rows for each request id, from the primaries of all groups.
///
/// # Errors
///
/// Fails if a group has no primary or its ledger cannot be read in time.
pub async fn rows(fleet: &Fleet) -> Result<BTreeMap<u64, u64>, MeasureError> {
    let mut found = BTreeMap::new();
    for group in &fleet.bundle().groups {
        let counts = tokio::time::timeout(READ_TIMEOUT, read(fleet, group));
        let rows = counts
            .await
            .map_err(|_elapsed| MeasureError::LedgerTimeout)??;
        found.extend(rows);
    }
    Ok(found)
}

/// Reads the ledger of one group: request ids with their number of rows.
async fn read(fleet: &Fleet, group: &Group) -> Result<Vec<(u64, u64)>, MeasureError> {
    let primary = fleet.primary(group.name.as_str()).await?;
    let state = fleet.upstream_state(primary.as_str()).await?;
    let term = state["term"].as_u64().unwrap_or(0);
    let upstream = group.upstreams.iter().find(|up| up.name == primary);
    let address = upstream.and_then(fault_injector::address);
    let address = address.ok_or(MeasureError::IncompleteLayout)?;
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user(USER).dbname(USER);
    config.options(format!("-c mustardbay.term={term}"));
    let (client, connection) = config.connect(NoTls).await?;
    let driver = tokio::spawn(connection);
    let answer = client
        .simple_query("SELECT request, count(*) AS rows FROM ledger GROUP BY request")
        .await?;
    driver.abort();
    let rows = answer.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => {
            let request = row.get(0)?.parse().ok()?;
            let count = row.get(1)?.parse().ok()?;
            Some((request, count))
        }
        _ => None,
    });
    Ok(rows.collect())
}
