//! What the threads share.

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

/// A version that the engine confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Active {
    /// The version, as records name it.
    pub(crate) digest: VersionDigest,
    /// The version, as the engine names it.
    pub(crate) content: VersionDigest,
}

/// What the threads share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) name: BackendName,
    pub(crate) view: SharedView,
    pub(crate) lease: Lease,
    pub(crate) session: watch::Receiver<Option<SessionId>>,
    /// Set when an answer shows that the engine is not on the active version.
    pub(crate) suspect: Notify,
    gate: Mutex<ConcurrencyLimit>,
    active: ArcSwapOption<Active>,
    draining: AtomicBool,
}

/// A permit that is given back when dropped.
#[derive(Debug)]
pub(crate) struct Pass {
    shared: Arc<Shared>,
    permit: Option<Permit>,
    answered: bool,
}

impl Pass {
    /// Notes that the request ended whole.
    pub(crate) const fn set_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.shared.gate().release(permit, self.answered);
        }
    }
}

impl Shared {
    pub(crate) const fn new(
        name: BackendName,
        view: SharedView,
        lease: Lease,
        session: watch::Receiver<Option<SessionId>>,
        gate: ConcurrencyLimit,
    ) -> Self {
        Self {
            name,
            view,
            lease,
            session,
            suspect: Notify::const_new(),
            gate: Mutex::new(gate),
            active: ArcSwapOption::const_empty(),
            draining: AtomicBool::new(false),
        }
    }

    pub(crate) fn gate(&self) -> MutexGuard<'_, ConcurrencyLimit> {
        self.gate.lock().expect("no holder of the lock panics")
    }

    /// Takes a permit that is given back when dropped.
    pub(crate) fn pass(self: &Arc<Self>) -> Result<Pass, egret_route::Refusal> {
        let permit = self.gate().acquire()?;
        Ok(Pass { shared: self.clone(), permit: Some(permit), answered: false })
    }

    pub(crate) fn active(&self) -> Option<Active> {
        self.active.load().as_deref().copied()
    }

    pub(crate) fn set_active(&self, active: Option<Active>) {
        self.active.store(active.map(Arc::new));
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Waits until no request runs.
    pub(crate) async fn idle(&self) {
        /// Pause between two looks.
        const LOOK_PERIOD: Duration = Duration::from_millis(5);
        while self.gate().running() > 0 {
            sleep(LOOK_PERIOD).await;
        }
    }
}
