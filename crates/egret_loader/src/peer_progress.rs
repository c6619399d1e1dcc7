//! How far other agents are with a version.
//!
//! Each answer tells how many pieces its sender has. An agent whose link is squeezed
//! says so long before it fails, and is passed over for those that are further.

use std::{net::SocketAddr, time::Duration};

use egret_record::FastMap;
use tokio::time::Instant;

/// Time after which an agent that was behind is asked again; it may have caught up.
const FRESH_TIME: Duration = Duration::from_secs(1);
/// Pieces that this agent has before it compares others with itself.
const OWN_MIN: usize = 12;
/// An agent with less than this part of this agent's pieces is behind, as one over them.
const BEHIND: usize = 3;

/// What other agents said of their progress.
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
    /// Notes that an agent has `pieces` at `now`.
    pub fn record(&mut self, address: SocketAddr, pieces: usize, now: Instant) {
        self.0.insert(address, (pieces, now));
    }

    /// Notes that an agent is asked at `now`, so that one question at a time finds out whether
    /// it has caught up.
    pub fn mark_asked(&mut self, address: SocketAddr, now: Instant) {
        if let Some((_, heard)) = self.0.get_mut(&address) {
            *heard = now;
        }
    }

    /// Tells whether an agent has far fewer pieces than this one, which has `own`.
    #[must_use]
    pub fn is_behind(&self, address: SocketAddr, own: usize, now: Instant) -> bool {
        own >= OWN_MIN
            && self
                .0
                .get(&address)
                .is_some_and(|(pieces, heard)| now < *heard + FRESH_TIME && pieces * BEHIND < own)
    }

    /// Forgets everything, since another version is fetched.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
