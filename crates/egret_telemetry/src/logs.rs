//! One line of key=value pairs for each event.

use std::{io, sync::Arc};

use flexi_logger::{
    DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record, writers::LogWriter,
};
use miette::Diagnostic;
use thiserror::Error;

use crate::LineQueue;

/// Logs that could not be started.
#[derive(Debug, Error, Diagnostic)]
#[error("logs cannot be started: {0}")]
#[diagnostic(help("give --log-level one of error, warn, info, debug, trace"))]
pub struct LogError(#[from] FlexiLoggerError);

/// Where logs go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output, through a bounded queue, for programs that serve.
    Stdout,
    /// Standard error, for programs whose output is their result.
    Stderr,
}

/// Running logs, which end when dropped.
#[expect(missing_debug_implementations, reason = "the library's handle has none")]
pub struct Logs {
    _handle: LoggerHandle,
    queue: Option<Arc<LineQueue>>,
}

impl Drop for Logs {
    fn drop(&mut self) {
        if let Some(queue) = &self.queue {
            queue.close();
        }
    }
}

/// Passes lines to a queue.
struct QueueWriter(Arc<LineQueue>);

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(160);
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        let line = String::from_utf8(line).map_err(io::Error::other)?;
        self.0.push(line, record.level() <= log::Level::Warn);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logs of a program.
///
/// # Errors
///
/// Returns a [`LogError`] when the level is not known.
pub fn start_logs(level: &str, output: LogOutput) -> Result<Logs, LogError> {
    let logger = Logger::try_with_str(level)?;
    match output {
        LogOutput::Stderr => {
            let handle = logger.format(write_line).log_to_stderr().start()?;
            Ok(Logs { _handle: handle, queue: None })
        }
        LogOutput::Stdout => {
            let queue = Arc::new(LineQueue::new(io::stdout()));
            let handle = logger.log_to_writer(Box::new(QueueWriter(queue.clone()))).start()?;
            Ok(Logs { _handle: handle, queue: Some(queue) })
        }
    }
}

fn write_line(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f");
    let level = record.level().as_str().to_ascii_lowercase();
    write!(out, "time={time} level={level} {}", record.args())
}
