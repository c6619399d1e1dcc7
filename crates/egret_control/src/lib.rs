//! The replicated control state and the program that keeps it.
//!
//! Operators write records; entries and agents hold sessions; requests that
//! may run at most once are claimed. All of that is one deterministic
//! [`State`], replicated by `egret_consensus` and kept by `egret_store`.
//!
//! - `state`: the state and its snapshot.
//! - `commands`: what changes it.
//! - `queries`: what reads it.
//! - `claims`: requests that may run at most once.
//! - `rollout`: which backend server shall run what.
//! - `leases`: leases of entries and agents, known to the leader alone.
//! - `membership_policy`: whom a leader adds and removes by itself.
//! - `bootstrap`: the first membership, and joining an existing one.
//! - `driver`: the loop around node, disk and state.
//! - `fleet_exchange`: what the other control instances heard of the fleet.
//! - `server`: the interface to other processes.
//! - `local_control`: the interface to this process's own outer interfaces.

mod bootstrap;
mod claims;
mod commands;
mod driver;
mod fleet_exchange;
mod leases;
mod local_control;
mod membership_policy;
mod peers;
mod program;
mod queries;
mod rollout;
mod server;
mod state;

pub use claims::Claims;
pub use leases::Leases;
pub use local_control::{LocalControl, RequestError};
pub use membership_policy::MembershipPolicy;
pub use program::{ProgramError, run, run_with};
pub use state::State;
