//! Parser of the log lines that vms write.

use std::borrow::Cow;

/// One event in a log, borrowed from its line.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogEvent<'a> {
    /// Vm that logged it.
    pub(crate) vm: &'a str,
    /// Time of the event, as text in the log.
    pub(crate) time: &'a str,
    /// Line from `event=` on.
    pub(crate) text: &'a str,
}

impl<'a> LogEvent<'a> {
    /// Parses a line; returns `None` if it has no time or no event.
    ///
    /// The word before `time=` is the name of the vm; without one, `file` is.
    pub(crate) fn read(line: &'a str, file: &'a str) -> Option<Self> {
        let at = line.find("time=")?;
        let (time, rest) = line[at + "time=".len()..].split_once(' ')?;
        let text = &rest[rest.find("event=")?..];
        let vm = line[..at].split_whitespace().last().unwrap_or(file);
        Some(Self { vm, time, text })
    }

    /// Returns the name of the event.
    pub(crate) fn name(&self) -> &'a str {
        let name = self.text.trim_start_matches("event=");
        name.split(' ').next().unwrap_or_default()
    }

    /// Returns the value of a field, without its quotes and with escapes resolved.
    pub(crate) fn field(&self, name: &str) -> Option<Cow<'a, str>> {
        let mut rest = self.text;
        while let Some((key, value)) = rest.split_once('=') {
            let (value, after) = split_value(value);
            if key.trim_start() == name {
                return Some(value);
            }
            rest = after;
        }
        None
    }

    /// Returns the value of a field as a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

/// Splits a value, quoted or not, from the rest of the line.
fn split_value(text: &str) -> (Cow<'_, str>, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let (value, rest) = text.split_once(' ').unwrap_or((text, ""));
        return (Cow::Borrowed(value), rest);
    };
    let mut value = String::new();
    let mut escaped = false;
    for (at, character) in quoted.char_indices() {
        match character {
            _ if escaped => {
                value.push(character);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return (Cow::Owned(value), &quoted[at + 1..]),
            _ => value.push(character),
        }
    }
    // The line was cut off within the value, so only its beginning is known.
    (Cow::Owned(value), "")
}
