//! Backend messages of the stand-in.

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
use super::fault::Fault;
use super::session::Status;
use super::value::Value;

/// Builds an error answer.
#[must_use]
pub fn error(fault: &Fault) -> PgWireBackendMessage {
    with_severity("ERROR", fault)
}

/// Builds the error answer that ends a connection.
#[must_use]
pub fn fatal(fault: &Fault) -> PgWireBackendMessage {
    with_severity("FATAL", fault)
}

fn with_severity(severity: &str, fault: &Fault) -> PgWireBackendMessage {
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', fault.state.to_owned()),
        (b'M', fault.message.clone()),
    ];
    PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
}

/// Describes columns; `formats` as in a Bind message.
#[must_use]
pub fn row_description(columns: &[Column], formats: &[i16]) -> PgWireBackendMessage {
    let fields = columns.iter().enumerate().map(|(at, column)| {
        let kind = column.kind;
        let name = column.name.clone();
        FieldDescription::new(name, 0, 0, kind.oid(), kind.size(), -1, format(formats, at))
    });
    PgWireBackendMessage::RowDescription(RowDescription::new(fields.collect()))
}

/// Encodes a row.
///
/// # Errors
///
/// Fails if a value cannot be shown as its column's type.
pub fn data_row(
    columns: &[Column],
    row: &[Value],
    formats: &[i16],
) -> Result<PgWireBackendMessage, Fault> {
    let mut data = BytesMut::new();
    let mut count = 0;
    for (at, (column, value)) in columns.iter().zip(row).enumerate() {
        match value.encode(column.kind, format(formats, at))? {
            None => data.put_i32(-1),
            Some(bytes) => {
                let len = i32::try_from(bytes.len());
                data.put_i32(len.map_err(|e| Fault::internal(e.to_string()))?);
                data.put_slice(&bytes);
            }
        }
        count += 1;
    }
    Ok(PgWireBackendMessage::DataRow(DataRow::new(data, count)))
}

/// Builds the end of a statement.
#[must_use]
pub fn complete(tag: String) -> PgWireBackendMessage {
    PgWireBackendMessage::CommandComplete(CommandComplete::new(tag))
}

/// Builds the end of an answer.
#[must_use]
pub fn ready(status: Status) -> PgWireBackendMessage {
    let status = match status {
        Status::Idle => TransactionStatus::Idle,
        Status::Open => TransactionStatus::Transaction,
        Status::Failed => TransactionStatus::Error,
    };
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status))
}

/// Returns the format of the column at `at`: none given is text, one given is for all.
fn format(formats: &[i16], at: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(at).copied().unwrap_or(0),
    }
}
