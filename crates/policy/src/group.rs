//! Failover of a group: failure detection of its primary and promotion of a replica.
//!
//! The record of a group is stored in the platform and changed only by compare-and-swap. A
//! [`Monitor`] probes the primary. When the primary does not answer, the monitor raises the term in
//! the record, fences a majority of the upstreams at that term, chooses the one with the most
//! advanced log, and stores the choice before it promotes. Any two majorities share an upstream, so
//! the chosen one has every write that a majority received.

mod event;
mod fence_results;
mod monitor;
mod monitor_duty;
mod monitor_timing;
mod record;

pub use event::Command;
pub use event::Event;
pub use event::Role;
pub use event::UpstreamStatus;
pub use fence_results::FenceResults;
pub use monitor::Monitor;
pub use monitor_duty::MAX_MONITORS;
pub use monitor_duty::MonitorCandidates;
pub use monitor_duty::MonitorDuty;
pub use monitor_timing::MonitorTiming;
pub use record::GroupRecord;
pub use record::Phase;
pub use record::Proposer;
pub use record::StoredRecord;
