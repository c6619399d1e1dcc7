//! Has the engine load staged weights, and proves that it took them whole.
//!
//! An engine takes the pieces as they are when it accepts a load order. That may be long
//! after the agent verified them: reading them back takes time, the agent may be paused, and
//! the order may be late. So the agent reads all pieces back once more after the engine has
//! accepted the order. A piece that is intact then, and was not staged meanwhile, was intact
//! when the engine took it. Until that is shown, the weights are not reported as loaded.
//!
//! What an engine holds that has accepted no order was there before any agent, and was not taken
//! from staged pieces.
//!
//! While the engine loads, or holds all layers of a version without that proof, no pieces are
//! staged: it gives them up first. So pieces that a later process finds intact are those that were taken.

use std::{cell::RefCell, ops::Range, time::Duration};

use egret_fleet::{LoadedModel, version_of};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    engine::{Engine, EngineError, EngineReport, LoadAnswer, LoadOrder, Origin, SwitchMode},
    fetch::Fetcher,
    peer::Peers,
    staging::{StagedVersion, Target},
};

/// Interval at which an engine that is carrying out an order is polled.
pub(crate) const BUSY_PERIOD: Duration = Duration::from_millis(60);
/// Timeout for an engine to carry out a load order.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Layers that an engine is told to hold, one after the other, before it loads all layers of a
/// version again. It keeps those that two consecutive orders share, so these share none.
const RELOAD_STEPS: [Range<u32>; 2] = [2..3, 1..2];

/// Which of the weights that an engine has loaded are known to be whole.
///
/// ```
/// use egret_fleet::LoadedModel;
/// use egret_loader::{EngineReport, LoadProof, Target};
/// use egret_record::WeightVersion;
/// use tokio::time::Instant;
///
/// let loaded = |version| EngineReport {
///     models: vec![LoadedModel { model: "m".into(), version, complete: true }],
///     ..EngineReport::default()
/// };
/// let mut proof = LoadProof::default();
/// let (first, second) = (loaded(WeightVersion(1)), loaded(WeightVersion(2)));
/// proof.observe(&first, Instant::now());
/// assert_eq!(proof.whole(&first), None, "an earlier process may know more");
/// proof.observe(&second, Instant::now());
/// assert_eq!(proof.whole(&second), Some(vec![]));
/// proof.prove(&Target { model: "m".into(), version: WeightVersion(2) });
/// assert_eq!(proof.whole(&second).map(|models| models.len()), Some(1));
/// ```
#[derive(Debug, Default)]
pub struct LoadProof {
    /// The engine's incarnation and its count of orders; `None` before its first report.
    seen: Option<(u64, Option<u64>)>,
    proven: Vec<Target>,
    /// Weights in the first report, which may have been proven to an earlier process.
    inherited: Vec<Target>,
    /// When a report was last asked for that showed neither an order in progress nor unproven
    /// weights.
    idle_at: Option<Instant>,
}

impl LoadProof {
    /// Updates what is known from a report that was asked for at `asked`.
    pub fn observe(&mut self, report: &EngineReport, asked: Instant) {
        let loaded = || report.models.iter().filter(|loaded| loaded.complete).map(target);
        let seen = (report.incarnation, report.orders);
        match self.seen.replace(seen) {
            None if report.orders == Some(0) => self.proven = loaded().collect(),
            None => self.inherited = loaded().collect(),
            Some(known) if known != seen => {
                self.proven.clear();
                self.inherited.clear();
            }
            Some(_) => {
                let is_loaded = |known: &Target| loaded().any(|loaded| loaded == *known);
                self.proven.retain(is_loaded);
                self.inherited.retain(is_loaded);
            }
        }
        let is_known = |loaded| {
            let target = target(loaded);
            self.covers(&target) || self.inherits(&target)
        };
        if !report.busy && report.models.iter().all(is_known) {
            self.idle_at = Some(asked);
        }
    }

    /// Returns whether the engine has loaded a version whole.
    #[must_use]
    pub fn covers(&self, target: &Target) -> bool {
        self.proven.contains(target)
    }

    /// Returns whether only an earlier process may know if the engine has loaded a version whole.
    #[must_use]
    pub fn inherits(&self, target: &Target) -> bool {
        self.inherited.contains(target)
    }

    /// Returns the loaded weights of `report` that are known to be whole; `None` if only an
    /// earlier process may know.
    #[must_use]
    pub fn whole(&self, report: &EngineReport) -> Option<Vec<LoadedModel>> {
        let models = report.models.iter().filter(|loaded| self.covers(&target(loaded)));
        self.inherited.is_empty().then(|| models.cloned().collect())
    }

    /// Records that the engine has loaded a version whole.
    pub fn prove(&mut self, target: &Target) {
        self.inherited.retain(|inherited| inherited != target);
        if !self.covers(target) {
            self.proven.push(target.clone());
        }
    }

    /// Returns whether an unproven version was taken after its pieces were last staged.
    ///
    /// Earlier processes stage no pieces once the engine has loaded a version. This one can only
    /// tell for a version that was taken after a report.
    fn is_taken_after(&self, target: &Target, staged_at: Option<Instant>) -> bool {
        if self.inherits(target) {
            return staged_at.is_none();
        }
        self.idle_at.is_some_and(|idle| staged_at.is_none_or(|staged| staged < idle))
    }
}

fn target(loaded: &LoadedModel) -> Target {
    Target { model: loaded.model.clone(), version: loaded.version }
}

/// Has one engine load weights, and keeps what is proven of them.
#[derive(Debug, Default)]
pub struct Activation {
    proof: RefCell<LoadProof>,
}

impl Activation {
    /// Queries the state of the engine.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the engine does not report it.
    pub async fn report(&self, engine: &impl Engine) -> Result<EngineReport, EngineError> {
        let asked = Instant::now();
        let report = engine.report().await?;
        self.proof.borrow_mut().observe(&report, asked);
        Ok(report)
    }

    /// Returns whether the engine has loaded a version whole.
    #[must_use]
    pub fn covers(&self, target: &Target) -> bool {
        self.proof.borrow().covers(target)
    }

    /// Returns whether only an earlier process may know if the engine has loaded a version whole.
    #[must_use]
    pub fn inherits(&self, target: &Target) -> bool {
        self.proof.borrow().inherits(target)
    }

    /// Returns the loaded weights of `report` that are known to be whole; `None` if only an
    /// earlier process may know.
    #[must_use]
    pub fn whole(&self, report: &EngineReport) -> Option<Vec<LoadedModel>> {
        self.proof.borrow().whole(report)
    }

    /// Returns a version that the engine has loaded and that is not known to be whole.
    #[must_use]
    pub fn unproven(&self, report: &EngineReport) -> Option<Target> {
        let proof = self.proof.borrow();
        let mut loaded = report.models.iter().filter(|loaded| loaded.complete).map(target);
        loaded.find(|loaded| !proof.covers(loaded) && !proof.inherits(loaded))
    }

    /// Tries to prove that the engine took a version whole that `report` shows as loaded.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the engine does not report its state.
    pub async fn confirm<E: Engine, O: Origin, P: Peers>(
        &self,
        fetcher: &Fetcher<E, O, P>,
        staged: &StagedVersion,
        report: &EngineReport,
    ) -> Result<bool, EngineError> {
        let is_taken_after = self.proof.borrow().is_taken_after(&staged.target, staged.staged_at());
        if !is_taken_after || !fetcher.verify_all(staged).await {
            return Ok(false);
        }
        let after = self.report(fetcher.engine()).await?;
        let unchanged = after.incarnation == report.incarnation && after.orders == report.orders;
        Ok(unchanged && self.prove(&after, &staged.target))
    }

    /// Makes the engine give up a version, so that it takes all layers anew at the next load.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the engine refuses the order or does not answer in time.
    pub async fn give_up(
        &self,
        engine: &impl Engine,
        target: &Target,
        mode: SwitchMode,
    ) -> Result<EngineReport, EngineError> {
        log::warn!("event=weights_given_up model={} version={}", target.model, target.version);
        let before = self.report(engine).await?;
        let [layers, _] = RELOAD_STEPS;
        let expected = before.orders;
        let mut order = LoadOrder { target, layers: Some(layers), mode, expected };
        self.send(engine, &mut order).await?;
        self.wait_until(engine, |report| !report.busy).await
    }

    /// Orders the engine to load a staged version, and waits until it has; makes the engine give
    /// it up if it cannot be proven whole.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the engine refuses the order or does not answer in time. It
    /// may still carry out an order that it did not answer.
    pub async fn load<E: Engine, O: Origin, P: Peers>(
        &self,
        fetcher: &Fetcher<E, O, P>,
        staged: &StagedVersion,
        mode: SwitchMode,
    ) -> Result<EngineReport, EngineError> {
        let (engine, target) = (fetcher.engine(), &staged.target);
        let before = self.report(engine).await?;
        if before.busy {
            return Err(EngineError::Busy);
        }
        let mut order = LoadOrder { target, layers: None, mode, expected: before.orders };
        let holds_layers = before
            .models
            .iter()
            .any(|loaded| loaded.model == target.model && loaded.version == target.version);
        if holds_layers {
            let [first, second] = RELOAD_STEPS;
            order.layers = Some(first);
            // It may hold just these after an attempt that was interrupted.
            self.send(engine, &mut order).await?;
            self.wait_until(engine, |report| !report.busy).await?;
            order.layers = Some(second);
            self.start(engine, &mut order).await?;
            self.wait_until(engine, |report| !report.busy).await?;
            order.layers = None;
        }
        let started = self.start(engine, &mut order).await;
        let has_loaded = |report: &EngineReport| {
            version_of(&report.models, &target.model) == Some(target.version)
                || (!report.busy && started.is_err())
        };
        let verify = async { started.is_ok() && fetcher.verify_all(staged).await };
        let (whole, after) = tokio::join!(verify, self.wait_until(engine, has_loaded));
        let after = after?;
        let unchanged = after.incarnation == before.incarnation && after.orders == order.expected;
        if whole && unchanged && self.prove(&after, target) {
            return Ok(after);
        }
        log::warn!("event=load_unproven version={} whole={whole}", target.version);
        started?;
        self.give_up(engine, target, SwitchMode::Stop).await
    }

    /// Polls the engine until a report meets a condition; returns the last one in any case.
    async fn wait_until(
        &self,
        engine: &impl Engine,
        is_done: impl Fn(&EngineReport) -> bool,
    ) -> Result<EngineReport, EngineError> {
        let met = timeout(LOAD_TIMEOUT, async {
            loop {
                let report = self.report(engine).await?;
                if is_done(&report) {
                    return Ok(report);
                }
                sleep(BUSY_PERIOD).await;
            }
        });
        match met.await {
            Ok(report) => report,
            Err(_) => self.report(engine).await,
        }
    }

    /// Records that the engine took a version whole, if `report` shows it as loaded.
    fn prove(&self, report: &EngineReport, target: &Target) -> bool {
        let loaded = version_of(&report.models, &target.model) == Some(target.version);
        if loaded {
            self.proof.borrow_mut().prove(target);
        }
        loaded
    }

    /// Sends an order, and returns whether the engine has begun to carry it out.
    ///
    /// Only the engine's count of orders tells whether it held the layers before or has loaded them
    /// meanwhile, and whether it has accepted an order that it did not answer. The next order is
    /// expected after one that has begun.
    async fn send(
        &self,
        engine: &impl Engine,
        order: &mut LoadOrder<'_>,
    ) -> Result<bool, EngineError> {
        let sent = Instant::now();
        let answer = engine.load(order).await;
        log::info!(
            "event=load_answered version={} layers={:?} took_ms={} answer={answer:?}",
            order.target.version,
            order.layers,
            sent.elapsed().as_millis()
        );
        let next = order.expected.map(|orders| orders + 1);
        let has_begun = match answer {
            Ok(LoadAnswer::Started) => true,
            Ok(LoadAnswer::Complete) | Err(EngineError::Unreachable(_)) => {
                next.is_some() && self.report(engine).await?.orders == next
            }
            Err(_) => false,
        };
        if !has_begun {
            return answer.map(|_| false);
        }
        order.expected = next;
        Ok(true)
    }

    /// Sends an order for which the engine must take some layers.
    async fn start(
        &self,
        engine: &impl Engine,
        order: &mut LoadOrder<'_>,
    ) -> Result<(), EngineError> {
        if self.send(engine, order).await? { Ok(()) } else { Err(EngineError::InEffect) }
    }
}
