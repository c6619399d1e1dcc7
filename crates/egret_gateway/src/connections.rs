//! Which connections of clients to close, and when.

use std::{
    sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Between requests: nothing of the next head has arrived.
    Idle,
    /// A head arrives.
    Head,
    /// A body arrives.
    Body,
    /// A response is not read by the client, and there is no memory to read it on, so that it holds
    /// its backend server.
    Stalled,
    /// A response is not read by the client.
    Unread,
    /// A request is served.
    Serving,
}

impl Phase {
    const ALL: [Self; 6] =
        [Self::Idle, Self::Head, Self::Body, Self::Stalled, Self::Unread, Self::Serving];
}

/// Limits on a connection of a client.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// Longest time between requests.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Returns whether a connection that has been in `phase` since `since` must be closed.
    #[must_use]
    pub fn is_expired(&self, phase: Phase, since: Duration, now: Duration) -> bool {
        let limit = match phase {
            Phase::Idle | Phase::Stalled => self.idle_timeout,
            Phase::Head => self.header_timeout,
            // Requests have deadlines of their own.
            Phase::Body | Phase::Unread | Phase::Serving => return false,
        };
        now.saturating_sub(since) > limit
    }
}

/// Time after which a client that does not read may be dispensed with; longer than a round trip.
const UNREAD_DELAY: Duration = Duration::from_secs(1);

/// Returns the connection to close when descriptors run short.
///
/// Idle connections go first, then unfinished heads, unfinished bodies and unread responses; among
/// them the one that has been so for the longest time. Other requests that are served are not
/// interrupted.
#[must_use]
pub fn dispensable<K>(
    connections: impl Iterator<Item = (K, Phase, Duration)>,
    now: Duration,
) -> Option<K> {
    let candidates = connections.filter(|(_, phase, since)| match phase {
        Phase::Idle | Phase::Head | Phase::Body => true,
        Phase::Stalled | Phase::Unread => now.saturating_sub(*since) >= UNREAD_DELAY,
        Phase::Serving => false,
    });
    candidates.min_by_key(|(_, phase, since)| (*phase, *since)).map(|(key, ..)| key)
}

const NOT_BLOCKED: u64 = u64::MAX;

/// The state of one connection, shared with the handlers of its requests.
///
/// Handlers find it among the extensions of a request.
#[derive(Debug)]
pub struct ConnectionState {
    phase: AtomicU8,
    since_ms: AtomicU64,
    /// When writing first found no room; [`NOT_BLOCKED`] if there is room.
    blocked_ms: AtomicU64,
    /// Whether there is no memory to read the response on.
    is_stalled: AtomicBool,
    /// Whether bytes have arrived since the request that is served.
    has_next: AtomicBool,
    epoch: Instant,
    /// Triggered when the connection must be closed.
    pub(crate) close: Notify,
}

impl ConnectionState {
    /// Creates the state of a connection that has just opened; times count from `epoch`.
    #[must_use]
    pub fn new(epoch: Instant) -> Self {
        let state = Self {
            phase: AtomicU8::new(0),
            since_ms: AtomicU64::new(0),
            blocked_ms: AtomicU64::new(NOT_BLOCKED),
            is_stalled: AtomicBool::new(false),
            has_next: AtomicBool::new(false),
            epoch,
            close: Notify::new(),
        };
        state.set(Phase::Idle);
        state
    }

    /// Returns what the connection is at, and since when.
    pub fn phase(&self) -> (Phase, Duration) {
        let phase = Phase::ALL[usize::from(self.phase.load(Ordering::Relaxed))];
        let blocked = self.blocked_ms.load(Ordering::Relaxed);
        if phase == Phase::Serving && blocked != NOT_BLOCKED {
            let is_stalled = self.is_stalled.load(Ordering::Relaxed);
            let phase = if is_stalled { Phase::Stalled } else { Phase::Unread };
            return (phase, Duration::from_millis(blocked));
        }
        (phase, Duration::from_millis(self.since_ms.load(Ordering::Relaxed)))
    }

    /// Returns whether the client leaves bytes of a response unread.
    pub fn is_blocked(&self) -> bool {
        self.blocked_ms.load(Ordering::Relaxed) != NOT_BLOCKED
    }

    /// Records whether there is no memory to read on a response that the client does not read.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.is_stalled.store(is_stalled, Ordering::Relaxed);
    }

    /// Records the start of a phase.
    pub fn set(&self, phase: Phase) {
        self.since_ms.store(self.now_ms(), Ordering::Relaxed);
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.has_next.store(false, Ordering::Relaxed);
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records that bytes arrived.
    pub fn record_read(&self) {
        match self.phase().0 {
            Phase::Idle => self.set(Phase::Head),
            Phase::Serving | Phase::Stalled | Phase::Unread => {
                self.has_next.store(true, Ordering::Relaxed);
            }
            Phase::Head | Phase::Body => {}
        }
    }

    /// Records an attempt to write a response, and whether there was room.
    pub fn record_write(&self, has_room: bool) {
        if !has_room {
            if !self.is_blocked() {
                self.blocked_ms.store(self.now_ms(), Ordering::Relaxed);
            }
            return;
        }
        self.blocked_ms.store(NOT_BLOCKED, Ordering::Relaxed);
        // The end of a response may still be written when the next request is awaited.
        if self.phase().0 == Phase::Idle {
            self.set(Phase::Idle);
        }
    }

    /// Records that a response is complete.
    pub fn record_response(&self) {
        // The next request may have come before.
        let next = self.has_next.load(Ordering::Relaxed);
        self.set(if next { Phase::Head } else { Phase::Idle });
    }
}
