//! The right to one request at a backend server.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use egret_permits::{Permit, Permits};
use egret_record::WeightVersion;
use tokio::sync::Notify;

use crate::backend::Backend;

/// The right to one request at a backend server, released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) backend: Rc<Backend>,
    /// The only weight version that may answer; none for a request that names no model.
    pub(crate) version: Option<WeightVersion>,
    /// When its weight version may no longer start responses, if that is soon.
    pub(crate) expires: Option<Duration>,
    /// Whether the request probes a backend server whose circuit breaker is open.
    pub(crate) probe: bool,
    /// The permit to send the request; none once it is sent.
    pub(crate) permit: Cell<Option<Permit>>,
    pub(crate) permits: Rc<RefCell<Permits>>,
    /// When the slot was acquired.
    pub(crate) acquired: Duration,
    pub(crate) freed: Rc<Notify>,
}

impl Slot {
    /// Uses the permit for the request; returns whether the request may still be sent at `now`.
    pub(crate) fn use_permit(&self, now: Duration) -> bool {
        let Some(permit) = self.permit.get().filter(|permit| permit.is_valid(now)) else {
            return false;
        };
        self.permit.set(None);
        if permit != Permit::UNLIMITED {
            metrics::counter!("egret_gateway_permits_used_total").increment(1);
        }
        true
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let status = self.backend.status.borrow();
            let incarnation = status.stamp.incarnation;
            self.permits.borrow_mut().release(&status.id, incarnation, permit, self.acquired);
            self.backend.cold_limit.borrow_mut().release(self.acquired);
        }
        let in_flight = &self.backend.in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
        if self.probe {
            // A cancelled request shows nothing, so another one must be able to probe.
            self.backend.breaker.borrow_mut().cancel_probe();
        }
        self.freed.notify_one();
    }
}
