//! Control connection for position queries, shared by all requests to an upstream.

use tokio::sync::Mutex;

use super::connection::Connection;
use super::connection::StatusReport;
use super::connection::Target;
use super::error::UpstreamError;
use super::replication_state::ReplicationState;

const POSITION_QUERY: &str = "SELECT * FROM mustardbay_position()";
/// Column of the applied position in the answer to the position query.
const APPLIED_COLUMN: usize = 3;
/// Column of the data's age in milliseconds.
const AGE_COLUMN: usize = 4;

/// Control connection; opened on first use and again after a failure.
#[derive(Debug)]
pub(super) struct ControlConnection {
    target: Target,
    con: Mutex<Option<Connection>>,
}

impl ControlConnection {
    /// Creates a control connection that is not open yet.
    pub(super) fn new(target: Target) -> Self {
        Self {
            target,
            con: Mutex::default(),
        }
    }

    /// Queries the position once, unless another caller's query has satisfied this caller.
    pub(super) async fn poll(
        &self,
        state: &ReplicationState,
        satisfied: impl Fn(&ReplicationState) -> bool,
    ) -> Result<(), UpstreamError> {
        let mut cached = self.con.lock().await;
        if satisfied(state) {
            return Ok(());
        }
        let mut con = take_or_open(&mut cached, &self.target).await?;
        let rows = con.query(POSITION_QUERY).await?;
        if con.clean {
            *cached = Some(con);
        }
        if let Ok(position) = rows.first_column(APPLIED_COLUMN).parse() {
            state.record(StatusReport::Position(position));
        }
        if let Ok(age_ms) = rows.first_column(AGE_COLUMN).parse() {
            state.record(StatusReport::Age(age_ms));
        }
        Ok(())
    }
}

/// Takes the connection out of `cached` if it is reusable, or opens one.
///
/// The caller owns the connection, so that it is closed if the caller is dropped before it has
/// read the whole answer.
pub(super) async fn take_or_open(
    cached: &mut Option<Connection>,
    target: &Target,
) -> Result<Connection, UpstreamError> {
    if let Some(mut con) = cached.take()
        && con.is_reusable()
    {
        return Ok(con);
    }
    let (con, _) = Connection::open(target, None).await?;
    Ok(con)
}
