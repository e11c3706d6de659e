//! Record of what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writer of `record.txt`; lines are shown on standard output too.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
    quiet: bool,
}

impl Record {
    /// Creates the file, replacing an earlier one.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
            quiet: std::env::var_os("QUIET").is_some(),
        })
    }

    /// Writes one line.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:8.3}  {}\n",
            self.start.elapsed().as_secs_f64(),
            text.as_ref()
        );
        let mut file = self.file.lock().unwrap();
        if let Err(e) = file.write_all(line.as_bytes()) {
            eprintln!("record.txt cannot be written: {e}");
        }
        if !self.quiet {
            print!("{line}");
        }
    }
}
