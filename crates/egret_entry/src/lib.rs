//! HTTP server for callers and operators.
//!
//! Each entry is an instance of this server. It routes callers' requests to
//! backend servers, retries requests that did not run, claims requests that may
//! run at most once, and lists the addresses of all entries. Operators read and
//! change the control state through it.
//!
//! - `caller_api`: the HTTP interface for callers.
//! - `admin_api`: the HTTP interface for operators.
//! - `call`: a caller's request with its record and retry policy.
//! - `dispatch`: choice of a backend server, retries, and draining.
//! - `claim`: requests that may run at most once.
//! - `forward`: one attempt at one backend server.
//! - `burn`: counts of good and bad requests by organisation and record, for burn rates.

mod admin_api;
mod burn;
mod call;
mod caller_api;
mod claim;
mod dispatch;
mod forward;
mod program;

pub use burn::{BurnReport, BurnRow};
pub use program::{ProgramError, run};
