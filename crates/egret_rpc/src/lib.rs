//! Cap'n Proto RPC between entries, agents and control instances.
//!
//! Entries receive the callers' requests, agents run next to the backend servers,
//! and control instances replicate the state that both follow. This crate hides
//! the generated Cap'n Proto types: it converts them to the types that the rest
//! of the system works with. It also pools connections, finds the leader of the
//! control instances, and maintains the session of an entry or agent.
//!
//! - `request`: requests to the control state and their replies.
//! - `convert`: conversions between Cap'n Proto messages and Rust types.
//! - `connection`: connections, by address, and the listening side.
//! - `client`: requests to the leader, with retries on other control instances.
//! - `follower`: a read-only copy of the view and the fleet, from any healthy control instance.
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
    ANNOUNCEMENTS_KEPT, CallerRequest, ClaimKey, ClaimOutcome, ClaimState, Command, Compressed,
    DecodeError, Holder, LeaveReason, MemberStatus, Operation, Query, Reply, Request, StatusReply,
    StoredAnswer, UnixMillis, VersionAnnouncement, Watch, WatchReply, decode, encode, encode_after,
};
pub use session::{Lease, Session, SharedView};
