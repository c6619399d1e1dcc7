//! Leases of entries and agents, known only to the leader.

use std::{collections::BTreeMap, time::Duration};

use egret_record::{Revision, SessionId};

/// Time beyond the lease that a session holder gets to find a new leader.
///
/// It covers one call to a frozen leader and one to an instance that does not know the new one.
const FIND_LEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// The lease of one session.
#[derive(Debug, Clone, Copy)]
struct Lease {
    confirmed: Revision,
    expires: Duration,
}

/// The leases that one leader has granted to entries and agents.
#[derive(Debug)]
pub struct Leases {
    duration: Duration,
    /// When all leases granted by earlier leaders have ended.
    inherited_until: Duration,
    leases: BTreeMap<SessionId, Lease>,
}

impl Leases {
    /// Creates the leases of a leader that was elected at `now`.
    #[must_use]
    pub const fn new(duration: Duration, now: Duration) -> Self {
        Self { duration, inherited_until: now.saturating_add(duration), leases: BTreeMap::new() }
    }

    /// Renews the lease of a session that has confirmed a revision.
    pub fn renew(&mut self, session: SessionId, revision: Revision, now: Duration) {
        let inherited = self.inherited_until;
        let lease = self
            .leases
            .entry(session)
            .or_insert(Lease { confirmed: Revision(0), expires: inherited });
        lease.confirmed = lease.confirmed.max(revision);
        lease.expires = lease.expires.max(now + self.duration);
    }

    /// Removes the lease of a session whose holder has left and takes no new work.
    pub fn release(&mut self, session: SessionId) {
        self.leases.remove(&session);
    }

    /// Returns whether no session holder can act on a view older than `revision`.
    ///
    /// Replaced sessions count until their lease has ended, and so does every
    /// lease that an earlier leader may have granted.
    #[must_use]
    pub fn in_force(&self, revision: Revision, now: Duration) -> bool {
        now >= self.inherited_until
            && self.leases.values().all(|lease| lease.confirmed >= revision || now >= lease.expires)
    }

    /// Returns the sessions whose lease has ended.
    ///
    /// A session that has not contacted this leader yet gets extra time to find it. That delays
    /// nothing else, because its lease from an earlier leader ends in any case.
    pub fn expired(
        &self,
        sessions: impl Iterator<Item = SessionId>,
        now: Duration,
    ) -> Vec<SessionId> {
        let ended = |session: &SessionId| match self.leases.get(session) {
            Some(lease) => now >= lease.expires,
            None => now >= self.inherited_until + FIND_LEADER_TIMEOUT,
        };
        sessions.filter(ended).collect()
    }

    /// Removes leases that have ended and whose session is no longer open.
    pub fn remove_ended(&mut self, open: impl Fn(SessionId) -> bool, now: Duration) {
        self.leases.retain(|session, lease| open(*session) || now < lease.expires);
    }

    /// Returns the length of a lease.
    #[must_use]
    pub const fn duration(&self) -> Duration {
        self.duration
    }
}
