//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A file with one line for each event, with the seconds since the start.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub(crate) fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no panic while it is held");
        // A record that cannot be written shows in its missing lines.
        let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }
}
