//! PostgreSQL backend messages that an upstream sends.

use bytes::BufMut;
use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::RowDescription;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;

use super::database::Column;
use super::session::SessionStatus;
use super::sql_error::SqlError;
use super::value::Value;

/// Builds the error response of a failed statement.
#[must_use]
pub fn error(error: &SqlError) -> PgWireBackendMessage {
    with_severity("ERROR", error)
}

/// Builds the error response that precedes the end of a connection.
#[must_use]
pub fn fatal(error: &SqlError) -> PgWireBackendMessage {
    with_severity("FATAL", error)
}

fn with_severity(severity: &str, error: &SqlError) -> PgWireBackendMessage {
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', error.sqlstate.to_owned()),
        (b'M', error.message.clone()),
    ];
    PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
}

/// Describes result columns; `formats` are the result format codes of a Bind message.
#[must_use]
pub fn row_description(columns: &[Column], formats: &[i16]) -> PgWireBackendMessage {
    let fields = columns.iter().enumerate().map(|(index, column)| {
        let sql_type = column.sql_type;
        let name = column.name.clone();
        let format = format_code(formats, index);
        FieldDescription::new(name, 0, 0, sql_type.oid(), sql_type.size(), -1, format)
    });
    PgWireBackendMessage::RowDescription(RowDescription::new(fields.collect()))
}

/// Encodes one result row; `formats` are the result format codes of a Bind message.
///
/// # Errors
///
/// Fails if a value cannot be converted to its column's type.
pub fn data_row(
    columns: &[Column],
    row: &[Value],
    formats: &[i16],
) -> Result<PgWireBackendMessage, SqlError> {
    let mut data = BytesMut::new();
    let mut count = 0;
    for (index, (column, value)) in columns.iter().zip(row).enumerate() {
        match value.encode(column.sql_type, format_code(formats, index))? {
            None => data.put_i32(-1),
            Some(bytes) => {
                let len = i32::try_from(bytes.len());
                data.put_i32(len.map_err(|e| SqlError::internal(e.to_string()))?);
                data.put_slice(&bytes);
            }
        }
        count += 1;
    }
    Ok(PgWireBackendMessage::DataRow(DataRow::new(data, count)))
}

/// Builds the message that ends the result of a statement.
#[must_use]
pub fn command_complete(tag: String) -> PgWireBackendMessage {
    PgWireBackendMessage::CommandComplete(CommandComplete::new(tag))
}

/// Builds the message that tells the client to send the next query.
#[must_use]
pub fn ready_for_query(status: SessionStatus) -> PgWireBackendMessage {
    let status = match status {
        SessionStatus::Idle => TransactionStatus::Idle,
        SessionStatus::Open => TransactionStatus::Transaction,
        SessionStatus::Failed => TransactionStatus::Error,
    };
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status))
}

/// Returns the format code of a column.
///
/// Without codes every column is text (0); a single code applies to all columns.
fn format_code(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(0),
    }
}
