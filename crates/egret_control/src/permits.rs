//! Permits for limited backend servers, while this member is the leader.

use std::time::Duration;

use egret_consensus::Term;
use egret_fleet::{BackendLimit, Fleet, StatusStamp};
use egret_permits::{Allocator, LimitChange, PermitGrant, PermitWant};

/// Announcements of one term that have an order of their own.
const ANNOUNCEMENT_BITS: u32 = 24;

/// The permits of one leader, and the limits that it announced.
#[derive(Debug)]
pub(crate) struct Permits {
    allocator: Allocator,
    /// Number of limits that it announced, for their order.
    announced: u64,
}

impl Permits {
    /// Starts with the limits that earlier leaders announced.
    pub(crate) fn restore(fleet: &Fleet, now: Duration) -> Self {
        let mut allocator = Allocator::default();
        for known in fleet.limits() {
            if let Some(limit) = known.limit {
                allocator.restore(&known.backend, known.stamp.incarnation, limit, now);
            }
        }
        Self { allocator, announced: 0 }
    }

    /// Grants permits to an entry; returns the grants and the limits to announce.
    pub(crate) fn acquire(
        &mut self,
        wants: &[PermitWant],
        term: Term,
        now: Duration,
    ) -> (Vec<PermitGrant>, Vec<BackendLimit>) {
        let mut limits = Vec::new();
        let mut grants = Vec::with_capacity(wants.len());
        for want in wants {
            let (grant, change) = self.allocator.acquire(want, now);
            metrics::counter!("egret_control_permits_total", "outcome" => "granted")
                .increment(u64::from(grant.count));
            metrics::counter!("egret_control_permits_total", "outcome" => "returned")
                .increment(u64::from(want.unused));
            grants.push(grant);
            let Some(change) = change.filter(LimitChange::is_announced) else { continue };
            self.announced += 1;
            let seq = (term.0 << ANNOUNCEMENT_BITS) + self.announced;
            let stamp = StatusStamp { incarnation: want.incarnation, seq };
            limits.push(BackendLimit { backend: change.backend, limit: change.after, stamp });
        }
        (grants, limits)
    }
}
