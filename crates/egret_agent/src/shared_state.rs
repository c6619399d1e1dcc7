//! The state shared by the proxy, control and weights threads.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use egret_record::{BackendName, SessionId, VersionDigest};
use egret_route::{ConcurrencyLimit, Permit};
use egret_rpc::{Lease, SharedView};
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

/// A version that the engine has confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ActiveVersion {
    /// The manifest digest, which identifies the version in records.
    pub(crate) digest: VersionDigest,
    /// The content digest, which the engine reports.
    pub(crate) content: VersionDigest,
}

/// The state shared by the proxy, control and weights threads.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) name: BackendName,
    pub(crate) view: SharedView,
    pub(crate) lease: Lease,
    pub(crate) session: watch::Receiver<Option<SessionId>>,
    /// Notified when the engine possibly no longer serves the active version.
    pub(crate) recheck: Notify,
    concurrency: Mutex<ConcurrencyLimit>,
    active: ArcSwapOption<ActiveVersion>,
    draining: AtomicBool,
}

/// A permit that is released on drop.
#[derive(Debug)]
pub(crate) struct PermitGuard {
    shared: Arc<SharedState>,
    permit: Option<Permit>,
    answered: bool,
}

impl PermitGuard {
    /// Records that the request was answered completely.
    pub(crate) const fn set_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.shared.concurrency().release(permit, self.answered);
        }
    }
}

impl SharedState {
    pub(crate) const fn new(
        name: BackendName,
        view: SharedView,
        lease: Lease,
        session: watch::Receiver<Option<SessionId>>,
        limit: ConcurrencyLimit,
    ) -> Self {
        Self {
            name,
            view,
            lease,
            session,
            recheck: Notify::const_new(),
            concurrency: Mutex::new(limit),
            active: ArcSwapOption::const_empty(),
            draining: AtomicBool::new(false),
        }
    }

    pub(crate) fn concurrency(&self) -> MutexGuard<'_, ConcurrencyLimit> {
        self.concurrency.lock().expect("no thread panics while it holds the lock")
    }

    /// Acquires a permit that is released on drop.
    pub(crate) fn acquire(self: &Arc<Self>) -> Result<PermitGuard, egret_route::Refusal> {
        let permit = self.concurrency().acquire()?;
        Ok(PermitGuard { shared: self.clone(), permit: Some(permit), answered: false })
    }

    pub(crate) fn active(&self) -> Option<ActiveVersion> {
        self.active.load().as_deref().copied()
    }

    pub(crate) fn set_active(&self, active: Option<ActiveVersion>) {
        self.active.store(active.map(Arc::new));
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Waits until no request is in flight.
    pub(crate) async fn wait_until_idle(&self) {
        /// Interval at which the number of requests in flight is polled.
        const POLL_PERIOD: Duration = Duration::from_millis(5);
        while self.concurrency().running() > 0 {
            sleep(POLL_PERIOD).await;
        }
    }
}
