//! What was sent, answered and run, with the time since the start.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The record of one run of a case, shared by its threads.
#[derive(Clone)]
pub(crate) struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub(crate) fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn write(&self, line: impl Display) {
        let seconds = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{seconds:8.3} {line}");
        }
    }
}
