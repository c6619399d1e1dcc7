//! One line of key=value pairs for each event.

use std::io;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, Record};
use miette::Diagnostic;
use thiserror::Error;

/// Logs that could not be started.
#[derive(Debug, Error, Diagnostic)]
#[error("logs cannot be started: {0}")]
#[diagnostic(help("give --log-level one of error, warn, info, debug, trace"))]
pub struct LogError(#[from] FlexiLoggerError);

/// Running logs, which end when dropped.
#[expect(missing_debug_implementations, reason = "the library's handle has none")]
pub struct Logs {
    _handle: LoggerHandle,
}

/// Starts logs of a program on standard error.
///
/// # Errors
///
/// Returns a [`LogError`] when the level is not known.
pub fn start_logs(level: &str) -> Result<Logs, LogError> {
    let handle = Logger::try_with_str(level)?.format(write_line).log_to_stderr().start()?;
    Ok(Logs { _handle: handle })
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
