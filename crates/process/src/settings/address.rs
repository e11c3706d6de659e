//! Addresses in a settings file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

use crate::settings::InvalidValue;
use crate::settings::not_allowed::NotAllowed;
use crate::settings::scalar::Scalar;

/// How an address is written.
const ALLOWED: &str = "ip:port";

/// Address of a key that may be absent.
#[derive(Debug, Deserialize)]
struct Address(#[serde(deserialize_with = "deserialize_address")] SocketAddr);

/// Reads an address with its port.
///
/// # Errors
///
/// Names the value and how an address is written if it is none.
pub fn deserialize_address<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<SocketAddr, D::Error> {
    let Scalar(text) = Scalar::deserialize(deserializer)?;
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => Err(Error::custom(NotAllowed::new(text, ALLOWED.to_owned()))),
    }
}

/// Reads an address as [`deserialize_address`] does, for a key that may be absent.
///
/// # Errors
///
/// Names the value and how an address is written if it is none.
pub fn deserialize_some_address<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    let address = Option::<Address>::deserialize(deserializer)?;
    Ok(address.map(|Address(address)| address))
}

/// Checks that a value is an address with its port.
///
/// # Errors
///
/// Names the key if it is not.
pub fn check_address(key: &str, value: &str) -> Result<(), InvalidValue> {
    match value.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(InvalidValue::new(key, value, ALLOWED)),
    }
}
