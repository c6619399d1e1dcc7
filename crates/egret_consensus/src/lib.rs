//! Raft consensus as a state machine without sockets, files or clocks.
//!
//! The control state must survive the loss of instances without an external
//! store, so its members replicate one log with Raft. The caller passes
//! messages, proposals and the current time to a [`Node`], which returns a
//! [`Ready`]: what to write to disk first, which messages to send after that,
//! and which entries are committed.
//!
//! - `types`: terms, log entries, membership and snapshots.
//! - `message`: the messages between members.
//! - `log`: the log after the last snapshot.
//! - `node`: one member of the cluster.
//! - `election`: pre-votes, votes and becoming leader.
//! - `replication`: log replication and the commit index.
//! - `quorum`: which acknowledgements and votes suffice.
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
//! node.propose(Payload::Command(b"hello".as_slice().into()), Duration::from_secs(2))?;
//! let ready = node.ready();
//! assert_eq!(ready.committed.last().map(|entry| &entry.payload), Some(&Payload::Command(b"hello".as_slice().into())));
//! # Ok::<(), egret_consensus::ProposeError>(())
//! ```

mod election;
mod log;
mod message;
mod node;
mod quorum;
mod replication;
mod types;

pub use log::Log;
pub use message::{Append, Body, Envelope};
pub use node::{Node, Persisted, ProposeError, Ready, Role, Timing};
pub use types::{
    ClusterId, HardState, Index, LogEntry, Member, Membership, Payload, Snapshot, Term,
};

/// The types that a loop around a [`Node`] uses.
pub mod prelude {
    pub use crate::{Envelope, Index, LogEntry, Membership, Node, Payload, Ready, Term};
}
