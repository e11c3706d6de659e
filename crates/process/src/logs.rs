//! Structured logs: one line of key=value pairs an event, on standard error.

use std::fmt;
use std::fmt::Write;

use tracing::Event;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::FormatEvent;
use tracing_subscriber::fmt::FormatFields;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::time::SystemTime;
use tracing_subscriber::registry::LookupSpan;

/// Starts logging; `MUSTARDBAY_LOG` filters by level and module, `info` by default.
///
/// A second call in the same process has no effect.
pub fn init(program: &'static str) {
    let filter =
        EnvFilter::try_from_env("MUSTARDBAY_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .event_format(KeyValue { program })
        .try_init();
    if started.is_err() {
        tracing::debug!(event = "logs_already_started");
    }
}

/// Formats an event as `time=... level=... program=... key=value ...`.
struct KeyValue {
    program: &'static str,
}

impl<S, N> FormatEvent<S, N> for KeyValue
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _ctx: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "time=")?;
        SystemTime.format_time(&mut writer)?;
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        write!(writer, " level={level} program={}", self.program)?;
        let mut pairs = Pairs {
            line: String::new(),
        };
        event.record(&mut pairs);
        writeln!(writer, "{}", pairs.line)
    }
}

/// Collects the fields of one event.
struct Pairs {
    line: String,
}

impl Pairs {
    fn push(&mut self, field: &Field, value: &str) {
        let plain = !value.is_empty()
            && value
                .chars()
                .all(|c| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=');
        let key = field.name();
        let written = if plain {
            write!(self.line, " {key}={value}")
        } else {
            write!(self.line, " {key}={value:?}")
        };
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
    }
}

impl Visit for Pairs {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field, value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.push(field, &format!("{value:?}"));
    }
}
