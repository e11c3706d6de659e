//! Bytes of the statements that other vms have sent on one link.

use std::collections::HashMap;
use std::sync::Arc;

use crate::budget::Budget;
use crate::budget::Short;
use crate::link::frame::Ask;
use crate::link::frame::AskBody;
use crate::work::Setting;
use crate::work::Statement;

/// Bytes of a statement and its settings that are not counted; most have fewer.
const FREE_BYTES: usize = 8 * 1_024;
/// Copies of a statement while it waits and runs: unit, queue, connection and encoding.
const COPIES: usize = 5;

/// Large statements of one link that are not answered yet, with the bytes that they take.
///
/// Load: a hostile client at each of many vms, whose statements all go to one home. Each vm admits
/// what it can hold itself; without a bound of its own the home would have to hold them all.
#[derive(Debug)]
pub struct StatementCharges {
    budget: Arc<Budget>,
    taken: HashMap<u64, usize>,
}

impl StatementCharges {
    /// Creates the charges of a new link.
    #[must_use]
    pub fn new(budget: Arc<Budget>) -> Self {
        Self {
            budget,
            taken: HashMap::new(),
        }
    }

    /// Takes the bytes of a request until it is answered or released.
    ///
    /// # Errors
    ///
    /// Fails if they are not available; this vm's own sessions are not closed for them.
    pub fn take(&mut self, ask: &Ask) -> Result<(), Short> {
        let bytes = match &ask.body {
            Some(AskBody::Submit(unit)) => statement_bytes(&unit.statement, &unit.settings),
            Some(AskBody::Continue(next)) => statement_bytes(&next.statement, &next.settings),
            Some(AskBody::Release(_)) => {
                self.release(ask.number);
                return Ok(());
            }
            _ => return Ok(()),
        };
        if bytes <= FREE_BYTES {
            return Ok(());
        }
        let bytes = bytes * COPIES;
        self.budget.take_spare(bytes)?;
        *self.taken.entry(ask.number).or_default() += bytes;
        Ok(())
    }

    /// Returns the bytes of a request that was answered.
    pub fn release(&mut self, number: u64) {
        if self.taken.is_empty() {
            return;
        }
        self.budget
            .give_back(self.taken.remove(&number).unwrap_or(0));
    }
}

impl Drop for StatementCharges {
    fn drop(&mut self) {
        self.budget.give_back(self.taken.values().sum());
    }
}

fn statement_bytes(statement: &Statement, settings: &[Setting]) -> usize {
    let prepared = statement.prepared.as_ref().map_or(0, |p| p.text.len());
    let settings = settings.iter().map(|s| s.name.len() + s.value.len());
    statement.text.len() + prepared + settings.sum::<usize>()
}
