//! History of one request, from the logs of several vms.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::log_event::LogEvent;

/// Events that change the state known to a vm; the last one of each kind applies to a request.
const STATE_EVENTS: [&str; 8] = [
    "configuration_in_force",
    "store_lost",
    "store_back",
    "lead_proven",
    "lead_lost",
    "upstream_lost",
    "upstream_back",
    "home_changed",
];

/// One event in the history of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoryLine {
    /// Time of the event, as text in the log.
    pub time: String,
    /// Vm that logged it.
    pub vm: String,
    /// Log line from `event=` on.
    pub text: String,
    /// Whether it describes state known to the vm at that time, not a step of the request.
    pub is_state: bool,
}

impl fmt::Display for StoryLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_state { "believed" } else { "did" };
        write!(f, "{} {} {kind} {}", self.time, self.vm, self.text)
    }
}

fn line(event: &LogEvent<'_>, is_state: bool) -> StoryLine {
    StoryLine {
        time: event.time.to_owned(),
        vm: event.vm.to_owned(),
        text: event.text.to_owned(),
        is_state,
    }
}

/// Returns the steps of a request and the state that its vms knew then, in order of time.
///
/// `logs` are the names and contents of log files; a name stands for a vm if a line names none.
#[must_use]
pub fn story(request: &str, logs: &[(String, String)]) -> Vec<StoryLine> {
    let mut events: Vec<LogEvent<'_>> = logs
        .iter()
        .flat_map(|(file, text)| text.lines().filter_map(|line| LogEvent::read(line, file)))
        .collect();
    events.sort_by_key(|event| event.time);
    let steps: Vec<&LogEvent<'_>> = events
        .iter()
        .filter(|event| event.field("request").as_deref() == Some(request))
        .collect();
    let groups: BTreeSet<_> = steps.iter().filter_map(|s| s.field("group")).collect();
    let mut story: BTreeSet<StoryLine> = steps.iter().map(|step| line(step, false)).collect();
    for step in &steps {
        story.extend(state_at(step, &events, &groups));
    }
    story.into_iter().collect()
}

/// Returns the last state event of each kind that the vm of a step logged before it.
fn state_at(
    step: &LogEvent<'_>,
    events: &[LogEvent<'_>],
    groups: &BTreeSet<Cow<'_, str>>,
) -> Vec<StoryLine> {
    let mut last: BTreeMap<(&str, Option<Cow<'_, str>>), &LogEvent<'_>> = BTreeMap::new();
    let before = events
        .iter()
        .take_while(|event| event.time <= step.time)
        .filter(|event| event.vm == step.vm);
    for event in before {
        let kind = event.name();
        if !STATE_EVENTS.contains(&kind) {
            continue;
        }
        let group = event.field("group");
        if group.is_none_or(|group| groups.contains(&group)) {
            last.insert((kind, event.field("upstream")), event);
        }
    }
    last.into_values().map(|event| line(event, true)).collect()
}
