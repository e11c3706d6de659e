//! Values between the PostgreSQL formats and SQLite.

use bytes::Bytes;
use rusqlite::types::ToSqlOutput;
use rusqlite::types::ValueRef;
use serde::Deserialize;
use serde::Serialize;

use super::fault::Fault;

const OID_BOOL: u32 = 16;
const OID_BYTEA: u32 = 17;
const OID_INT8: u32 = 20;
const OID_INT2: u32 = 21;
const OID_INT4: u32 = 23;
const OID_TEXT: u32 = 25;
const OID_FLOAT4: u32 = 700;
const OID_FLOAT8: u32 = 701;

/// Binary format code of parameters and columns.
const BINARY: i16 = 1;

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
    /// Copies a value out of a row.
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

    /// Returns the type that a column without a declared one gets from this value.
    #[must_use]
    pub fn kind(&self) -> Option<Kind> {
        match self {
            Self::Null => None,
            Self::Int(_) => Some(Kind::Int),
            Self::Real(_) => Some(Kind::Real),
            Self::Text(_) => Some(Kind::Text),
            Self::Blob(_) => Some(Kind::Bytes),
        }
    }

    /// Encodes the value for a column of type `kind`; `None` is NULL.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be shown as that type.
    pub fn encode(&self, kind: Kind, format: i16) -> Result<Option<Vec<u8>>, Fault> {
        let Some(value) = kind.cast(self) else {
            return Err(Fault::bad_value(self, kind));
        };
        Ok(match value {
            Self::Null => None,
            value if format == BINARY => Some(value.binary(kind)),
            value => Some(value.text(kind).into_bytes()),
        })
    }

    fn binary(&self, kind: Kind) -> Vec<u8> {
        match self {
            Self::Null => Vec::new(),
            Self::Int(int) if kind == Kind::Bool => vec![u8::from(*int != 0)],
            Self::Int(int) => int.to_be_bytes().to_vec(),
            Self::Real(real) => real.to_be_bytes().to_vec(),
            Self::Text(text) => text.clone().into_bytes(),
            Self::Blob(blob) => blob.clone(),
        }
    }

    fn text(&self, kind: Kind) -> String {
        match self {
            Self::Null => String::new(),
            Self::Int(int) if kind == Kind::Bool => {
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

/// Type of a parameter or column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
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

impl Kind {
    /// Returns the PostgreSQL type identifier.
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

    /// Returns the width of the type in bytes, -1 if it varies.
    #[must_use]
    pub fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int | Self::Real => 8,
            Self::Text | Self::Bytes => -1,
        }
    }

    /// Reads a type name as it stands in a column definition or a cast.
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
            (Self::Text, other) => Some(Value::Text(other.text(Self::Text))),
            (Self::Bytes, Value::Text(text)) => Some(Value::Blob(text.clone().into_bytes())),
            _ => None,
        }
    }
}

/// Decodes a parameter of type `oid`; 0 is an unknown type.
///
/// # Errors
///
/// Fails if the bytes are no value of that type.
pub fn decode(bytes: Option<&Bytes>, oid: u32, format: i16) -> Result<Value, Fault> {
    let Some(bytes) = bytes else {
        return Ok(Value::Null);
    };
    let value = if format == BINARY {
        decode_binary(bytes, oid)
    } else {
        decode_text(bytes, oid)
    };
    value.ok_or_else(|| Fault::bad_parameter(oid))
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
