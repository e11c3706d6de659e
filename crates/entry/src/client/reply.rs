//! Messages that the entry builds for clients.

use mustardbay_policy::refusal::Refusal;
use pgwire::error::ErrorInfo;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::ParameterStatus;

use crate::client::Outgoing;

/// Whether an error ends the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Severity {
    /// The session continues.
    Error,
    /// The connection is closed after the message.
    Fatal,
}

impl Severity {
    fn label(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
        }
    }
}

/// Returns an `ErrorResponse` with the SQLSTATE `code`.
pub(crate) fn error(severity: Severity, code: &str, message: impl Into<String>) -> Outgoing {
    let info = ErrorInfo::new(severity.label().to_owned(), code.to_owned(), message.into());
    Outgoing::Message(PgWireBackendMessage::ErrorResponse(info.into()))
}

/// Returns the `ErrorResponse` of a refusal, with its outcome and retry time as detail.
pub(crate) fn refusal(severity: Severity, refusal: &Refusal) -> Outgoing {
    let mut info = ErrorInfo::new(
        severity.label().to_owned(),
        refusal.sqlstate().to_owned(),
        refusal.message.clone(),
    );
    info.detail = Some(refusal.detail());
    Outgoing::Message(PgWireBackendMessage::ErrorResponse(info.into()))
}

/// Returns a `ParameterStatus` message.
pub(crate) fn parameter(name: impl Into<String>, value: impl Into<String>) -> Outgoing {
    let status = ParameterStatus::new(name.into(), value.into());
    Outgoing::Message(PgWireBackendMessage::ParameterStatus(status))
}

/// Returns a `ReadyForQuery` message.
pub(crate) fn ready(status: TransactionStatus) -> Outgoing {
    Outgoing::Message(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
        status,
    )))
}
