//! Classes of statement texts that were seen lately.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mustardbay_policy::statement::StatementClass;
use mustardbay_policy::statement::classify;

/// Texts that are remembered; the memory starts over when it is full.
const MAX_TEXTS: usize = 4_096;
/// Longest text that is remembered, in bytes.
const MAX_TEXT_BYTES: usize = 2_048;

/// Memory of the classes of statement texts, because parsing costs more than all else.
#[derive(Debug, Default)]
pub(crate) struct Classes {
    known: Mutex<HashMap<Box<str>, Arc<[StatementClass]>>>,
}

impl Classes {
    /// Returns the classes of the statements in `text`.
    pub fn of(&self, text: &str) -> Arc<[StatementClass]> {
        if text.len() > MAX_TEXT_BYTES {
            return classify(text).into();
        }
        if let Some(classes) = self.lock().get(text) {
            return Arc::clone(classes);
        }
        let classes: Arc<[StatementClass]> = classify(text).into();
        let mut known = self.lock();
        if known.len() >= MAX_TEXTS {
            known.clear();
        }
        known.insert(text.into(), Arc::clone(&classes));
        classes
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, Arc<[StatementClass]>>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
