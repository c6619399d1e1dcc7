//! Records in the control state which weights of the engine are whole.
//!
//! After a restart of all processes, entries know only what is recorded. So a record must never
//! name weights that the engine took after it was made: before an order for a version that may be
//! recorded already, the record is withdrawn, and the order waits until that is replicated.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    ops::Range,
    rc::Rc,
    time::Duration,
};

use egret_fleet::{EngineStatus, LoadedModel, ProvenWeights, StatusUpdate};
use egret_rpc::{Command, Follower, Reply, Request, UnixMillis};
use rand::RngExt as _;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    engine::{EngineError, EngineReport},
    staging::Target,
};

/// Timeout of a request to the leader of the control instances.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Bounds of the random delay before weights are recorded that the engine held when this process
/// started, in milliseconds. An earlier process most likely recorded them, and after a restart of all
/// processes the records of all agents at once would occupy the leader.
const INHERITED_DELAY_MILLIS: Range<u64> = 500..5_000;
/// Delay before a retry when no leader has answered.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time for which an order waits until a record is withdrawn, before its load is retried.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(2);

/// What the control state may have recorded of an engine.
///
/// ```
/// use egret_fleet::{EngineStatus, LoadedModel};
/// use egret_loader::{EngineReport, RecordState, Target};
/// use egret_record::WeightVersion;
///
/// let target = Target { model: "m".into(), version: WeightVersion(1) };
/// let models = vec![LoadedModel { model: "m".into(), version: WeightVersion(1), complete: true }];
/// let report = EngineReport { orders: Some(2), models, ..EngineReport::default() };
/// let mut state = RecordState::default();
/// assert!(state.may_name(&target, &report), "an earlier process may have recorded it");
/// let empty = EngineStatus { incarnation: 0, orders: Some(2), models: vec![] };
/// state.begin(&empty);
/// assert!(state.may_name(&target, &report), "it may not have been replicated");
/// state.confirm(empty);
/// assert!(!state.may_name(&target, &report));
/// ```
#[derive(Debug, Default)]
pub struct RecordState {
    /// The last record that is known to be replicated.
    confirmed: Option<EngineStatus>,
    /// Records that were sent since, each of which may be replicated.
    unconfirmed: Vec<EngineStatus>,
}

impl RecordState {
    /// Notes that a record is about to be sent.
    pub fn begin(&mut self, record: &EngineStatus) {
        if !self.unconfirmed.contains(record) {
            self.unconfirmed.push(record.clone());
        }
    }

    /// Notes that a record is replicated; those sent before it can no longer replace it.
    pub fn confirm(&mut self, record: EngineStatus) {
        self.unconfirmed.clear();
        self.confirmed = Some(record);
    }

    /// Returns whether a version may be recorded for the engine's incarnation.
    #[must_use]
    pub fn may_name(&self, target: &Target, report: &EngineReport) -> bool {
        let names = |record: &EngineStatus| {
            let is_target = |loaded: &LoadedModel| {
                loaded.model == target.model && loaded.version == target.version
            };
            record.incarnation == report.incarnation && record.models.iter().any(is_target)
        };
        // An engine that holds nothing and has accepted no order had nothing to record.
        let is_new = report.orders == Some(0) && report.models.is_empty();
        let may_be_inherited = self.confirmed.is_none() && !is_new;
        may_be_inherited || self.confirmed.iter().chain(&self.unconfirmed).any(names)
    }
}

/// Sends the records of one engine to the leader of the control instances.
#[derive(Debug)]
pub(crate) struct Recorder {
    follower: Rc<Follower>,
    /// The address of the engine; without one, entries cannot use it and nothing is recorded.
    engine: Option<SocketAddr>,
    state: RefCell<RecordState>,
    /// The engine's incarnation and its count of orders when this process first saw it.
    initial: Cell<Option<(u64, Option<u64>)>>,
    /// The record to be made.
    wanted: watch::Sender<Option<EngineStatus>>,
    /// The last record that is known to be replicated.
    confirmed: watch::Sender<Option<EngineStatus>>,
}

impl Recorder {
    pub(crate) fn new(follower: Rc<Follower>, engine: Option<SocketAddr>) -> Self {
        let (wanted, confirmed) = (watch::Sender::new(None), watch::Sender::new(None));
        let (state, initial) = (RefCell::default(), Cell::default());
        Self { follower, engine, state, initial, wanted, confirmed }
    }

    /// Notes the state of the engine, of which the first one counts.
    pub(crate) fn observe(&self, report: &EngineReport) {
        let first = self.initial.get().unwrap_or((report.incarnation, report.orders));
        self.initial.set(Some(first));
    }

    /// Records weights that are known to be whole, as soon as a leader can be reached.
    ///
    /// Those of an engine that does not tell its incarnations apart are not recorded: the record
    /// would name what a later incarnation takes as well.
    pub(crate) fn record(&self, proven: &EngineStatus) {
        if proven.incarnation > 0 && !proven.models.is_empty() {
            self.wanted.send_if_modified(|wanted| {
                let is_new = wanted.as_ref() != Some(proven);
                if is_new {
                    *wanted = Some(proven.clone());
                }
                is_new
            });
        }
    }

    /// Withdraws what is recorded, if that may name `target`, before the engine takes it anew.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::Unrecorded`] if that is not replicated in time.
    pub(crate) async fn withdraw(
        &self,
        target: &Target,
        report: &EngineReport,
    ) -> Result<(), EngineError> {
        if self.engine.is_none() || !self.state.borrow().may_name(target, report) {
            return Ok(());
        }
        let EngineReport { incarnation, orders, .. } = *report;
        let withdrawn = Some(EngineStatus { incarnation, orders, models: Vec::new() });
        let mut confirmed = self.confirmed.subscribe();
        self.wanted.send_replace(withdrawn.clone());
        let replicated = confirmed.wait_for(|confirmed| *confirmed == withdrawn);
        match timeout(WITHDRAWAL_TIMEOUT, replicated).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(EngineError::Unrecorded),
        }
    }

    /// Sends records until dropped; must be awaited within a `LocalSet`.
    pub(crate) async fn run(&self) {
        let Some(engine) = self.engine else { return std::future::pending().await };
        let mut wanted = self.wanted.subscribe();
        loop {
            let next = wanted.borrow_and_update().clone();
            let Some(record) = next.filter(|next| self.confirmed.borrow().as_ref() != Some(next))
            else {
                if wanted.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let is_inherited = self.initial.get() == Some((record.incarnation, record.orders));
            if is_inherited && !record.models.is_empty() {
                let delay = rand::rng().random_range(INHERITED_DELAY_MILLIS);
                if timeout(Duration::from_millis(delay), wanted.changed()).await.is_ok() {
                    continue;
                }
            }
            self.state.borrow_mut().begin(&record);
            let update = StatusUpdate::Weights(ProvenWeights { engine, proven: record.clone() });
            let recorded_at = UnixMillis::default();
            let request = Request::from(Command::RecordStatus { update, recorded_at });
            let reply = self.follower.call_leader(&request, REQUEST_TIMEOUT).await;
            self.follower.disconnect_leader();
            match reply {
                Some(Reply::Accepted { .. }) => {
                    self.state.borrow_mut().confirm(record.clone());
                    self.confirmed.send_replace(Some(record));
                }
                _ => {
                    log::debug!("event=record_not_confirmed born={}", record.incarnation);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}
