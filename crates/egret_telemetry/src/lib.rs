//! Logs and metrics of the programs.
//!
//! - `listen`: taking an address to listen on.
//! - `thread`: threads with a runtime of their own.
//! - `line_queue`: lines on their way to an output that may block.
//! - `logs`: one line of key=value pairs for each event.
//! - `metrics_server`: metrics as Prometheus text over HTTP.
//! - `program`: the frame that all programs share.

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
