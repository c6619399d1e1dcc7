//! Rate limits that backend servers name, and the leader's permits to send them requests.

use std::time::Duration;

use egret_fleet::{Fleet, StatusStamp};
use egret_permits::{LimitNotice, Permit};
use egret_rpc::{Reply, Request};
use rand::RngExt as _;
use tokio::time::timeout;

use crate::{BackendHead, backend::Backend, gateway::Gateway};

impl Gateway {
    /// Records the rate limit that a response names, to a request that was sent at `sent`.
    pub(crate) fn record_limit(&self, backend: &Backend, meta: &BackendHead, sent: Duration) {
        if !meta.signed && meta.rate_limit == LimitNotice::Unlimited {
            return;
        }
        let status = backend.status.borrow();
        let (id, incarnation) = (&status.id, status.stamp.incarnation);
        let mut permits = self.permits.borrow_mut();
        let change = permits.observe(id, incarnation, meta.rate_limit, sent, self.now());
        if let Some(change) = change {
            log::info!("{change} source=response");
            self.permit_needed.notify_one();
        }
    }

    /// Acquires the right to send a request to a backend server; `new` as for [`Permits::acquire`].
    ///
    /// Without it, returns when the leader may grant it.
    pub(crate) fn acquire_permit(
        &self,
        backend: &Backend,
        new: bool,
        now: Duration,
    ) -> Result<Permit, Duration> {
        let status = backend.status.borrow();
        let mut permits = self.permits.borrow_mut();
        let acquired = permits.acquire(&status.id, status.stamp.incarnation, new, now);
        if acquired != Ok(Permit::UNLIMITED) {
            self.permit_needed.notify_one();
        }
        acquired
    }

    /// Asks the leader for permits as they are needed; runs until dropped.
    pub(crate) async fn run_permits(&self) {
        /// Timeout of a request; the permits of a later reply would hardly be valid any more.
        const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
        /// Time over which entries spread their requests for the next permit.
        const SPREAD_MAX: Duration = Duration::from_millis(100);
        loop {
            let next = self.permits.borrow().next_request();
            let wait = next.map_or(Duration::MAX, |next| next.saturating_sub(self.now()));
            let _ = timeout(wait, self.permit_needed.notified()).await;
            let sent = self.now();
            let Some(wants) = self.permits.borrow_mut().request(sent) else { continue };
            let request = Request::AcquirePermits(wants);
            let reply = self.follower.call_leader(&request, REPLY_TIMEOUT).await;
            let now = self.now();
            let mut permits = self.permits.borrow_mut();
            let spread = SPREAD_MAX.mul_f64(self.random().random());
            let Some(Reply::Permits { term, grants }) = reply else {
                permits.fail(now, spread);
                continue;
            };
            for change in permits.apply(term, &grants, sent, now, spread) {
                log::info!("{change} source=leader");
            }
            self.slots.notify();
        }
    }

    /// Takes over the rate limits that the leader announced.
    pub(crate) fn refresh_limits(&self, fleet: &Fleet, now: Duration) {
        let mut permits = self.permits.borrow_mut();
        for known in fleet.limits() {
            let StatusStamp { incarnation, seq } = known.stamp;
            let change = permits.announce(&known.backend, incarnation, known.limit, seq, now);
            if let Some(change) = change {
                log::info!("{change} source=leader");
            }
        }
        let backends = self.backends();
        permits.retain(|id| backends.contains_key(id), now);
    }
}
