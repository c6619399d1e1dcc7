//! Synced files of a control member, all in one data folder.
//!
//! What a member has promised must survive it, and a disk may tear the last
//! write or damage an old one. Each append is one checksummed frame, synced
//! before the call returns; a torn last frame is cut, a damaged earlier one is
//! refused, since cutting it would forget promises.
//!
//! - `folder`: the data folder, its lock and the identity bound to it.
//! - `frame`: checksummed frames.
//! - `journal`: snapshot and log of a member.

mod folder;
mod frame;
mod journal;

pub use folder::{DataFolder, StoreError};
pub use journal::Journal;
