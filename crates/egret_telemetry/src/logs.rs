//! Log lines of key=value pairs, one per event.

use std::{io, sync::Arc};

use flexi_logger::{
    DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record, writers::LogWriter,
};
use miette::Diagnostic;
use thiserror::Error;

use crate::LineQueue;

/// Error for a logger that could not be started.
#[derive(Debug, Error, Diagnostic)]
#[error("the logger cannot be started: {0}")]
#[diagnostic(help("give --log-level one of error, warn, info, debug, trace"))]
pub struct LogError(#[from] FlexiLoggerError);

/// Destination of the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output through a [`LineQueue`], for servers.
    Stdout,
    /// Standard error, for programs that print their result to standard output.
    Stderr,
}

/// Guard of the running logger; writes the queued lines when dropped.
#[expect(
    missing_debug_implementations,
    reason = "the handle of flexi_logger does not implement Debug"
)]
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

/// Log writer that pushes lines to a queue.
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

/// Starts the logger of a program.
///
/// # Errors
///
/// Returns a [`LogError`] when the level is not valid.
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
