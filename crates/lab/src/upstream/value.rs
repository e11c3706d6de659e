//! Conversion of values between the PostgreSQL wire formats and SQLite.

use bytes::Bytes;
use rusqlite::types::ToSqlOutput;
use rusqlite::types::ValueRef;
use serde::Deserialize;
use serde::Serialize;

use super::sql_error::SqlError;

const OID_BOOL: u32 = 16;
const OID_BYTEA: u32 = 17;
const OID_INT8: u32 = 20;
const OID_INT2: u32 = 21;
const OID_INT4: u32 = 23;
const OID_TEXT: u32 = 25;
const OID_FLOAT4: u32 = 700;
const OID_FLOAT8: u32 = 701;

/// Format code of the binary format in `Bind` and `RowDescription` messages.
const BINARY_FORMAT: i16 = 1;

/// SQL value as SQLite stores it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// NULL.
    Null,
    /// Integer.
    Int(i64),
    /// Floating-point number.
    Real(f64),
    /// Text.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

impl Value {
    /// Copies a value from a SQLite row.
    #[must_use]
    pub fn from_ref(value: ValueRef<'_>) -> Self {
        match value {
            ValueRef::Null => Self::Null,
            ValueRef::Integer(int) => Self::Int(int),
            ValueRef::Real(real) => Self::Real(real),
            ValueRef::Text(text) => Self::Text(String::from_utf8_lossy(text).into_owned()),
            ValueRef::Blob(blob) => Self::Blob(blob.to_vec()),
        }
    }

    /// Returns the type of a result column that has no declared type and holds this value.
    #[must_use]
    pub fn sql_type(&self) -> Option<SqlType> {
        match self {
            Self::Null => None,
            Self::Int(_) => Some(SqlType::Int),
            Self::Real(_) => Some(SqlType::Real),
            Self::Text(_) => Some(SqlType::Text),
            Self::Blob(_) => Some(SqlType::Bytes),
        }
    }

    /// Encodes the value for a column of type `sql_type` and a format code; `None` is NULL.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be converted to that type.
    pub fn encode(&self, sql_type: SqlType, format: i16) -> Result<Option<Vec<u8>>, SqlError> {
        let Some(value) = sql_type.cast(self) else {
            return Err(SqlError::invalid_value(self, sql_type));
        };
        Ok(match value {
            Self::Null => None,
            value if format == BINARY_FORMAT => Some(value.encode_binary(sql_type)),
            value => Some(value.encode_text(sql_type).into_bytes()),
        })
    }

    fn encode_binary(&self, sql_type: SqlType) -> Vec<u8> {
        match self {
            Self::Null => Vec::new(),
            Self::Int(int) if sql_type == SqlType::Bool => vec![u8::from(*int != 0)],
            Self::Int(int) => int.to_be_bytes().to_vec(),
            Self::Real(real) => real.to_be_bytes().to_vec(),
            Self::Text(text) => text.clone().into_bytes(),
            Self::Blob(blob) => blob.clone(),
        }
    }

    fn encode_text(&self, sql_type: SqlType) -> String {
        match self {
            Self::Null => String::new(),
            Self::Int(int) if sql_type == SqlType::Bool => {
                let text = if *int != 0 { "t" } else { "f" };
                text.to_owned()
            }
            Self::Int(int) => int.to_string(),
            Self::Real(real) => real.to_string(),
            Self::Text(text) => text.clone(),
            Self::Blob(blob) => format!("\\x{}", hex::encode(blob)),
        }
    }
}

impl rusqlite::ToSql for Value {
    fn to_sql(&self) -> rusqlite::Result<ToSqlOutput<'_>> {
        Ok(ToSqlOutput::Borrowed(match self {
            Self::Null => ValueRef::Null,
            Self::Int(int) => ValueRef::Integer(*int),
            Self::Real(real) => ValueRef::Real(*real),
            Self::Text(text) => ValueRef::Text(text.as_bytes()),
            Self::Blob(blob) => ValueRef::Blob(blob),
        }))
    }
}

/// PostgreSQL type of a parameter or column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SqlType {
    /// `bool`.
    Bool,
    /// `int8`.
    Int,
    /// `float8`.
    Real,
    /// `text`.
    Text,
    /// `bytea`.
    Bytes,
}

impl SqlType {
    /// Returns the object identifier (OID) of the PostgreSQL type.
    #[must_use]
    pub fn oid(self) -> u32 {
        match self {
            Self::Bool => OID_BOOL,
            Self::Int => OID_INT8,
            Self::Real => OID_FLOAT8,
            Self::Text => OID_TEXT,
            Self::Bytes => OID_BYTEA,
        }
    }

    /// Returns the length of a value in bytes, -1 if it varies.
    #[must_use]
    pub fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int | Self::Real => 8,
            Self::Text | Self::Bytes => -1,
        }
    }

    /// Maps a type name of a column definition or cast to a type; unknown names are text.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        let name = name.to_ascii_lowercase();
        if name.contains("bool") {
            Self::Bool
        } else if name.contains("int") || name.contains("serial") {
            Self::Int
        } else if ["real", "floa", "doub", "numeric"]
            .iter()
            .any(|part| name.contains(part))
        {
            Self::Real
        } else if name.contains("blob") || name.contains("bytea") {
            Self::Bytes
        } else {
            Self::Text
        }
    }

    /// Converts a value to this type; `None` if that is not possible.
    fn cast(self, value: &Value) -> Option<Value> {
        match (self, value) {
            (_, Value::Null) => Some(Value::Null),
            (Self::Bool | Self::Int, Value::Int(_))
            | (Self::Real, Value::Real(_))
            | (Self::Text, Value::Text(_))
            | (Self::Bytes, Value::Blob(_)) => Some(value.clone()),
            (Self::Bool | Self::Int, Value::Text(text)) => text.parse().ok().map(Value::Int),
            (Self::Real, Value::Int(int)) => int.to_string().parse().ok().map(Value::Real),
            (Self::Real, Value::Text(text)) => text.parse().ok().map(Value::Real),
            (Self::Text, other) => Some(Value::Text(other.encode_text(Self::Text))),
            (Self::Bytes, Value::Text(text)) => Some(Value::Blob(text.clone().into_bytes())),
            _ => None,
        }
    }
}

/// Decodes a parameter of type `oid` in a format code; `None` bytes are NULL.
///
/// An unknown type (OID 0 among them) is decoded as text.
///
/// # Errors
///
/// Fails if the bytes are not a valid value of that type.
pub fn decode(bytes: Option<&Bytes>, oid: u32, format: i16) -> Result<Value, SqlError> {
    let Some(bytes) = bytes else {
        return Ok(Value::Null);
    };
    let value = if format == BINARY_FORMAT {
        decode_binary(bytes, oid)
    } else {
        decode_text(bytes, oid)
    };
    value.ok_or_else(|| SqlError::invalid_parameter(oid))
}

fn decode_binary(bytes: &[u8], oid: u32) -> Option<Value> {
    Some(match oid {
        OID_BOOL => Value::Int(i64::from(*bytes.first()? != 0)),
        OID_INT2 => Value::Int(i64::from(i16::from_be_bytes(bytes.try_into().ok()?))),
        OID_INT4 => Value::Int(i64::from(i32::from_be_bytes(bytes.try_into().ok()?))),
        OID_INT8 => Value::Int(i64::from_be_bytes(bytes.try_into().ok()?)),
        OID_FLOAT4 => Value::Real(f64::from(f32::from_be_bytes(bytes.try_into().ok()?))),
        OID_FLOAT8 => Value::Real(f64::from_be_bytes(bytes.try_into().ok()?)),
        OID_BYTEA => Value::Blob(bytes.to_vec()),
        _ => Value::Text(std::str::from_utf8(bytes).ok()?.to_owned()),
    })
}

fn decode_text(bytes: &[u8], oid: u32) -> Option<Value> {
    let text = std::str::from_utf8(bytes).ok()?;
    Some(match oid {
        OID_BOOL => Value::Int(i64::from(matches!(text, "t" | "true" | "1" | "on" | "yes"))),
        OID_INT2 | OID_INT4 | OID_INT8 => Value::Int(text.parse().ok()?),
        OID_FLOAT4 | OID_FLOAT8 => Value::Real(text.parse().ok()?),
        OID_BYTEA => match text.strip_prefix("\\x") {
            Some(digits) => Value::Blob(hex::decode(digits).ok()?),
            None => Value::Blob(bytes.to_vec()),
        },
        _ => Value::Text(text.to_owned()),
    })
}
