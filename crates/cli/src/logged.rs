//! Events of logs, read back.

use std::borrow::Cow;

/// Event of a log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Logged<'a> {
    /// Vm that logged it.
    pub(crate) vm: &'a str,
    /// Time of the event as the vm logged it.
    pub(crate) time: &'a str,
    /// The line from its event on.
    pub(crate) text: &'a str,
}

impl<'a> Logged<'a> {
    /// Reads a line; what stands before its time names the vm, else `file` does.
    pub(crate) fn read(line: &'a str, file: &'a str) -> Option<Self> {
        let at = line.find("time=")?;
        let (time, rest) = line[at + "time=".len()..].split_once(' ')?;
        let text = &rest[rest.find("event=")?..];
        let vm = line[..at].split_whitespace().last().unwrap_or(file);
        Some(Self { vm, time, text })
    }

    /// Returns the name of the event.
    pub(crate) fn event(&self) -> &'a str {
        let name = self.text.trim_start_matches("event=");
        name.split(' ').next().unwrap_or_default()
    }

    /// Returns the value of a field; of a quoted one what stands between the quotes, escapes resolved.
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

    /// Returns the value of a field that is a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

/// Splits a value from what follows it.
fn split_value(text: &str) -> (Cow<'_, str>, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let (value, rest) = text.split_once(' ').unwrap_or((text, ""));
        return (Cow::Borrowed(value), rest);
    };
    let mut value = String::new();
    let mut escaped = false;
    for (at, letter) in quoted.char_indices() {
        match letter {
            _ if escaped => {
                value.push(letter);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return (Cow::Owned(value), &quoted[at + 1..]),
            _ => value.push(letter),
        }
    }
    // A line that was cut off: what there is of the value.
    (Cow::Owned(value), "")
}
