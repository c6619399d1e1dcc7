//! Finds requests and parts of prompts that crash backend servers, so that they are refused.
//!
//! A backend server may crash whenever it begins to write an answer on a prompt
//! with some part, whatever else the request holds. All requests that are in
//! flight there break with it, most of them sound, and backend servers crash for
//! other reasons as well. So a single crash shows little. A part is blocked when
//! it was in flight at several crashes, at different times, and no entry has seen
//! an answer on it meanwhile that did not end in a crash. A request that callers
//! send repeatedly is one more part of itself, so its copies are found alike.
//!
//! Requests with one part arrive at any entry. Each entry tells the leader of the
//! control instances what broke there; the leader announces the suspected parts,
//! and entries tell it which of them they have seen answered. Blocks are part of
//! the replicated state, so they outlive the leader and every process.
//!
//! Neither side does I/O or reads a clock.
//!
//! - `clears`: when parts were last seen answered, in bounded memory.
//! - `report`: what entries tell the leader.
//! - `witness`: an entry's side, the crashes and answers that it has seen.
//! - `detector`: the leader's side, which decides.
//!
//! ```
//! use std::time::Duration;
//! use egret_quarantine::{Decision, Detector, Witness};
//! use egret_record::{BlockedPart, PartId, Revision};
//! use imbl::OrdMap;
//!
//! let (bad, sound) = (PartId(0xbad), PartId(0x5));
//! let (mut leader, mut entry) = (Detector::default(), Witness::default());
//! let mut now = Duration::from_secs(10);
//! let mut blocked = OrdMap::new();
//! for server in ["i-1", "i-2", "i-3"] {
//!     entry.record_break(server, 1, &[bad, sound], now);
//!     entry.record_end(server, 1, now);
//!     entry.record_answer(&[sound], now + Duration::from_millis(500));
//!     for _ in 0..20 {
//!         now += Duration::from_millis(100);
//!         if let Some(report) = entry.report(now) {
//!             leader.observe(&report, now);
//!             entry.apply(1, now);
//!         }
//!         for decision in leader.decide(&blocked, now) {
//!             match decision {
//!                 Decision::Announce(suspects) => entry.watch(&suspects, 1),
//!                 Decision::Block { part, doubtful, .. } => {
//!                     let since = Revision(1);
//!                     let block = BlockedPart { since, trials: 0, doubtful, trial_open: false };
//!                     blocked.insert(part, block);
//!                 }
//!                 _ => {}
//!             }
//!         }
//!     }
//! }
//! assert_eq!(blocked.keys().collect::<Vec<_>>(), [&bad]);
//! ```

mod clears;
mod detector;
mod report;
mod witness;

pub use detector::{Decision, Detector};
pub use report::{AnswerReport, CrashReport, PartsReport};
pub use witness::{SURVIVAL_TIME, Witness};
