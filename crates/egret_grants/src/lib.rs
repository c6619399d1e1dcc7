//! Concurrency leases by which all entries together keep to an engine's slots.
//!
//! Entries do not see each other's requests at an engine, and an engine queues in
//! order of arrival what exceeds its batch. So the agent beside the engine divides
//! its slots among the entries: an entry has at most as many requests in flight
//! there as it was granted. Entries report their demand in datagrams, and each
//! reply is a lease on a number of slots; there is no message per request.
//!
//! Neither side does I/O or reads a clock.
//!
//! - `message`: demands of entries, and the agent's replies.
//! - `allocator`: the agent's side, which divides the slots of one engine.
//! - `shares`: how many slots each entry should have.
//! - `grants`: an entry's side, the leases that it holds at all engines.
//! - `quota`: static shares, which need no messages.
//!
//! ```
//! use std::time::Duration;
//! use egret_grants::{Allocator, Allowance, Grants, Usage};
//!
//! let mut agent = Allocator::new(12);
//! let mut entry = Grants::new("entry-1", 1);
//! let now = Duration::from_secs(10);
//! let usage = Usage { near: true, in_flight: 0, waiting: [2, 0, 0, 0] };
//! entry.update("engine-1", 1, usage, now);
//! for (engine, demand) in entry.demands_due(now) {
//!     let grant = agent.apply(&demand, now);
//!     entry.apply(&engine, 1, &grant, now);
//! }
//! let Allowance::Granted(slots) = entry.allowed("engine-1", 1, now) else { panic!() };
//! assert!((2..12).contains(&slots), "both requests may be sent");
//!
//! let _lost = entry.demands_due(now + Duration::from_millis(100));
//! let later = now + Duration::from_secs(1);
//! assert_eq!(entry.allowed("engine-1", 1, later), Allowance::Expired(slots));
//! let later = now + Duration::from_secs(3);
//! assert_eq!(entry.allowed("engine-1", 1, later), Allowance::Unknown);
//! ```

mod allocator;
mod grants;
mod message;
mod quota;
mod shares;

pub use allocator::Allocator;
pub use grants::{Allowance, Grants, Usage};
pub use message::{Demand, Grant, RANKS};
pub use quota::{quota, quota_position};
