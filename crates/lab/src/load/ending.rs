//! What a client may conclude from an error.

use crate::history::Ending;

/// SQLSTATE of a statement whose completion is unknown.
const UNKNOWN: &str = "40003";

/// Ending of a request that the server answered with an error or not at all.
#[must_use]
pub fn of_error(error: &tokio_postgres::Error) -> Ending {
    let Some(answer) = error.as_db_error() else {
        return Ending::Unknown;
    };
    let sqlstate = answer.code().code().to_owned();
    let detail = answer.detail().unwrap_or_default();
    if detail.contains("outcome=not_run") {
        Ending::NotRun { sqlstate }
    } else if detail.contains("outcome=unknown") || sqlstate == UNKNOWN {
        Ending::Unknown
    } else {
        Ending::Failed { sqlstate }
    }
}

/// Ending of a request whose connection could not be opened: it was never sent.
#[must_use]
pub fn of_refused_connection(error: &tokio_postgres::Error) -> Ending {
    match error.as_db_error() {
        Some(answer) => Ending::NotRun {
            sqlstate: answer.code().code().to_owned(),
        },
        None => Ending::Unsent,
    }
}

/// Tells whether the session should try another entry after this ending.
#[must_use]
pub fn calls_for_another_entry(ending: &Ending) -> bool {
    match ending {
        Ending::Done { .. } | Ending::Failed { .. } => false,
        Ending::Unknown | Ending::Unsent => true,
        Ending::NotRun { sqlstate } => sqlstate.starts_with("57P") || sqlstate.starts_with("08"),
    }
}
