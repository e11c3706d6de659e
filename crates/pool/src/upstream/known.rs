//! What is known of an upstream's position and age.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use tokio::time::Instant;

use super::connection::Reported;

/// Last known position and age of an upstream.
#[derive(Debug, Default)]
pub(crate) struct Known {
    state: Mutex<State>,
}

#[derive(Debug, Default, Clone, Copy)]
struct State {
    term: Term,
    applied: Option<Position>,
    contact: Option<Instant>,
}

impl Known {
    /// Forgets what was known under older terms.
    ///
    /// A replica may drop the end of its log when it follows the primary of a new term.
    pub(crate) fn begin_term(&self, term: Term) {
        let mut state = self.lock();
        if state.term < term {
            *state = State {
                term,
                ..State::default()
            };
        }
    }

    /// Takes over what the upstream reported; positions of an older term are ignored.
    pub(crate) fn report(&self, report: Reported) {
        let mut state = self.lock();
        match report {
            Reported::Position(position) if position.term < state.term => {}
            Reported::Position(position) => state.applied = state.applied.max(Some(position)),
            Reported::Age(age_ms) => state.contact = contact(age_ms).max(state.contact),
        }
    }

    /// Takes over several reports.
    pub(crate) fn report_all(&self, reports: &[Reported]) {
        for report in reports {
            self.report(*report);
        }
    }

    /// Returns the last known applied position.
    pub(crate) fn applied(&self) -> Option<Position> {
        self.lock().applied
    }

    /// Returns the age of the upstream's data; `None` when it never had contact.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.lock().contact.map(|contact| contact.elapsed())
    }

    /// Tells whether the upstream is known to have applied `floor`.
    pub(crate) fn covers(&self, floor: Position) -> bool {
        self.applied().is_some_and(|at| at.covers(floor))
    }

    /// Tells whether the upstream's data is known to be at most `max_age` old.
    pub(crate) fn is_within(&self, max_age: Duration) -> bool {
        self.age().is_some_and(|age| age <= max_age)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time of the contact that is `age_ms` ago; negative means never.
fn contact(age_ms: i64) -> Option<Instant> {
    let age = Duration::from_millis(u64::try_from(age_ms).ok()?);
    Instant::now().checked_sub(age)
}
