//! Logs whose reader stands still.

use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use mustardbay_process::logs;

/// Lines of the flood: more than may wait.
const LINES: usize = 50_000;
/// Longest time for the flood; a blocked line would take for ever.
const PATIENCE: Duration = Duration::from_secs(20);

/// Writer that takes nothing until it is let go.
struct Still(mpsc::Receiver<()>);

impl Write for Still {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // The sender is gone when the test lets the writer go.
        if self.0.recv().is_err() {
            return Ok(buf.len());
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flood_does_not_wait_for_its_reader() {
    let (gate, waiting) = mpsc::channel();
    let logs = logs::init_to("test", "info", Still(waiting));
    let began = Instant::now();
    for number in 0..LINES {
        tracing::info!(event = "flood", number);
    }
    assert!(began.elapsed() < PATIENCE, "took {:?}", began.elapsed());
    assert!(logs.dropped() > 0, "the lines beyond the bound are counted");
    assert!(logs.dropped() < LINES, "the first lines are kept");
    drop(gate);
}
