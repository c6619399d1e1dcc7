//! The protocol between the system's own processes.
//!
//! The processes speak Cap'n Proto RPC; this crate keeps its generated types at
//! the border. It converts them to the types that decisions are made on, keeps
//! connections, follows the leader, and holds the session of an entry or agent.
//!
//! - `request`: what the control state is asked, and what it replies.
//! - `convert`: conversions of messages between processes.
//! - `connection`: connections and listeners.
//! - `client`: requests to whichever control instance leads.
//! - `follower`: follows the view and the fleet at whichever control instance is well.
//! - `session`: the session of an entry or agent, with its lease and view.

mod client;
mod connection;
mod convert;
mod follower;
mod request;
mod session;

pub use client::{CallError, ControlClient, ControlHandle, ControlQueue};
pub use connection::{Connection, Connections, listen};
pub use convert::{read_envelope, read_member, read_version_digest, write_envelope, write_member};
pub use egret_schema::egret_capnp as schema;
pub use follower::{
    Follower, FollowerSettings, LONG_POLL_TIMEOUT, NO_LEADER_POLL_TIMEOUT, REPLY_GRACE,
    SharedFleet, UpdateCounts, watch_once,
};
pub use request::{
    CallerRequest, ClaimKey, ClaimOutcome, ClaimState, Command, Compressed, DecodeError, Holder,
    LeaveReason, MemberStatus, Operation, Query, Reply, Request, StatusReply, StoredAnswer,
    UnixMillis, VersionAnnouncement, Watch, WatchReply, decode, encode,
};
pub use session::{Lease, Session, SharedView};
