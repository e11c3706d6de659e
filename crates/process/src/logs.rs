//! Structured logs: one line of `key=value` pairs per event, on standard error.
//!
//! Logging never blocks: a separate thread writes the lines, and lines that exceed its queue are
//! dropped and counted.

use std::fmt;
use std::fmt::Write;
use std::io;
use std::time::Duration;

use tracing::Event;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::FormatEvent;
use tracing_subscriber::fmt::FormatFields;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::time::SystemTime;
use tracing_subscriber::registry::LookupSpan;

use crate::timer::Timer;

/// Maximum number of lines that wait to be written, about 500 kB of a vm's memory at most.
const MAX_QUEUED_LINES: usize = 2_048;
/// Time between two checks of the number of dropped lines.
const DROP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Handle of a process's logs; dropping it writes the queued lines.
#[derive(Debug)]
pub struct Logs {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Logs {
    /// Returns the number of lines that were dropped because the queue was full.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Logs every second how many lines were dropped, if any, until the timer stops.
    pub fn report_drops(&self, timer: &Timer) {
        let dropped = self.dropped.clone();
        let mut ticks = timer.every(DROP_CHECK_INTERVAL);
        tokio::spawn(async move {
            let mut reported = 0;
            while ticks.recv().await.is_some() {
                let count = dropped.dropped_lines();
                if count > reported {
                    tracing::warn!(event = "log_lines_dropped", lines = count - reported, count);
                    reported = count;
                }
            }
        });
    }
}

/// Returns the log filter unchanged if its syntax is valid.
///
/// # Errors
///
/// Returns the parser's message if the syntax is invalid.
pub fn check_filter(filter: &str) -> Result<String, String> {
    match EnvFilter::try_new(filter) {
        Ok(_) => Ok(filter.to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

/// Starts logging to standard error; `filter` selects events by level and module.
///
/// A second call in the same process has no effect.
#[must_use]
pub fn init(program: &'static str, filter: &str) -> Logs {
    init_to(program, filter, io::stderr())
}

/// Starts logging to `writer`, otherwise like [`init`].
#[must_use]
pub fn init_to(
    program: &'static str,
    filter: &str,
    writer: impl io::Write + Send + 'static,
) -> Logs {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .thread_name("logs")
        .finish(writer);
    let dropped = writer.error_counter();
    let started = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(filter))
        .with_writer(writer)
        .event_format(KeyValueFormat { program })
        .try_init();
    if started.is_err() {
        tracing::debug!(event = "logs_already_started");
    }
    Logs {
        dropped,
        _writer: guard,
    }
}

/// Event format `time=... level=... program=... key=value ...`.
struct KeyValueFormat {
    program: &'static str,
}

impl<S, N> FormatEvent<S, N> for KeyValueFormat
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
        let mut pairs = FieldPairs {
            line: String::new(),
        };
        event.record(&mut pairs);
        writeln!(writer, "{}", pairs.line)
    }
}

/// Visitor that appends the fields of one event to a line as ` key=value`.
struct FieldPairs {
    line: String,
}

impl FieldPairs {
    fn push(&mut self, field: &Field, value: &str) {
        let unquoted = !value.is_empty()
            && value
                .chars()
                .all(|c| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=');
        let key = field.name();
        let written = if unquoted {
            write!(self.line, " {key}={value}")
        } else {
            write!(self.line, " {key}={value:?}")
        };
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
    }
}

impl Visit for FieldPairs {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field, value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.push(field, &format!("{value:?}"));
    }
}
