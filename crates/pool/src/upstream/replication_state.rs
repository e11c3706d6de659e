//! Last known position of an upstream and age of its data.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use tokio::time::Instant;

use super::connection::StatusReport;

/// Position and age that an upstream last reported.
#[derive(Debug, Default)]
pub(crate) struct ReplicationState {
    state: Mutex<State>,
}

#[derive(Debug, Default, Clone, Copy)]
struct State {
    term: Term,
    applied: Option<Position>,
    /// Time of the last confirmed contact with the primary.
    last_contact: Option<Instant>,
}

impl ReplicationState {
    /// Discards the state of older terms.
    ///
    /// A replica may truncate its log when it follows the primary of a new term.
    pub(crate) fn begin_term(&self, term: Term) {
        let mut state = self.lock();
        if state.term < term {
            *state = State {
                term,
                ..State::default()
            };
        }
    }

    /// Records a report; positions of an older term and values that go back are ignored.
    pub(crate) fn record(&self, report: StatusReport) {
        let mut state = self.lock();
        match report {
            StatusReport::Position(position) if position.term < state.term => {}
            StatusReport::Position(position) => state.applied = state.applied.max(Some(position)),
            StatusReport::Age(age_ms) => {
                state.last_contact = contact_time(age_ms).max(state.last_contact);
            }
        }
    }

    /// Records several reports in order.
    pub(crate) fn record_all(&self, reports: &[StatusReport]) {
        for report in reports {
            self.record(*report);
        }
    }

    /// Returns the last known applied position.
    pub(crate) fn applied(&self) -> Option<Position> {
        self.lock().applied
    }

    /// Returns the age of the upstream's data; `None` if no contact with the primary is known.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.lock().last_contact.map(|contact| contact.elapsed())
    }

    /// Returns whether the upstream is known to have applied `floor`.
    pub(crate) fn has_applied(&self, floor: Position) -> bool {
        self.applied().is_some_and(|at| at.covers(floor))
    }

    /// Returns whether the upstream's data is known to be at most `max_age` old.
    pub(crate) fn is_fresh(&self, max_age: Duration) -> bool {
        self.age().is_some_and(|age| age <= max_age)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time `age_ms` ago; `None` if negative, which means no contact.
fn contact_time(age_ms: i64) -> Option<Instant> {
    let age = Duration::from_millis(u64::try_from(age_ms).ok()?);
    Instant::now().checked_sub(age)
}
