//! Latest known status of backend servers and processes, as they report it.
//!
//! Backend servers report to any control instance. Reports may arrive late,
//! out of order or from earlier incarnations. They are soft state: processes
//! forward them to each other without consensus, and the latest report of the
//! latest incarnation wins wherever it arrives.
//!
//! - `status`: the status that backend servers and processes report, and limits by the leader.
//! - `fleet`: the latest status of each, with its age.
//! - `feed`: a log of recent status updates for followers.
//! - `unconfirmed`: members that a source of updates has forgotten.
//!
//! ```
//! use std::time::Duration;
//! use egret_fleet::{Fleet, ProcessKind, ProcessStatus, StatusStamp, StatusUpdate, UpdateKind};
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
mod unconfirmed;

pub use feed::{Feed, FeedCursor, FeedDelta, Interest};
pub use fleet::{BACKEND_TIMEOUT, Fleet, KnownStatus, UpdateKind};
pub use status::{
    BackendLimit, BackendStatus, EngineStatus, FAST_START_DELAY_MAX, LoadedModel, ProcessKind,
    ProcessStatus, ProvenWeights, START_DELAY_MAX, StatusKey, StatusStamp, StatusUpdate,
    SuspectedParts, version_of,
};
pub use unconfirmed::Unconfirmed;
