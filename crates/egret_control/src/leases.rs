//! Leases of entries and agents, known to the leader alone.

use std::{collections::BTreeMap, time::Duration};

use egret_record::{Revision, SessionId};

/// Time that a holder may take to find a new leader, beyond its lease.
///
/// It covers one try at a frozen leader and one at an instance that does not know the new one.
const FIND_TIME: Duration = Duration::from_secs(2);

/// What the leader knows of one holder.
#[derive(Debug, Clone, Copy)]
struct HolderLease {
    confirmed: Revision,
    until: Duration,
}

/// Leases of entries and agents, as one leader gave them.
#[derive(Debug)]
pub struct Leases {
    lease: Duration,
    /// When every lease of an earlier leader has ended.
    inherited_until: Duration,
    leases: BTreeMap<SessionId, HolderLease>,
}

impl Leases {
    /// Starts a leader's leases at `now`.
    #[must_use]
    pub const fn new(lease: Duration, now: Duration) -> Self {
        Self { lease, inherited_until: now.saturating_add(lease), leases: BTreeMap::new() }
    }

    /// Notes that a holder has confirmed a revision.
    pub fn renew(&mut self, session: SessionId, revision: Revision, now: Duration) {
        let inherited = self.inherited_until;
        let lease = self
            .leases
            .entry(session)
            .or_insert(HolderLease { confirmed: Revision(0), until: inherited });
        lease.confirmed = lease.confirmed.max(revision);
        lease.until = lease.until.max(now + self.lease);
    }

    /// Forgets a holder that has left and takes no new work.
    pub fn release(&mut self, session: SessionId) {
        self.leases.remove(&session);
    }

    /// Tells whether no holder can act on a view older than `revision`.
    ///
    /// Sessions that were replaced count as long as their lease may last, and
    /// so does every lease that an earlier leader may have given.
    #[must_use]
    pub fn in_force(&self, revision: Revision, now: Duration) -> bool {
        now >= self.inherited_until
            && self.leases.values().all(|lease| lease.confirmed >= revision || now >= lease.until)
    }

    /// Returns the sessions whose lease has ended.
    ///
    /// One that this leader has not heard yet gets the time to find it. Nothing waits for that:
    /// the lease from an earlier leader ends in any case.
    pub fn expired(
        &self,
        sessions: impl Iterator<Item = SessionId>,
        now: Duration,
    ) -> Vec<SessionId> {
        let ended = |session: &SessionId| match self.leases.get(session) {
            Some(lease) => now >= lease.until,
            None => now >= self.inherited_until + FIND_TIME,
        };
        sessions.filter(ended).collect()
    }

    /// Forgets leases that have ended and whose session is gone.
    pub fn remove_ended(&mut self, open: impl Fn(SessionId) -> bool, now: Duration) {
        self.leases.retain(|session, lease| open(*session) || now < lease.until);
    }

    /// Returns the length of a lease.
    #[must_use]
    pub const fn duration(&self) -> Duration {
        self.lease
    }
}
