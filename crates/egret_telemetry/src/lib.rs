//! Logs, metrics and the startup code shared by the programs.
//!
//! - `listen`: binding of listen addresses.
//! - `thread`: threads with their own Tokio runtime.
//! - `line_queue`: a bounded, rate-limited queue of log lines for an output that may block.
//! - `logs`: log lines of key=value pairs, one per event.
//! - `metrics_server`: metrics as Prometheus text over HTTP.
//! - `program`: command line, settings, logs and shutdown signals of a program.

mod line_queue;
mod listen;
mod logs;
mod metrics_server;
pub mod program;
mod thread;

pub use line_queue::LineQueue;
pub use listen::{ListenError, bind};
pub use logs::{LogError, LogOutput, Logs, start_logs};
pub use metrics_server::{MetricsError, serve_metrics};
pub use thread::spawn_local_thread;
