//! Derives the ending of a request from a client error.

use crate::history::Ending;

/// SQLSTATE `statement_completion_unknown`.
const COMPLETION_UNKNOWN: &str = "40003";

/// Returns the ending of a request whose statement failed.
///
/// Without an answer from the server the ending is unknown. Otherwise the detail or the SQLSTATE of
/// the error may say that the statement did not run or that the outcome is unknown; any other error
/// means that it ran and failed.
#[must_use]
pub fn from_error(error: &tokio_postgres::Error) -> Ending {
    let Some(answer) = error.as_db_error() else {
        return Ending::Unknown;
    };
    let sqlstate = answer.code().code().to_owned();
    let detail = answer.detail().unwrap_or_default();
    if detail.contains("outcome=not_run") {
        Ending::NotRun { sqlstate }
    } else if detail.contains("outcome=unknown") || sqlstate == COMPLETION_UNKNOWN {
        Ending::Unknown
    } else {
        Ending::Failed { sqlstate }
    }
}

/// Returns the ending of a request whose connection could not be opened, so it never ran.
#[must_use]
pub fn from_connect_error(error: &tokio_postgres::Error) -> Ending {
    match error.as_db_error() {
        Some(answer) => Ending::NotRun {
            sqlstate: answer.code().code().to_owned(),
        },
        None => Ending::Unsent,
    }
}

/// Tells whether the session should switch to another entry after this ending.
///
/// It should if no answer came, or if a refusal reports an operator intervention (SQLSTATE `57P..`)
/// or a connection exception (`08...`).
#[must_use]
pub fn should_switch_entry(ending: &Ending) -> bool {
    match ending {
        Ending::Done { .. } | Ending::Failed { .. } => false,
        Ending::Unknown | Ending::Unsent => true,
        Ending::NotRun { sqlstate } => sqlstate.starts_with("57P") || sqlstate.starts_with("08"),
    }
}
