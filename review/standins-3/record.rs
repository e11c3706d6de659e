//! Record of a play: what was sent, answered and run, each with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Record file; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            file: Arc::new(Mutex::new(File::create(path).expect("a record file"))),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let mut file = self.file.lock().expect("not poisoned");
        writeln!(file, "{at:>7} ms  {text}").expect("the record is writable");
    }
}
