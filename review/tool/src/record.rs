//! The record of a run, with the time of each line.

use std::{
    fmt::Display,
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A record that several threads write.
#[derive(Clone)]
pub(crate) struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub(crate) fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Returns the time since the start of the run.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn line(&self, text: impl Display) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A full disk must not end the run before its processes are ended.
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line that also goes to standard output.
    pub(crate) fn announce(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }
}
