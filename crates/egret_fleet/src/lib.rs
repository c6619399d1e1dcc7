//! Which backend servers and processes are there, by their own word.
//!
//! Backend servers announce themselves to any control instance, late, out of
//! order and from former lifetimes. What they say is soft state: it is passed
//! on between processes without agreement, and the latest word of the latest
//! lifetime wins wherever it arrives.
//!
//! - `status`: what backend servers and processes say of themselves.
//! - `fleet`: the latest word of each, with its age.
//! - `feed`: news for processes that follow a fleet.
//!
//! ```
//! use std::time::Duration;
//! use egret_fleet::{Fleet, StatusStamp, UpdateKind, ProcessKind, ProcessStatus, StatusUpdate};
//! use egret_record::DataCentre;
//!
//! let mut fleet = Fleet::default();
//! let entry = ProcessStatus {
//!     name: "entry-1".to_owned(),
//!     kind: ProcessKind::Entry,
//!     address: "10.0.0.1:80".parse().unwrap(),
//!     data_centre: DataCentre::new("xela")?,
//!     service: None,
//!     engine: None,
//!     loaded: None,
//!     switching: false,
//!     congested: false,
//!     leaving: false,
//!     stamp: StatusStamp { incarnation: 1, seq: 1 },
//! };
//! assert_eq!(fleet.observe(&StatusUpdate::Process(entry), Duration::ZERO), UpdateKind::Change);
//! assert_eq!(fleet.entries().count(), 1);
//! # Ok::<(), egret_record::NameError>(())
//! ```

mod feed;
mod fleet;
mod status;

pub use feed::{Feed, FeedCursor, FeedDelta, Interest};
pub use fleet::{Fleet, KnownStatus, UpdateKind};
pub use status::{
    BackendStatus, EngineStatus, FAST_START_DELAY_MAX, LoadedModel, ProcessKind, ProcessStatus,
    START_DELAY_MAX, StatusKey, StatusStamp, StatusUpdate, version_of,
};
