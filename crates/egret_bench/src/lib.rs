//! Load tests and fault experiments on whole deployments; never deployed itself.
//!
//! - `deployment`: the programs as local processes.
//! - `caller`: HTTP clients that verify every response.
//! - `network`: links between instances that can be delayed and cut.
//! - `history`: consistency checks of what operators and lease holders saw.
//! - `control`: operators and lease holders under faults of the control instances.
//! - `control_bench`: failover, restart and message counts of the control instances.
//! - `scale`: how costs grow with size.
//! - `weights_bench`: distribution of weights to many agents at once.
//! - `claims_bench`: calls that run at most once, while processes are killed.
//! - `cuts`: availability while links are cut.
//! - `traffic_bench`: processor time and latency of requests and tokens.
//! - `demo`: one end-to-end run, with a data centre taken out and put back in.

pub mod caller;
mod child;
pub mod claims_bench;
pub mod control;
pub mod control_bench;
pub mod cuts;
pub mod demo;
pub mod deployment;
pub mod history;
mod http_request;
pub mod network;
mod process;

pub mod scale;
pub mod traffic_bench;
pub mod weights_bench;

pub use http_request::{FullResponse, send_request};
