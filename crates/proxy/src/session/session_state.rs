//! Settings and prepared statements of a session.

use std::collections::BTreeMap;

use crate::work::PreparedStatement;
use crate::work::Setting;

/// Bytes that an entry takes beside its texts.
const ENTRY_BYTES: usize = 160;

/// Settings and prepared statements, kept for as long as the session.
#[derive(Debug, Default)]
pub(super) struct SessionState {
    settings: BTreeMap<String, String>,
    prepared: BTreeMap<String, PreparedStatement>,
    /// Bytes of both.
    bytes: usize,
}

impl SessionState {
    /// Returns the bytes that the state would take with a setting.
    pub(super) fn bytes_with_setting(&self, setting: &Setting) -> usize {
        let replaced = self.settings.get(&setting.name);
        let replaced = replaced.map_or(0, |value| entry_bytes(&setting.name, value));
        self.bytes - replaced + entry_bytes(&setting.name, &setting.value)
    }

    /// Returns the bytes that the state would take with a prepared statement.
    pub(super) fn bytes_with_prepared(&self, name: &str, prepared: &PreparedStatement) -> usize {
        let replaced = self.prepared.get(name);
        let replaced = replaced.map_or(0, |old| entry_bytes(name, &old.text));
        self.bytes - replaced + entry_bytes(name, &prepared.text)
    }

    /// Returns the bytes that the state takes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets a setting.
    pub(super) fn set(&mut self, setting: Setting) {
        self.bytes = self.bytes_with_setting(&setting);
        self.settings.insert(setting.name, setting.value);
    }

    /// Stores a prepared statement; replaces one of the same name.
    pub(super) fn prepare(&mut self, name: String, prepared: PreparedStatement) {
        self.bytes = self.bytes_with_prepared(&name, &prepared);
        self.prepared.insert(name, prepared);
    }

    /// Removes a prepared statement; returns whether there was one.
    pub(super) fn deallocate(&mut self, name: &str) -> bool {
        let removed = self.prepared.remove(name);
        let bytes = removed.as_ref().map(|old| entry_bytes(name, &old.text));
        self.bytes -= bytes.unwrap_or(0);
        removed.is_some()
    }

    /// Returns a prepared statement.
    pub(super) fn prepared(&self, name: &str) -> Option<&PreparedStatement> {
        self.prepared.get(name)
    }

    /// Returns all settings, ordered by name.
    pub(super) fn settings(&self) -> Vec<Setting> {
        self.settings
            .iter()
            .map(|(name, value)| Setting {
                name: name.clone(),
                value: value.clone(),
            })
            .collect()
    }
}

/// Returns the bytes that an entry takes.
fn entry_bytes(name: &str, text: &str) -> usize {
    name.len() + text.len() + ENTRY_BYTES
}
