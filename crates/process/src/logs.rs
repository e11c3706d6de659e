//! Structured logs: one line of key=value pairs an event, on standard error.
//!
//! A line never waits for its reader: a thread writes, and lines beyond a bound are dropped and counted.

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

/// Lines that may wait to be written; some 500 kB of a vm's memory at most.
const WAITING_LINES: usize = 2_048;
/// Time between two looks at the number of dropped lines.
const DROPS_EVERY: Duration = Duration::from_secs(1);

/// Running logs of a process; what waits is written when this is dropped.
#[derive(Debug)]
pub struct Logs {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Logs {
    /// Returns the number of lines that were dropped because their reader was slow.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Logs once a second how many lines were dropped, if any were, for as long as the timer runs.
    pub fn report_drops(&self, timer: &Timer) {
        let dropped = self.dropped.clone();
        let mut ticks = timer.every(DROPS_EVERY);
        tokio::spawn(async move {
            let mut known = 0;
            while ticks.recv().await.is_some() {
                let count = dropped.dropped_lines();
                if count > known {
                    tracing::warn!(event = "log_lines_dropped", lines = count - known, count);
                    known = count;
                }
            }
        });
    }
}

/// Returns a filter by level and module, if it can be read.
///
/// # Errors
///
/// Fails with what cannot be read.
pub fn check_filter(filter: &str) -> Result<String, String> {
    match EnvFilter::try_new(filter) {
        Ok(_) => Ok(filter.to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

/// Starts logging to standard error what `filter` lets pass, by level and module.
///
/// A second call in the same process has no effect.
#[must_use]
pub fn init(program: &'static str, filter: &str) -> Logs {
    init_to(program, filter, io::stderr())
}

/// Starts logging to a writer, as [`init`] does.
#[must_use]
pub fn init_to(
    program: &'static str,
    filter: &str,
    writer: impl io::Write + Send + 'static,
) -> Logs {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .thread_name("logs")
        .finish(writer);
    let dropped = writer.error_counter();
    let started = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(filter))
        .with_writer(writer)
        .event_format(KeyValue { program })
        .try_init();
    if started.is_err() {
        tracing::debug!(event = "logs_already_started");
    }
    Logs {
        dropped,
        _writer: guard,
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
