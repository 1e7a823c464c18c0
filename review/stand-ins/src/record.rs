//! What was sent, answered and run, with its time.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of one run of a script; clones are the same.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began: Instant::now(),
        })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes one line with the time.
    pub fn say(&self, text: impl AsRef<str>) {
        let now = self.now().as_secs_f64();
        let line = format!("{now:9.3} s  {}\n", text.as_ref());
        // A record that can't be written is seen by its reader.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
