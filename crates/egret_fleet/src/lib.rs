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
//! use egret_fleet::{Fleet, Life, News, ProcessKind, ProcessStatus, Sighting};
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
//!     narrow: false,
//!     leaving: false,
//!     life: Life { born: 1, seq: 1 },
//! };
//! assert_eq!(fleet.observe(&Sighting::Process(entry), Duration::ZERO), News::Change);
//! assert_eq!(fleet.entries().count(), 1);
//! # Ok::<(), egret_record::NameError>(())
//! ```

mod feed;
mod fleet;
mod status;

pub use feed::{Feed, FeedCursor, FeedDelta, Interest};
pub use fleet::{Fleet, Known, News};
pub use status::{
    BEGIN_TIME, BackendStatus, EngineWord, Life, LoadedModel, ProcessKind, ProcessStatus,
    QUICK_BEGIN_TIME, Sighting, SightingKey, version_of,
};
