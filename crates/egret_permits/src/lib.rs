//! Request rate limits of backend servers, kept by all entries together.
//!
//! A backend server may name in its responses how many requests per second it
//! accepts from all entries together. No entry knows what the others send, so the
//! leader of the control instances issues permits, each for one request, and
//! entries send a limited backend server nothing without one. Permits expire, so
//! nothing has to be taken back from an entry that stops or is cut off.
//!
//! Neither side does I/O or reads a clock.
//!
//! - `limit`: the limit that responses of one backend server name.
//! - `message`: what entries ask of the leader, and its replies.
//! - `allocator`: the leader's side, a token bucket for each backend server.
//! - `permits`: an entry's side, the permits that it holds and needs.
//!
//! ```
//! use std::time::Duration;
//! use egret_permits::{Allocator, LimitNotice, Permits};
//! use egret_record::RateLimit;
//!
//! let mut leader = Allocator::default();
//! let mut entry = Permits::default();
//! let mut now = Duration::from_secs(10);
//! let limit = LimitNotice::Limited(RateLimit::new(2.0).unwrap());
//! entry.observe("i-1", 1, limit, now, now);
//! for _ in 0..2 {
//!     assert!(entry.acquire("i-1", 1, true, now).is_err(), "there is no permit yet");
//!     let request = entry.request(now).unwrap();
//!     let grants: Vec<_> = request.iter().map(|want| leader.acquire(want, now).0).collect();
//!     entry.apply(1, &grants, now, now, Duration::ZERO);
//!     now += Duration::from_millis(500);
//! }
//! assert!(entry.acquire("i-1", 1, true, now).is_ok(), "half a second is worth one request");
//! ```

mod allocator;
mod limit;
mod message;
mod permits;

pub use allocator::Allocator;
pub use limit::{KnownLimit, LimitChange, LimitNotice};
pub use message::{PermitGrant, PermitWant};
pub use permits::{Permit, Permits};
