//! Differences between two bundles.

use std::collections::BTreeMap;
use std::fmt;

use mustardbay_policy::bundle::Bundle;
use serde_json::Value;

/// One difference between two bundles, by the path of the value.
///
/// Items of a list that have a name or an identifier are compared under it, so their order does not
/// count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The value is new.
    Added(String, String),
    /// The value is gone.
    Removed(String, String),
    /// The value is another.
    Changed(String, String, String),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(path, value) => write!(f, "+ {path}: {value}"),
            Self::Removed(path, value) => write!(f, "- {path}: {value}"),
            Self::Changed(path, old, new) => write!(f, "~ {path}: {old} -> {new}"),
        }
    }
}

/// Returns every difference from `old` to `new`, in order of the paths.
///
/// # Panics
///
/// Panics if a rate or burst is not finite, which [`Bundle::check`] rules out.
#[must_use]
pub fn changes(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let old = leaves(old);
    let new = leaves(new);
    let mut changes = Vec::new();
    for (path, value) in &old {
        match new.get(path) {
            None => changes.push(Change::Removed(path.clone(), shown(path, value))),
            Some(other) if other != value => {
                let values = (shown(path, value), shown(path, other));
                changes.push(Change::Changed(path.clone(), values.0, values.1));
            }
            Some(_) => {}
        }
    }
    for (path, value) in &new {
        if !old.contains_key(path) {
            changes.push(Change::Added(path.clone(), shown(path, value)));
        }
    }
    changes
}

fn shown(path: &str, value: &str) -> String {
    if path.ends_with(".verifier") {
        "***".to_owned()
    } else {
        value.to_owned()
    }
}

fn leaves(bundle: &Bundle) -> BTreeMap<String, String> {
    let value = serde_json::to_value(bundle).expect("a checked bundle is valid JSON");
    let mut leaves = BTreeMap::new();
    collect("", &value, &mut leaves);
    leaves
}

fn collect(path: &str, value: &Value, leaves: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let below = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                collect(&below, value, leaves);
            }
        }
        Value::Array(items) => {
            for item in items {
                collect(&format!("{path}[{}]", label(item)), item, leaves);
            }
        }
        scalar => {
            leaves.insert(path.to_owned(), scalar.to_string());
        }
    }
}

fn label(item: &Value) -> &str {
    let name = item.get("name").or_else(|| item.get("id")).unwrap_or(item);
    name.as_str().unwrap_or_default()
}
