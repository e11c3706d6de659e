//! Record of what was sent, answered and run, written to `record.txt` of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Record that all stand-ins of a case share.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the time since the case began.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line with the time in seconds.
    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        if let Err(e) = writeln!(file, "{at:9.4} {}", line.as_ref()) {
            eprintln!("record: {e}");
        }
    }
}
