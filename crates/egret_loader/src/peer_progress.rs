//! How many pieces of a version other agents have.
//!
//! Each answer carries its sender's piece count. An agent on a degraded link falls
//! behind long before its requests fail, so fetches skip it in favour of agents that
//! are further ahead.

use std::{net::SocketAddr, time::Duration};

use egret_record::FastMap;
use tokio::time::Instant;

/// Time after which an agent that was behind is asked again, as it may have caught up.
const PROBE_DELAY: Duration = Duration::from_secs(1);
/// Pieces that this agent needs before it compares others with itself.
const OWN_MIN: usize = 12;
/// An agent is behind if it has less than one in this many of this agent's pieces.
const BEHIND_DIVISOR: usize = 3;

/// The last known progress of other agents.
///
/// ```
/// use egret_loader::PeerProgress;
/// use tokio::time::Instant;
///
/// let address = "127.0.0.1:7340".parse().unwrap();
/// let now = Instant::now();
/// let mut peer_progress = PeerProgress::default();
/// peer_progress.record(address, 5, now);
/// assert!(peer_progress.is_behind(address, 30, now));
/// assert!(!peer_progress.is_behind(address, 10, now));
/// ```
#[derive(Debug, Default)]
pub struct PeerProgress(FastMap<SocketAddr, (usize, Instant)>);

impl PeerProgress {
    /// Records that an agent has `pieces` at `now`.
    pub fn record(&mut self, address: SocketAddr, pieces: usize, now: Instant) {
        self.0.insert(address, (pieces, now));
    }

    /// Records that an agent is asked at `now`.
    ///
    /// This renews its entry, so that one request at a time probes whether it has caught up.
    pub fn mark_asked(&mut self, address: SocketAddr, now: Instant) {
        if let Some((_, seen)) = self.0.get_mut(&address) {
            *seen = now;
        }
    }

    /// Returns whether an agent has far fewer pieces than this one, which has `own`.
    #[must_use]
    pub fn is_behind(&self, address: SocketAddr, own: usize, now: Instant) -> bool {
        own >= OWN_MIN
            && self.0.get(&address).is_some_and(|(pieces, seen)| {
                now < *seen + PROBE_DELAY && pieces * BEHIND_DIVISOR < own
            })
    }

    /// Removes all entries, for the fetch of another version.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
