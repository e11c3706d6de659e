//! Execution of monitor commands on the platform and the upstreams.

use std::sync::Arc;

use bytes::Bytes;
use mustardbay_platform::Entry;
use mustardbay_platform::Platform;
use mustardbay_platform::Revision;
use mustardbay_platform::Swap;
use mustardbay_platform::swap_settled;
use mustardbay_policy::bundle::Group;
use mustardbay_policy::group::Command;
use mustardbay_policy::group::Event;
use mustardbay_policy::group::GroupRecord;
use mustardbay_policy::group::StoredRecord;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;

use crate::control::Control;
use crate::control::ControlError;
use crate::control::Liveness;

/// Prefix of the keys of group records; the group's name follows.
pub(crate) const RECORD_PREFIX: &str = "mustardbay/group/";

/// Executes monitor commands on the platform and the upstreams.
#[derive(Debug)]
pub(crate) struct CommandExecutor {
    platform: Arc<dyn Platform>,
    control: Control,
}

impl CommandExecutor {
    pub(crate) fn new(platform: Arc<dyn Platform>, control: Control) -> Self {
        Self { platform, control }
    }

    /// Executes a command and returns the resulting event, if there is one.
    pub(crate) async fn execute(&self, group: &Group, command: Command) -> Option<Event> {
        match command {
            Command::Read => self.read(&group.name).await,
            Command::Swap(revision, record) => Some(self.swap(&group.name, revision, record).await),
            Command::Probe(name) => Some(self.probe(group, name).await),
            Command::Fence(name, term) => Some(self.fence(group, name, term).await),
            Command::Promote(name, term) => Some(self.promote(group, name, term).await),
            Command::Follow(name, primary, term) => {
                Some(self.follow(group, name, &primary, term).await)
            }
            Command::AskOpinion(..) | Command::Announce(_) => None,
        }
    }

    async fn read(&self, group: &GroupName) -> Option<Event> {
        match self.platform.get(&record_key(group)).await {
            Ok(entry) => Some(Event::Record(entry.as_ref().and_then(parse_record))),
            Err(e) => {
                tracing::warn!(event = "group_not_read", group = %group, error = %e);
                None
            }
        }
    }

    async fn swap(&self, group: &GroupName, revision: u64, record: GroupRecord) -> Event {
        let value = match serde_json::to_vec(&record) {
            Ok(json) => Bytes::from(json),
            Err(e) => {
                tracing::error!(event = "record_not_encoded", group = %group, error = %e);
                return Event::SwapUnknown;
            }
        };
        let key = record_key(group);
        let swap = swap_settled(&*self.platform, &key, Revision(revision), value).await;
        match swap {
            Ok(Swap::Done(Revision(revision))) => {
                let (term, phase) = (record.term, record.phase);
                tracing::info!(event = "record_swapped", group = %group, term = %term, ?phase);
                Event::Swapped(StoredRecord { revision, record })
            }
            Ok(Swap::Conflict(entry)) => {
                tracing::info!(event = "record_conflict", group = %group);
                Event::SwapLost(entry.as_ref().and_then(parse_record))
            }
            Err(e) => {
                tracing::warn!(event = "record_unsettled", group = %group, error = %e);
                Event::SwapUnknown
            }
        }
    }

    async fn probe(&self, group: &Group, name: UpstreamName) -> Event {
        let Some(address) = address(group, &name) else {
            return Event::ProbeTimedOut(name);
        };
        match self.control.status(address).await {
            Ok(status) => Event::ProbeAnswered(name, status),
            Err(e) => {
                tracing::debug!(event = "probe_failed", upstream = %name, error = %e);
                match e.liveness() {
                    Liveness::Unknown => Event::ProbeTimedOut(name),
                    Liveness::Busy => Event::Busy(name),
                    Liveness::Lost => Event::ConnectionLost(name),
                }
            }
        }
    }

    async fn fence(&self, group: &Group, name: UpstreamName, term: Term) -> Event {
        let Some(address) = address(group, &name) else {
            return Event::FenceFailed(name, term);
        };
        let result = self.control.fence(address, term).await;
        log_step("fence", group, &name, term, result.as_ref());
        match result {
            Ok(received) => Event::Fenced(name, term, received),
            Err(_) => Event::FenceFailed(name, term),
        }
    }

    async fn promote(&self, group: &Group, name: UpstreamName, term: Term) -> Event {
        let Some(address) = address(group, &name) else {
            return Event::PromoteFailed(name, term);
        };
        let result = self.control.promote(address, term).await;
        log_step("promote", group, &name, term, result.as_ref());
        match result {
            Ok(_) => Event::Promoted(name, term),
            Err(_) => Event::PromoteFailed(name, term),
        }
    }

    async fn follow(
        &self,
        group: &Group,
        name: UpstreamName,
        primary: &UpstreamName,
        term: Term,
    ) -> Event {
        let (Some(address), Some(primary)) = (address(group, &name), address(group, primary))
        else {
            return Event::FollowFailed(name, term);
        };
        let result = self.control.follow(address, primary, term).await;
        log_step("follow", group, &name, term, result.as_ref());
        match result {
            Ok(_) => Event::Followed(name, term),
            Err(_) => Event::FollowFailed(name, term),
        }
    }
}

fn log_step<T: std::fmt::Display>(
    step: &str,
    group: &Group,
    upstream: &UpstreamName,
    term: Term,
    result: Result<&T, &ControlError>,
) {
    let group = &group.name;
    match result {
        Ok(position) => {
            tracing::info!(event = "upstream_step", step, %group, %upstream, %term, %position);
        }
        Err(error) => {
            tracing::warn!(event = "upstream_step_failed", step, %group, %upstream, %term, %error);
        }
    }
}

/// Returns the key of a group's record.
pub(crate) fn record_key(group: &GroupName) -> String {
    format!("{RECORD_PREFIX}{group}")
}

/// Parses a group record; `None`, with a log entry, if it is invalid.
pub(crate) fn parse_record(entry: &Entry) -> Option<StoredRecord> {
    match serde_json::from_slice(&entry.value) {
        Ok(record) => Some(StoredRecord {
            revision: entry.revision.0,
            record,
        }),
        Err(e) => {
            tracing::error!(event = "record_rejected", key = entry.key, error = %e);
            None
        }
    }
}

fn address<'a>(group: &'a Group, name: &UpstreamName) -> Option<&'a str> {
    let mut upstreams = group.upstreams.iter();
    let upstream = upstreams.find(|upstream| upstream.name == *name)?;
    Some(&upstream.address)
}
