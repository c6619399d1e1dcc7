//! Serves callers and operators on every entry instance.
//!
//! An entry tells callers which addresses to use, routes their requests to
//! backend servers, tries again what did not run, and claims what may run at
//! most once. Operators reach the control state through it.
//!
//! - `caller_api`: the HTTP interface for callers.
//! - `admin_api`: the HTTP interface for operators.
//! - `call`: what a caller's request asks for.
//! - `dispatch`: from a request to its answer.
//! - `claim`: requests that may run at most once.
//! - `forward`: one try at one backend server.
//! - `burn`: service by organisation and kind.

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
