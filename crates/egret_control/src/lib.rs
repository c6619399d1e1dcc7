//! The replicated control state and the control program.
//!
//! The control state holds the operators' records (the models and services to
//! run) and catalog, the sessions of entries and agents, and the claims of
//! requests that may run at most once. It is one deterministic [`State`],
//! replicated by `egret_consensus` and persisted by `egret_store`.
//!
//! - `state`: the state and its snapshot.
//! - `commands`: commands that change the state.
//! - `change_index`: which subjects of the view changed at which revision.
//! - `queries`: reads of the state.
//! - `claims`: requests that may run at most once.
//! - `recorded_status`: departures that must outlive the instance that acknowledged them.
//! - `rollout`: assignment of models to backend servers.
//! - `leases`: leases of entries and agents, known only to the leader.
//! - `membership_policy`: automatic membership changes.
//! - `bootstrap`: forming a cluster, and joining an existing one.
//! - `driver`: the control loop, which connects Raft node, disk and state.
//! - `fleet_exchange`: status updates from the other control instances.
//! - `permits`: permits for limited backend servers, known only to the leader.
//! - `quarantine`: parts of prompts that crash backend servers, judged by the leader.
//! - `peers`: connections for Raft messages to the other members.
//! - `server`: the RPC interface to other processes.
//! - `local_control`: access to the control state from within the process.
//! - `program`: the program `egret-control`.

mod bootstrap;
mod change_index;
mod claims;
mod commands;
mod driver;
mod fleet_exchange;
mod leases;
mod local_control;
mod membership_policy;
mod peers;
mod permits;
mod program;
mod quarantine;
mod queries;
mod recorded_status;
mod rollout;
mod server;
mod state;

pub use claims::Claims;
pub use leases::Leases;
pub use local_control::{LocalControl, RequestError};
pub use membership_policy::MembershipPolicy;
pub use program::{ProgramError, run, run_with};
pub use state::State;
