//! Durable storage of a control member in one data folder.
//!
//! Votes and log entries that a member has acknowledged must survive a crash,
//! and a disk may tear the last write or damage an old one. Each append is one
//! checksummed frame, synced before the call returns. On opening, a torn last
//! frame is truncated; a damaged earlier frame is an error, since truncating it
//! would lose acknowledged data.
//!
//! - `folder`: the data folder, its lock and the member's identity.
//! - `frame`: checksummed frames.
//! - `journal`: snapshot and log of a member.

mod folder;
mod frame;
mod journal;

pub use folder::{DataFolder, StoreError};
pub use journal::Journal;
