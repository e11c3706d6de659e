//! Lists the differences between two bundles.

use std::collections::BTreeMap;
use std::fmt;

use mustardbay_policy::bundle::Bundle;
use serde_json::Value;

/// One difference between two bundles, with the path of the value.
///
/// List items are matched by their name or id, so their order does not matter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Path and value that only the new bundle has.
    Added(String, String),
    /// Path and value that only the old bundle has.
    Removed(String, String),
    /// Path, old value and new value.
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

/// Returns every difference from `old` to `new`.
///
/// Removed and changed values come first, then added ones, each ordered by path.
///
/// # Panics
///
/// Panics if a rate or burst is not finite, which [`Bundle::check`] rules out.
#[must_use]
pub fn changes(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let old = flatten(old);
    let new = flatten(new);
    let mut changes = Vec::new();
    for (path, value) in &old {
        match new.get(path) {
            None => changes.push(Change::Removed(path.clone(), masked(path, value))),
            Some(other) if other != value => {
                let values = (masked(path, value), masked(path, other));
                changes.push(Change::Changed(path.clone(), values.0, values.1));
            }
            Some(_) => {}
        }
    }
    for (path, value) in &new {
        if !old.contains_key(path) {
            changes.push(Change::Added(path.clone(), masked(path, value)));
        }
    }
    changes
}

/// Returns the value as printed: verifiers of keys are masked.
fn masked(path: &str, value: &str) -> String {
    if path.ends_with(".verifier") {
        "***".to_owned()
    } else {
        value.to_owned()
    }
}

/// Returns every scalar of the bundle by its path.
fn flatten(bundle: &Bundle) -> BTreeMap<String, String> {
    let value = serde_json::to_value(bundle).expect("a checked bundle is valid JSON");
    let mut leaves = BTreeMap::new();
    collect_leaves("", &value, &mut leaves);
    leaves
}

fn collect_leaves(path: &str, value: &Value, leaves: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let child_path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                collect_leaves(&child_path, value, leaves);
            }
        }
        Value::Array(items) => {
            for item in items {
                collect_leaves(&format!("{path}[{}]", label(item)), item, leaves);
            }
        }
        scalar => {
            leaves.insert(path.to_owned(), scalar.to_string());
        }
    }
}

/// Returns the name or id that identifies a list item, or the item itself if it is a string.
fn label(item: &Value) -> &str {
    let name = item.get("name").or_else(|| item.get("id")).unwrap_or(item);
    name.as_str().unwrap_or_default()
}
