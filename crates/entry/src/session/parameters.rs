//! Session parameters, which the entry keeps itself.

use std::collections::BTreeMap;
use std::time::Duration;

/// Parameter with the session token, which encodes the floor.
pub(crate) const SESSION: &str = "mustardbay.session";
/// Parameter with the maximum age of the data that reads accept, in milliseconds.
pub(crate) const MAX_AGE: &str = "mustardbay.max_age";
/// Parameter with the request id of the next batch.
pub(crate) const REQUEST_ID: &str = "mustardbay.request_id";
/// Parameter with the statement timeout, in milliseconds.
const STATEMENT_TIMEOUT: &str = "statement_timeout";

/// Parameters that clients may set: key, reported name and default value.
const SETTABLE: &[(&str, &str, &str)] = &[
    ("application_name", "application_name", ""),
    ("bytea_output", "bytea_output", "hex"),
    ("client_encoding", "client_encoding", "UTF8"),
    ("client_min_messages", "client_min_messages", "notice"),
    ("datestyle", "DateStyle", "ISO, MDY"),
    ("extra_float_digits", "extra_float_digits", "1"),
    (
        "idle_in_transaction_session_timeout",
        "idle_in_transaction_session_timeout",
        "0",
    ),
    ("idle_session_timeout", "idle_session_timeout", "0"),
    ("intervalstyle", "IntervalStyle", "postgres"),
    ("lock_timeout", "lock_timeout", "0"),
    (MAX_AGE, MAX_AGE, ""),
    (REQUEST_ID, REQUEST_ID, ""),
    (SESSION, SESSION, ""),
    (STATEMENT_TIMEOUT, STATEMENT_TIMEOUT, "0"),
    (
        "standard_conforming_strings",
        "standard_conforming_strings",
        "on",
    ),
    ("timezone", "TimeZone", "UTC"),
];

/// Parameters that are reported but cannot be set, with their values.
const FIXED: &[(&str, &str)] = &[
    ("in_hot_standby", "off"),
    ("integer_datetimes", "on"),
    ("is_superuser", "off"),
    ("server_encoding", "UTF8"),
    ("server_version", "17.0"),
];

/// Parameters that PostgreSQL reports at the start of a session and whenever they change.
const REPORTED: &[&str] = &[
    "application_name",
    "client_encoding",
    "datestyle",
    "intervalstyle",
    "standard_conforming_strings",
    "timezone",
];

/// Reason why a parameter cannot be set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SetError {
    /// The proxy does not support the value; carries the parameter name.
    Value(String),
    /// The parameter would change a shared connection; carries its name.
    Unsupported(String),
}

impl SetError {
    /// Returns the SQLSTATE.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Value(_) => "22023",
            Self::Unsupported(_) => "0A000",
        }
    }

    /// Returns the error message.
    pub fn message(&self) -> String {
        match self {
            Self::Value(name) => format!("invalid value for parameter \"{name}\""),
            Self::Unsupported(name) => {
                format!("parameter \"{name}\" cannot be set on a shared connection")
            }
        }
    }
}

/// Parameters of one session; only values that were set are stored.
#[derive(Debug, Default)]
pub(crate) struct Parameters {
    values: BTreeMap<&'static str, String>,
    initial: BTreeMap<&'static str, String>,
}

impl Parameters {
    /// Returns the memory of the values, in bytes.
    pub fn footprint(&self) -> usize {
        let values = self.values.values().chain(self.initial.values());
        values.map(String::capacity).sum()
    }

    /// Sets a parameter and returns its reported name.
    ///
    /// # Errors
    ///
    /// Fails if the parameter or the value is not supported.
    pub fn set(&mut self, name: &str, value: &str) -> Result<&'static str, SetError> {
        let Some((key, reported, default)) = SETTABLE.iter().find(|(key, ..)| *key == name) else {
            return Err(SetError::Unsupported(name.to_owned()));
        };
        let value = if value.eq_ignore_ascii_case("default") {
            self.initial.get(key).map_or(*default, String::as_str)
        } else {
            value
        };
        if !is_allowed(key, value) {
            return Err(SetError::Value(name.to_owned()));
        }
        let value = value.to_owned();
        self.values.insert(key, value);
        Ok(reported)
    }

    /// Makes the current values, without the request id, those that `RESET` restores.
    pub fn set_initial(&mut self) {
        self.values.remove(REQUEST_ID);
        self.initial = self.values.clone();
    }

    /// Resets one parameter, or all, to the initial values of the session.
    pub fn reset(&mut self, name: Option<&str>) {
        match name {
            None => self.values = self.initial.clone(),
            Some(name) => match self.initial.get_key_value(name) {
                Some((key, value)) => {
                    self.values.insert(key, value.clone());
                }
                None => {
                    self.values.remove(name);
                }
            },
        }
    }

    /// Returns the value of a parameter, or `None` if the entry does not keep it.
    pub fn get(&self, name: &str) -> Option<&str> {
        if let Some(value) = self.values.get(name) {
            return Some(value);
        }
        let default = SETTABLE.iter().find(|(key, ..)| *key == name);
        let fixed = FIXED.iter().find(|(key, _)| *key == name);
        default
            .map(|(_, _, value)| *value)
            .or(fixed.map(|(_, value)| *value))
    }

    /// Returns the names and values that are reported at the start of a session.
    pub fn reported(&self) -> Vec<(&'static str, String)> {
        let fixed = FIXED
            .iter()
            .map(|(name, value)| (*name, (*value).to_owned()));
        let settable = SETTABLE
            .iter()
            .filter(|(key, ..)| REPORTED.contains(key))
            .map(|(key, reported, default)| {
                let value = self.values.get(key).map_or(*default, String::as_str);
                (*reported, value.to_owned())
            });
        fixed.chain(settable).collect()
    }

    /// Reports whether the client is notified of changes to the parameter.
    pub fn is_reported(name: &str) -> bool {
        REPORTED.contains(&name)
    }

    /// Returns the maximum age of the data that reads accept.
    pub fn max_age(&self) -> Option<Duration> {
        self.millis(MAX_AGE)
    }

    /// Returns the statement timeout that the client has set.
    pub fn statement_timeout(&self) -> Option<Duration> {
        self.millis(STATEMENT_TIMEOUT)
    }

    /// Takes the request id of the next batch.
    pub fn take_request_id(&mut self) -> Option<String> {
        self.values.remove(REQUEST_ID).filter(|id| !id.is_empty())
    }

    fn millis(&self, name: &str) -> Option<Duration> {
        let millis: u64 = self.values.get(name)?.parse().ok()?;
        (millis > 0).then(|| Duration::from_millis(millis))
    }
}

fn is_allowed(name: &str, value: &str) -> bool {
    match name {
        "client_encoding" => {
            value.eq_ignore_ascii_case("utf8")
                || value.eq_ignore_ascii_case("utf-8")
                || value.eq_ignore_ascii_case("unicode")
        }
        "datestyle" => value.to_ascii_lowercase().starts_with("iso"),
        "intervalstyle" => value.eq_ignore_ascii_case("postgres"),
        "bytea_output" => value.eq_ignore_ascii_case("hex"),
        "standard_conforming_strings" => value.eq_ignore_ascii_case("on"),
        MAX_AGE => value.is_empty() || value.parse::<u64>().is_ok(),
        STATEMENT_TIMEOUT => value.parse::<u64>().is_ok(),
        REQUEST_ID => value.len() <= 128 && value.chars().all(|c| c.is_ascii_graphic()),
        _ => true,
    }
}
