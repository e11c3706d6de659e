//! Shared control connection that asks an upstream for its position.

use tokio::sync::Mutex;

use super::connection::Connection;
use super::connection::Reported;
use super::connection::Target;
use super::error::UpstreamError;
use super::known::Known;

const POSITION_QUERY: &str = "SELECT * FROM mustardbay_position()";
const APPLIED_COLUMN: usize = 3;
const AGE_COLUMN: usize = 4;

/// Control connection, opened on first use and after a failure.
#[derive(Debug)]
pub(super) struct Control {
    target: Target,
    con: Mutex<Option<Connection>>,
}

impl Control {
    /// Creates a control connection that is not open yet.
    pub(super) fn new(target: Target) -> Self {
        Self {
            target,
            con: Mutex::default(),
        }
    }

    /// Asks for the position once, unless another caller's answer has satisfied this one.
    pub(super) async fn poll(
        &self,
        known: &Known,
        satisfied: impl Fn(&Known) -> bool,
    ) -> Result<(), UpstreamError> {
        let mut slot = self.con.lock().await;
        if satisfied(known) {
            return Ok(());
        }
        let mut con = reopen(&mut slot, &self.target).await?;
        let rows = con.query(POSITION_QUERY).await?;
        if con.clean {
            *slot = Some(con);
        }
        if let Ok(position) = rows.first(APPLIED_COLUMN).parse() {
            known.report(Reported::Position(position));
        }
        if let Ok(age_ms) = rows.first(AGE_COLUMN).parse() {
            known.report(Reported::Age(age_ms));
        }
        Ok(())
    }
}

/// Takes the open connection out of `slot`, or opens one.
///
/// Taken out, it is closed if the caller is dropped halfway through an answer.
pub(super) async fn reopen(
    slot: &mut Option<Connection>,
    target: &Target,
) -> Result<Connection, UpstreamError> {
    if let Some(mut con) = slot.take()
        && con.is_quiet()
    {
        return Ok(con);
    }
    let (con, _) = Connection::open(target, None).await?;
    Ok(con)
}
