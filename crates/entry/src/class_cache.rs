//! Cache of the classes of recent statement texts.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mustardbay_policy::statement;
use mustardbay_policy::statement::StatementClass;

/// Largest number of cached texts; a full cache is cleared.
const MAX_TEXTS: usize = 4_096;
/// Longest text that is cached.
const MAX_TEXT_BYTES: usize = 2_048;

/// Cache from statement text to classes, because parsing is the costliest step of a batch.
#[derive(Debug, Default)]
pub(crate) struct ClassCache {
    entries: Mutex<HashMap<Box<str>, Arc<[StatementClass]>>>,
}

impl ClassCache {
    /// Returns the classes of the statements in `text`, parsing it only if it is not cached.
    pub fn classify(&self, text: &str) -> Arc<[StatementClass]> {
        if text.len() > MAX_TEXT_BYTES {
            return statement::classify(text).into();
        }
        if let Some(classes) = self.lock().get(text) {
            return Arc::clone(classes);
        }
        let classes: Arc<[StatementClass]> = statement::classify(text).into();
        let mut entries = self.lock();
        if entries.len() >= MAX_TEXTS {
            entries.clear();
        }
        entries.insert(text.into(), Arc::clone(&classes));
        classes
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, Arc<[StatementClass]>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
