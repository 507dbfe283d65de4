//! Record of what was sent, answered and run, with the time since the start of the case.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record file. Clones write to the same one.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Writes a line.
    pub fn note(&self, text: impl Display) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics while it holds the lock");
        // Without a line in the record the verdict stays the same.
        let _ = writeln!(file, "{seconds:9.3} s  {text}");
    }
}
