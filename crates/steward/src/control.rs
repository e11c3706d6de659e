//! SQL calls that query, fence, promote and redirect upstreams.

mod error;
mod session;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use mustardbay_policy::group::Role;
use mustardbay_policy::group::UpstreamStatus;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_process::dialer::Dialer;

pub(crate) use error::ControlError;
pub(crate) use error::Liveness;
use session::Row;
use session::Session;

use crate::settings::Login;

/// Maximum time of a control call, connecting included.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pool of control connections, one per upstream, opened on first use.
#[derive(Debug)]
pub(crate) struct Control {
    login: Login,
    dialer: Dialer,
    sessions: Mutex<HashMap<String, Arc<Session>>>,
}

impl Control {
    pub(crate) fn new(login: Login, dialer: Dialer) -> Self {
        Self {
            login,
            dialer,
            sessions: Mutex::default(),
        }
    }

    /// Asks an upstream for its role and term.
    pub(crate) async fn status(&self, address: &str) -> Result<UpstreamStatus, ControlError> {
        let row = self
            .call(address, "SELECT * FROM mustardbay_position()")
            .await?;
        Ok(UpstreamStatus {
            role: parse_role(row.text("role")?)?,
            term: Term(row.parse("term")?),
        })
    }

    /// Fences an upstream at a term and returns the position that it has received.
    pub(crate) async fn fence(&self, address: &str, term: Term) -> Result<Position, ControlError> {
        let sql = format!("SELECT * FROM mustardbay_fence({term})");
        self.call(address, &sql).await?.parse("received")
    }

    /// Promotes an upstream that is fenced at this term, and returns its position.
    pub(crate) async fn promote(
        &self,
        address: &str,
        term: Term,
    ) -> Result<Position, ControlError> {
        let sql = format!("SELECT * FROM mustardbay_promote({term})");
        self.call(address, &sql).await?.parse("position")
    }

    /// Makes an upstream replicate from the primary of a term; returns its received position.
    pub(crate) async fn follow(
        &self,
        address: &str,
        primary: &str,
        term: Term,
    ) -> Result<Position, ControlError> {
        let sql = format!("SELECT * FROM mustardbay_follow('{primary}', {term})");
        self.call(address, &sql).await?.parse("received")
    }

    async fn call(&self, address: &str, sql: &str) -> Result<Row, ControlError> {
        let session = self.session(address);
        let call = session.query(&self.login, self.dialer, sql);
        let result = match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(result) => result,
            Err(_) => Err(ControlError::Timeout),
        };
        if matches!(&result, Err(e) if e.ends_session()) {
            self.discard(address, &session);
        }
        result
    }

    fn session(&self, address: &str) -> Arc<Session> {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        let session = sessions
            .entry(address.to_owned())
            .or_insert_with(|| Arc::new(Session::new(address)));
        Arc::clone(session)
    }

    /// Removes a failed session, unless another call has replaced it already.
    fn discard(&self, address: &str, failed: &Arc<Session>) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        let same = sessions
            .get(address)
            .is_some_and(|session| Arc::ptr_eq(session, failed));
        if same {
            sessions.remove(address);
        }
    }
}

fn parse_role(text: &str) -> Result<Role, ControlError> {
    match text {
        "primary" => Ok(Role::Primary),
        "replica" => Ok(Role::Replica),
        "fenced" => Ok(Role::Fenced),
        _ => Err(ControlError::Malformed(format!("role {text:?}"))),
    }
}
