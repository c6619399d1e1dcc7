//! Logs and metrics of the programs.
//!
//! - [`logs`]: one line of key=value pairs for each event.
//! - [`metrics_server`]: metrics as Prometheus text over HTTP.
//! - [`program`]: the frame that all programs share.

mod logs;
mod metrics_server;
pub mod program;

pub use logs::{LogError, Logs, start_logs};
pub use metrics_server::{MetricsError, serve_metrics};
