//! All losses in a set of logs, and how complete the logs are.

use std::collections::BTreeMap;

use serde::Serialize;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::log_event::LogEvent;
use crate::losses::attempt::Attempt;
use crate::losses::cause::LossCause;
use crate::losses::timeline::Timeline;

/// Placeholder for a value that no log line contains.
const UNKNOWN: &str = "unknown";
/// Characters of an RFC 3339 time up to its whole seconds, as in `2026-05-01T10:00:00`.
const SECOND_CHARS: usize = 19;

/// One attempt that failed or took longer than its objective.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Loss {
    /// Id of the request, as in the logs and at the caller.
    pub request: String,
    /// Why it was lost.
    pub cause: LossCause,
    /// Second in which it ended, by the clock of the vm that took it.
    pub second: String,
    /// Vm that the caller was connected to.
    pub vm: String,
    /// Failure domain of that vm.
    pub domain: String,
    /// Account of the caller.
    pub account: String,
    /// Class of work.
    pub class: String,
}

/// Losses in a set of logs, with counts that show how complete the logs are.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LossReport {
    /// Every loss, ordered by the second in which it ended.
    pub losses: Vec<Loss>,
    /// Number of vms with at least one line in the logs.
    pub vms: usize,
    /// Number of lines that are not events or whose time cannot be parsed.
    pub unreadable: usize,
    /// Number of log lines that the vms report as dropped.
    pub dropped: u64,
    /// Number of processes that ended without a planned stop.
    ///
    /// The logs lack what the callers of these processes lost.
    pub crashes: usize,
}

impl LossReport {
    /// Collects the losses from the names and contents of log files.
    #[must_use]
    pub fn read(logs: &[(String, String)]) -> Self {
        let mut report = Self::default();
        let mut events: Vec<(OffsetDateTime, LogEvent<'_>)> = Vec::new();
        for (file, text) in logs {
            for line in text.lines().filter(|line| !line.trim().is_empty()) {
                match parse_line(line, file) {
                    Some(event) => events.push(event),
                    None => report.unreadable += 1,
                }
            }
        }
        events.sort_by_key(|(at, _)| *at);
        let mut timeline = Timeline::default();
        let mut attempts: BTreeMap<String, Attempt> = BTreeMap::new();
        for (at, event) in &events {
            timeline.record(event, *at);
            if let Some(request) = event.field("request") {
                let attempt = attempts.entry(request.into_owned()).or_default();
                attempt.record(event, *at);
            }
            if event.name() == "log_lines_dropped" {
                report.dropped += event.number("lines").unwrap_or(0);
            }
        }
        report.vms = timeline.vms();
        report.crashes = timeline.crashes();
        report.losses = attempts
            .iter()
            .filter_map(|(request, attempt)| loss(request, attempt, &timeline))
            .collect();
        report.losses.sort_by(|a, b| a.second.cmp(&b.second));
        report
    }

    /// Returns the number of losses without a known cause.
    #[must_use]
    pub fn unassigned(&self) -> usize {
        let losses = self.losses.iter();
        losses
            .filter(|loss| loss.cause == LossCause::Unassigned)
            .count()
    }
}

/// Parses a line and its time.
fn parse_line<'a>(line: &'a str, file: &'a str) -> Option<(OffsetDateTime, LogEvent<'a>)> {
    let event = LogEvent::read(line, file)?;
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
        second: second.chars().take(SECOND_CHARS).collect(),
        vm: vm.clone(),
        domain: or_unknown(timeline.domain(vm)),
        account: or_unknown(attempt.account.as_deref()),
        class: or_unknown(attempt.class.as_deref()),
    })
}
