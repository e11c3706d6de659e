//! All losses in some logs, and what the logs lack.

use std::collections::BTreeMap;

use serde::Serialize;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::logged::Logged;
use crate::losses::attempt::Attempt;
use crate::losses::cause::LossCause;
use crate::losses::timeline::Timeline;

/// Value that a report shows for what no line tells.
const UNKNOWN: &str = "unknown";
/// Length of a time up to its whole seconds, as in `2026-05-01T10:00:00`.
const SECOND_LENGTH: usize = 19;

/// One try that was not served in its objective.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Loss {
    /// Id of the request, as logs and callers have it.
    pub request: String,
    /// Why it was not served in its objective.
    pub cause: LossCause,
    /// Second in which it ended, by the clock of its vm.
    pub second: String,
    /// Vm that took it from its caller.
    pub vm: String,
    /// Failure domain of that vm.
    pub domain: String,
    /// Account that it was for.
    pub account: String,
    /// Class of work.
    pub class: String,
}

/// Losses in some logs, and what the logs lack.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Ledger {
    /// Every loss, in order of time.
    pub losses: Vec<Loss>,
    /// Vms with a line in the logs.
    pub vms: usize,
    /// Lines that are no event, or whose time cannot be read.
    pub unreadable: usize,
    /// Lines that vms say they have dropped.
    pub dropped: u64,
    /// Processes that ended without a planned stop: what their callers lost is in no log.
    pub crashes: usize,
}

impl Ledger {
    /// Reads the losses from the names and contents of log files.
    #[must_use]
    pub fn read(logs: &[(String, String)]) -> Self {
        let mut ledger = Self::default();
        let mut events: Vec<(OffsetDateTime, Logged<'_>)> = Vec::new();
        for (file, text) in logs {
            for line in text.lines().filter(|line| !line.trim().is_empty()) {
                match dated(line, file) {
                    Some(event) => events.push(event),
                    None => ledger.unreadable += 1,
                }
            }
        }
        events.sort_by_key(|(at, _)| *at);
        let mut timeline = Timeline::default();
        let mut attempts: BTreeMap<String, Attempt> = BTreeMap::new();
        for (at, event) in &events {
            timeline.note(event, *at);
            if let Some(request) = event.field("request") {
                let attempt = attempts.entry(request.into_owned()).or_default();
                attempt.note(event, *at);
            }
            if event.event() == "log_lines_dropped" {
                ledger.dropped += event.number("lines").unwrap_or(0);
            }
        }
        ledger.vms = timeline.vms();
        ledger.crashes = timeline.crashes();
        ledger.losses = attempts
            .iter()
            .filter_map(|(request, attempt)| loss(request, attempt, &timeline))
            .collect();
        ledger.losses.sort_by(|a, b| a.second.cmp(&b.second));
        ledger
    }

    /// Returns the number of losses that could not be assigned.
    #[must_use]
    pub fn unassigned(&self) -> usize {
        let losses = self.losses.iter();
        losses
            .filter(|loss| loss.cause == LossCause::Unassigned)
            .count()
    }
}

/// Reads a line with its time.
fn dated<'a>(line: &'a str, file: &'a str) -> Option<(OffsetDateTime, Logged<'a>)> {
    let event = Logged::read(line, file)?;
    let at = OffsetDateTime::parse(event.time, &Rfc3339).ok()?;
    Some((at, event))
}

fn loss(request: &str, attempt: &Attempt, timeline: &Timeline<'_>) -> Option<Loss> {
    let cause = attempt.cause(timeline)?;
    let (at, vm) = attempt.ended.as_ref()?;
    let or_unknown = |known: Option<&str>| known.unwrap_or(UNKNOWN).to_owned();
    let second = at.format(&Rfc3339).unwrap_or_default();
    Some(Loss {
        request: request.to_owned(),
        cause,
        second: second.chars().take(SECOND_LENGTH).collect(),
        vm: vm.clone(),
        domain: or_unknown(timeline.domain(vm)),
        account: or_unknown(attempt.account.as_deref()),
        class: or_unknown(attempt.class.as_deref()),
    })
}
