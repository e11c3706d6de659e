//! Story of one request, from the logs of several vms.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::logged::Logged;

/// Events that change what a vm believes; a request is decided on the last one of each before it.
const BELIEFS: [&str; 8] = [
    "configuration_in_force",
    "store_lost",
    "store_back",
    "lead_proven",
    "lead_lost",
    "upstream_lost",
    "upstream_back",
    "home_changed",
];

/// One line of a story.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoryLine {
    /// Time of the event as the vm logged it.
    pub time: String,
    /// Vm that logged it.
    pub vm: String,
    /// The line from its event on.
    pub text: String,
    /// Whether it is a belief that was in force, not a step of the request.
    pub belief: bool,
}

impl fmt::Display for StoryLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.belief { "believed" } else { "did" };
        write!(f, "{} {} {mark} {}", self.time, self.vm, self.text)
    }
}

fn line(event: &Logged<'_>, belief: bool) -> StoryLine {
    StoryLine {
        time: event.time.to_owned(),
        vm: event.vm.to_owned(),
        text: event.text.to_owned(),
        belief,
    }
}

/// Returns what vms did about a request and what they believed then, in order of time.
///
/// `logs` are the names and contents of log files.
#[must_use]
pub fn story(request: &str, logs: &[(String, String)]) -> Vec<StoryLine> {
    let mut events: Vec<Logged<'_>> = logs
        .iter()
        .flat_map(|(file, text)| text.lines().filter_map(|line| Logged::read(line, file)))
        .collect();
    events.sort_by_key(|event| event.time);
    let steps: Vec<&Logged<'_>> = events
        .iter()
        .filter(|event| event.field("request").as_deref() == Some(request))
        .collect();
    let groups: BTreeSet<_> = steps.iter().filter_map(|s| s.field("group")).collect();
    let mut story: BTreeSet<StoryLine> = steps.iter().map(|step| line(step, false)).collect();
    for step in &steps {
        story.extend(beliefs_at(step, &events, &groups));
    }
    story.into_iter().collect()
}

/// Returns the last belief of each kind that a step's vm had before it.
fn beliefs_at(
    step: &Logged<'_>,
    events: &[Logged<'_>],
    groups: &BTreeSet<Cow<'_, str>>,
) -> Vec<StoryLine> {
    let mut last: BTreeMap<(&str, Option<Cow<'_, str>>), &Logged<'_>> = BTreeMap::new();
    let before = events
        .iter()
        .take_while(|event| event.time <= step.time)
        .filter(|event| event.vm == step.vm);
    for event in before {
        let kind = event.event();
        if !BELIEFS.contains(&kind) {
            continue;
        }
        let group = event.field("group");
        if group.is_none_or(|group| groups.contains(&group)) {
            last.insert((kind, event.field("upstream")), event);
        }
    }
    last.into_values().map(|event| line(event, true)).collect()
}
