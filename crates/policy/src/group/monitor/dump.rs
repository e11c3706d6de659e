//! State of a monitor for people.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::group::Monitor;
use crate::group::monitor::Stage;

impl Monitor {
    /// Describes the record, the duty and the stage.
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
            "contact_age_ms": millis(now.saturating_sub(self.contact)),
            "record_age_ms": millis(now.saturating_sub(self.record_at)),
            "unfinished_elections": self.unfinished,
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
