//! Carries out an order until its version is live.
//!
//! An order names a version and a fencing token. The agent fetches and verifies all
//! chunks while an older version still serves. Only if the order activates the version
//! does the agent drain requests in flight and order the engine to load it. It admits
//! requests again once the engine itself reports the new version.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use egret_record::{Assignment, Backend, Fence, ModelTarget, Phase, Revision, VersionDigest};
use egret_rpc::{Command, ControlHandle, Request};
use egret_weights::{ChunkStore, StoreError, VersionFolder};
use http::StatusCode;
use thiserror::Error;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    engine::{Engine, EngineError},
    fetch::{FetchError, Fetcher},
    peer_server::{HeldVersion, HeldVersions},
    shared_state::{ActiveVersion, SharedState},
};

/// Delay before a failed step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the engine is checked.
const WATCH_PERIOD: Duration = Duration::from_millis(500);
/// Timeout of a report to the control state.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an order is not carried out yet.
#[derive(Debug, Error)]
enum RolloutError {
    #[error(transparent)]
    Fetch(#[from] FetchError),
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Engine(#[from] EngineError),
    #[error("the engine serves another version than ordered; the order is retried")]
    NotConfirmed,
    #[error("the record of the order is gone; waiting for the next order")]
    NoRecord,
    #[error("the lease has ended; the engine is switched once it is renewed")]
    NoLease,
}

impl RolloutError {
    /// Returns whether the stored weights may be damaged, or not those that the engine reads.
    fn distrusts_weights(&self) -> bool {
        match self {
            Self::Store(_) | Self::NotConfirmed => true,
            // An outdated fence says nothing about the weights.
            Self::Engine(EngineError::Refused(status)) => *status != StatusCode::CONFLICT,
            Self::Fetch(_) | Self::Engine(_) | Self::NoRecord | Self::NoLease => false,
        }
    }
}

/// Carries out the orders for one backend server.
pub(crate) struct Rollout {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) control: ControlHandle,
    pub(crate) engine: Engine,
    pub(crate) fetcher: Fetcher,
    pub(crate) versions: Rc<HeldVersions>,
    pub(crate) store: ChunkStore,
    /// How long a previous agent may still hold a lease and order the engine.
    pub(crate) previous_lease: Option<Duration>,
}

impl Rollout {
    /// Carries out the orders for a model engine.
    pub(crate) async fn run_model(&self, mut revision: watch::Receiver<Revision>) {
        if let Some(wait) = self.previous_lease {
            // Without fencing, only this wait ensures that a previous agent has stopped acting.
            sleep(wait).await;
        }
        loop {
            let backend = self.backend();
            let order = backend.as_ref().and_then(|backend| backend.assignment.clone());
            let changed = async {
                while self.backend().and_then(|backend| backend.assignment) == order {
                    if revision.changed().await.is_err() {
                        std::future::pending::<()>().await;
                    }
                }
            };
            let step = async {
                match &order {
                    Some(order) => self.maintain(order).await,
                    None => {
                        self.shared.set_active(None);
                        std::future::pending::<()>().await;
                    }
                }
            };
            tokio::select! {
                () = changed => {}
                () = step => {}
            }
        }
    }

    /// Reports whether a backend server that is not an engine is reachable.
    pub(crate) async fn run_service(&self) {
        loop {
            let phase = if self.engine.is_reachable().await { Phase::Serving } else { Phase::Idle };
            if let Some(backend) = self.backend()
                && backend.phase != phase
            {
                self.report(Fence(0), phase).await;
            }
            sleep(WATCH_PERIOD).await;
        }
    }

    /// Returns the backend server in the control state, if it is registered in this session.
    fn backend(&self) -> Option<Backend> {
        let session = (*self.shared.session.borrow())?;
        let view = self.shared.view.get();
        view.backends.get(&self.shared.name).filter(|known| known.session == session).cloned()
    }

    /// Carries out an order, again after a failure or when the engine deviates from it.
    ///
    /// Runs until the future is dropped.
    async fn maintain(&self, order: &Assignment) {
        loop {
            match self.carry_out(order).await {
                Ok(()) => self.watch_engine(order).await,
                Err(error) => {
                    log::warn!("event=rollout_failed fence={} error=\"{error}\"", order.fence);
                    if error.distrusts_weights() {
                        self.versions.remove(order.digest);
                    }
                    self.report_phase(order, None).await;
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn carry_out(&self, order: &Assignment) -> Result<(), RolloutError> {
        let model = self.model(order)?;
        let held = self.prepare(&model).await?;
        if !held.folder.borrow().is_complete() {
            let started = Instant::now();
            self.fetcher.fetch_all(&model, &held.folder, &held.progress).await;
            log::info!(
                "event=version_fetched version={} millis={} origin_bytes={} peer_bytes={}",
                order.digest.short(),
                started.elapsed().as_millis(),
                self.fetcher.origin_bytes.get(),
                self.fetcher.peer_bytes.get(),
            );
        }
        verify(&held.folder).await?;
        if !order.activate {
            self.report_phase(order, Some(order.digest)).await;
            return Ok(());
        }
        self.activate(order, &model, &held).await
    }

    /// Returns the chunks of a version; those not held yet, or no longer trusted, are checked anew.
    async fn prepare(&self, model: &ModelTarget) -> Result<HeldVersion, RolloutError> {
        if let Some(held) = self.versions.get(model.digest) {
            return Ok(held);
        }
        let folder = match find(&self.store, model.digest).await? {
            Some(folder) => folder,
            None => {
                let manifest = self.fetcher.manifest(model).await?;
                let keep: BTreeSet<_> =
                    self.shared.active().map(|active| active.digest).into_iter().collect();
                self.versions.retain(|digest| keep.contains(&digest));
                self.store.create(&manifest, &keep)?
            }
        };
        Ok(self.versions.insert(model.digest, folder))
    }

    /// Switches the engine; no request is admitted until it confirms the version.
    async fn activate(
        &self,
        order: &Assignment,
        model: &ModelTarget,
        held: &HeldVersion,
    ) -> Result<(), RolloutError> {
        let (content, weights) = {
            let folder = held.folder.borrow();
            (folder.manifest().content, folder.weights_path().to_owned())
        };
        let active = ActiveVersion { digest: order.digest, content };
        if self.shared.active() != Some(active) {
            self.shared.set_active(None);
            log::info!(
                "event=switch_started version={} fence={} running={}",
                order.digest.short(),
                order.fence,
                self.shared.concurrency().running()
            );
            self.shared.wait_until_idle().await;
            // The lease may have ended during the wait, and another agent may own the engine.
            if !self.shared.lease.is_held() {
                return Err(RolloutError::NoLease);
            }
            self.engine.load(&model.model, &weights, order.fence).await?;
            if self.engine.version().await? != Some(content) {
                return Err(RolloutError::NotConfirmed);
            }
            self.shared.concurrency().restart_warmup();
            self.shared.set_active(Some(active));
            log::info!("event=version_live version={} fence={}", order.digest.short(), order.fence);
        }
        self.report(order.fence, Phase::Live(order.digest)).await;
        Ok(())
    }

    /// Waits until the engine no longer serves the active version.
    async fn watch_engine(&self, order: &Assignment) {
        loop {
            let _ = timeout(WATCH_PERIOD, self.shared.recheck.notified()).await;
            let Some(active) = self.shared.active() else {
                if order.activate {
                    return;
                }
                continue;
            };
            match self.engine.version().await {
                Ok(Some(content)) if content == active.content => {}
                found => {
                    log::error!(
                        "event=engine_lost version={} found={found:?}",
                        active.digest.short()
                    );
                    self.shared.set_active(None);
                    return;
                }
            }
        }
    }

    fn model(&self, order: &Assignment) -> Result<ModelTarget, RolloutError> {
        let view = self.shared.view.get();
        let stored = view.records.get(&order.record).ok_or(RolloutError::NoRecord)?;
        let model = stored.record.model().filter(|model| model.digest == order.digest);
        model.cloned().ok_or(RolloutError::NoRecord)
    }

    async fn report_phase(&self, order: &Assignment, staged: Option<VersionDigest>) {
        let serving = self.shared.active().map(|active| active.digest);
        let phase = match (staged, serving) {
            (Some(digest), serving) => Phase::Staged { digest, serving },
            (None, Some(serving)) => Phase::Live(serving),
            (None, None) => Phase::Idle,
        };
        self.report(order.fence, phase).await;
    }

    async fn report(&self, fence: Fence, phase: Phase) {
        let Some(session) = *self.shared.session.borrow() else { return };
        let request = Request::from(Command::Report { session, fence, phase });
        if let Err(error) = self.control.call(request, Instant::now() + REPORT_TIMEOUT).await {
            log::warn!("event=report_failed error=\"{error}\"");
        }
    }
}

/// Opens a stored version and verifies its chunks on a thread for blocking work.
async fn find(
    store: &ChunkStore,
    digest: VersionDigest,
) -> Result<Option<VersionFolder>, StoreError> {
    let store = store.clone();
    let found = tokio::task::spawn_blocking(move || store.find(digest)).await;
    found.expect("the verification does not panic")
}

/// Verifies the whole content of a version on a thread for blocking work.
async fn verify(folder: &RefCell<VersionFolder>) -> Result<(), StoreError> {
    let verifier = folder.borrow().verifier()?;
    let verified = tokio::task::spawn_blocking(move || verifier.verify()).await;
    verified.expect("the verification does not panic")
}
