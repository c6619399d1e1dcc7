//! A replicated log as a state machine without sockets, files or clocks.
//!
//! The control state must outlive lost instances without an outside store, so
//! its members agree on one log by Raft. A [`Node`] is told of messages,
//! proposals and the passing of time, and hands out a [`Ready`]: what must be
//! on disk first, what may be sent after, and what is committed.
//!
//! - `types`: terms, log entries, membership and snapshots.
//! - `message`: what members say to each other.
//! - `log`: the log after the last snapshot.
//! - `node`: one member.
//!
//! ```
//! use std::time::Duration;
//! use egret_consensus::{Member, Membership, Node, Payload, Persisted, Timing};
//! use egret_record::MemberId;
//!
//! let own = MemberId(7);
//! let membership = Membership::from_voters([(own, Member::new("a", "127.0.0.1:1"))]);
//! let persisted = Persisted::bootstrap(membership);
//! let mut node = Node::new(own, persisted, Timing::default(), 1, Duration::ZERO);
//! node.tick(Duration::from_secs(2));
//! node.propose(Payload::Command(b"hello".to_vec()), Duration::from_secs(2))?;
//! let ready = node.ready();
//! assert_eq!(ready.committed.last().map(|entry| &entry.payload), Some(&Payload::Command(b"hello".to_vec())));
//! # Ok::<(), egret_consensus::ProposeError>(())
//! ```

mod election;
mod log;
mod message;
mod node;
mod replication;
mod types;

pub use log::Log;
pub use message::{Append, Body, Envelope};
pub use node::{Node, Persisted, ProposeError, Ready, Role, Timing};
pub use types::{
    ClusterId, HardState, Index, LogEntry, Member, Membership, Payload, Snapshot, Term,
};

/// Imports what a driver of a node needs.
pub mod prelude {
    pub use crate::{Envelope, Index, LogEntry, Membership, Node, Payload, Ready, Term};
}
