//! Recent promotion steps, shown on the admin endpoint.

use std::collections::VecDeque;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mustardbay_policy::group::Event;
use mustardbay_policy::names::GroupName;
use serde::Serialize;
use serde_json::Value;

/// Maximum number of steps kept.
const MAX_STEPS: usize = 64;

/// Recent promotion steps, oldest first.
#[derive(Debug, Default)]
pub(super) struct History(VecDeque<HistoryEntry>);

#[derive(Debug, Serialize)]
struct HistoryEntry {
    unix_ms: u64,
    group: GroupName,
    step: String,
}

impl History {
    /// Records an event if it is a step of a promotion.
    pub(super) fn record(&mut self, group: &GroupName, event: &Event) {
        let Some(step) = describe(event) else {
            return;
        };
        if self.0.len() == MAX_STEPS {
            self.0.pop_front();
        }
        self.0.push_back(HistoryEntry {
            unix_ms: unix_ms(),
            group: group.clone(),
            step,
        });
    }

    pub(super) fn dump(&self) -> Value {
        serde_json::to_value(&self.0).unwrap_or_default()
    }
}

fn describe(event: &Event) -> Option<String> {
    match event {
        Event::Swapped(recorded) => {
            let record = &recorded.record;
            Some(match &record.primary {
                Some(primary) => format!("recorded term {} with primary {primary}", record.term),
                None => format!("recorded term {} electing", record.term),
            })
        }
        Event::SwapLost(_) => Some("lost a swap".to_owned()),
        Event::SwapUnknown => Some("swap unanswered".to_owned()),
        Event::Fenced(name, term, received) => {
            Some(format!("fenced {name} at term {term}, received {received}"))
        }
        Event::FenceFailed(name, term) => Some(format!("failed to fence {name} at term {term}")),
        Event::Promoted(name, term) => Some(format!("promoted {name} at term {term}")),
        Event::PromoteFailed(name, term) => {
            Some(format!("failed to promote {name} at term {term}"))
        }
        Event::Followed(name, term) => Some(format!("{name} follows at term {term}")),
        Event::FollowFailed(name, term) => Some(format!("{name} does not follow at term {term}")),
        _ => None,
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
