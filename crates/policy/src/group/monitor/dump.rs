//! State of a monitor in JSON, for operators.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::group::Monitor;
use crate::group::monitor::Stage;

impl Monitor {
    /// Returns the record, the duty, the stage and the ages of contact and record as JSON.
    #[must_use]
    pub fn dump(&self, now: Duration) -> Value {
        let stage = match &self.stage {
            Stage::Watching => "watching",
            Stage::Asking { .. } => "asking",
            Stage::Swapping(_) => "swapping",
            Stage::Electing { .. } => "electing",
        };
        json!({
            "record": self.record,
            "duty": self.duty,
            "stage": stage,
            "contact_age_ms": millis(now.saturating_sub(self.contact_at)),
            "record_age_ms": millis(now.saturating_sub(self.record_at)),
            "unfinished_elections": self.unfinished_elections,
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
