//! Load and experiments over the stand-ins; never deployed.
//!
//! - `deployment`: the programs as processes of this machine.
//! - `caller`: callers that check every answer.
//! - `network`: links between instances that can be delayed and cut.
//! - `history`: what operators and holders saw, and whether it may be.
//! - `control`: the control state under failure.
//! - `control_bench`: the measures of the control state.
//! - `scale`: slopes of cost against size.
//! - `weights_bench`: weights in a burst.
//! - `claims_bench`: calls that run at most once.
//! - `cuts`: the service that is lost while links are cut.
//! - `traffic_bench`: what requests and tokens cost.
//! - `demo`: the whole path once, with a data centre out and back.

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
