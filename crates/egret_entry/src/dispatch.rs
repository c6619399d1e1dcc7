//! From a request to its answer.

use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use egret_http::HttpClient;
use egret_record::{BackendName, DataCentre, FastSet, SessionId, View};
use egret_route::{Candidate, Code, LoadHints, Ran, Refusal, RetryBudget, choose};
use egret_rpc::{ControlHandle, Lease, SharedView};
use rand::{SeedableRng as _, rngs::SmallRng};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    burn::Burn,
    call::{Call, Kind},
    forward::{Answer, Tried, forward},
};

/// Tries of one request at the most.
const TRIES_MAX: u32 = 4;
/// Time to stay away from a backend server that broke an answer or was not there.
const CLOSED_TIME: Duration = Duration::from_millis(500);
/// When to come back while nothing is live.
const NOTHING_LIVE: Duration = Duration::from_secs(2);
/// When to come back while this entry may be cut off, or leaves.
const NOT_IN_SERVICE: Duration = Duration::from_millis(200);

/// What the traffic threads of an entry share.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) data_centre: DataCentre,
    pub(crate) view: SharedView,
    pub(crate) lease: Lease,
    pub(crate) session: watch::Receiver<Option<SessionId>>,
    pub(crate) control: ControlHandle,
    pub(crate) deadline: Duration,
    pub(crate) burn: Burn,
    start: Instant,
    pooled: HttpClient,
    fresh: HttpClient,
    routes: Mutex<Routes>,
    draining: AtomicBool,
    running: AtomicUsize,
}

#[derive(Debug)]
struct Routes {
    hints: LoadHints,
    budget: RetryBudget,
    random: SmallRng,
}

/// Counts a request as running until dropped.
#[derive(Debug)]
pub(crate) struct Running(Arc<Dispatch>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts a request at a backend server until dropped.
#[derive(Debug)]
pub(crate) struct Sent {
    dispatch: Arc<Dispatch>,
    name: BackendName,
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.dispatch.routes().hints.end(&self.name);
    }
}

/// What a dispatch is built from.
pub(crate) struct DispatchParts {
    /// The address of this instance from which it connects.
    pub(crate) own: IpAddr,
    pub(crate) data_centre: DataCentre,
    pub(crate) view: SharedView,
    pub(crate) lease: Lease,
    pub(crate) session: watch::Receiver<Option<SessionId>>,
    pub(crate) control: ControlHandle,
    pub(crate) deadline: Duration,
    pub(crate) retry_percent: u32,
}

impl Dispatch {
    pub(crate) fn new(parts: DispatchParts) -> Self {
        let routes = Routes {
            hints: LoadHints::default(),
            budget: RetryBudget::new(parts.retry_percent),
            random: SmallRng::seed_from_u64(rand::random()),
        };
        Self {
            data_centre: parts.data_centre,
            view: parts.view,
            lease: parts.lease,
            session: parts.session,
            control: parts.control,
            deadline: parts.deadline,
            burn: Burn::default(),
            start: Instant::now(),
            pooled: HttpClient::pooled(Some(parts.own)),
            fresh: HttpClient::unpooled(Some(parts.own)),
            routes: Mutex::new(routes),
            draining: AtomicBool::new(false),
            running: AtomicUsize::new(0),
        }
    }

    /// Takes no new work from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Waits until no request runs.
    pub(crate) async fn idle(&self) {
        /// Pause between two looks.
        const LOOK_PERIOD: Duration = Duration::from_millis(5);
        while self.running.load(Ordering::Acquire) > 0 {
            sleep(LOOK_PERIOD).await;
        }
    }

    /// Counts a request as running.
    pub(crate) fn start(self: &Arc<Self>) -> Running {
        self.running.fetch_add(1, Ordering::AcqRel);
        Running(self.clone())
    }

    /// Tells whether this entry may take new work.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that says "not run", which is true.
    pub(crate) fn admit(&self, view: &View) -> Result<(), Refusal> {
        let refuse =
            |code, message| Err(Refusal::not_run(code, message).retry_after(NOT_IN_SERVICE));
        if self.draining.load(Ordering::Acquire) {
            return refuse(
                Code::NotInService,
                "this entry is shutting down; ask /v1/entries of another",
            );
        }
        if !self.lease.is_held() {
            return refuse(
                Code::NotInService,
                "this entry may be cut off from the control state; ask /v1/entries of another",
            );
        }
        if view.out.contains(&self.data_centre) {
            return refuse(
                Code::DataCentreOut,
                "this data centre is out; ask /v1/entries for others",
            );
        }
        Ok(())
    }

    /// Sends a request to backend servers until one answers.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] of the last try.
    pub(crate) async fn run(
        self: &Arc<Self>,
        call: &Call,
        deadline: Instant,
    ) -> Result<(Answer, Sent), Refusal> {
        let mut refused: FastSet<BackendName> = FastSet::default();
        self.routes().budget.deposit();
        let client = if matches!(call.kind, Kind::Once(_)) { &self.fresh } else { &self.pooled };
        let mut tries = 0;
        loop {
            tries += 1;
            let view = self.view.get();
            let candidates = self.candidates(&view, call, &refused);
            let Some(candidate) = self.choose(&candidates) else {
                return Err(self.nothing_live(&view, call, &refused));
            };
            let sent = self.sent(&candidate.name);
            let Tried { result, load } = forward(client, call, candidate.address, deadline).await;
            if let Some(load) = load {
                let now = self.start.elapsed();
                self.routes().hints.update(&candidate.name, load.running, load.limit, now);
            }
            let refusal = match result {
                Ok(answer) => return Ok((answer, sent)),
                Err(refusal) => refusal,
            };
            self.stay_away(&candidate.name, &refusal);
            refused.insert(candidate.name.clone());
            let harmless = refusal.ran == Ran::NotRun || call.kind == Kind::Idempotent;
            let timely = Instant::now() < deadline && refusal.code != Code::DeadlinePassed;
            if !harmless || !timely || tries == TRIES_MAX || !self.routes().budget.withdraw() {
                log::info!("event=given_up request={} tries={tries} {refusal}", call.id);
                return Err(refusal);
            }
            metrics::counter!("egret_entry_retries_total").increment(1);
        }
    }

    fn candidates(
        &self,
        view: &View,
        call: &Call,
        refused: &FastSet<BackendName>,
    ) -> Vec<Candidate> {
        view.backends
            .values()
            .filter(|backend| view.may_serve(backend, &call.record))
            .filter(|backend| !refused.contains(&backend.name))
            .map(|backend| Candidate {
                name: backend.name.clone(),
                address: backend.address,
                limit: backend.limit,
                near: backend.data_centre == self.data_centre,
            })
            .collect()
    }

    fn choose(&self, candidates: &[Candidate]) -> Option<Candidate> {
        let now = self.start.elapsed();
        let Routes { hints, random, .. } = &mut *self.routes();
        choose(candidates, hints, now, random).cloned()
    }

    fn sent(self: &Arc<Self>, name: &BackendName) -> Sent {
        self.routes().hints.start(name);
        Sent { dispatch: self.clone(), name: name.clone() }
    }

    fn stay_away(&self, name: &BackendName, refusal: &Refusal) {
        let wait = refusal.retry_ms.map_or(CLOSED_TIME, Duration::from_millis);
        let now = self.start.elapsed();
        self.routes().hints.pause(name, wait.min(CLOSED_TIME), now);
    }

    fn nothing_live(&self, view: &View, call: &Call, refused: &FastSet<BackendName>) -> Refusal {
        if refused.is_empty() {
            let live = view.live_replicas(&call.record);
            let message = format!(
                "record {:?} has {live} live backend servers in service; come back later",
                call.record.name.as_str()
            );
            return Refusal::not_run(Code::NoBackend, message).retry_after(NOTHING_LIVE);
        }
        let message = "all backend servers of the record refused; come back later";
        Refusal::not_run(Code::Overloaded, message).retry_after(CLOSED_TIME)
    }

    fn routes(&self) -> MutexGuard<'_, Routes> {
        self.routes.lock().expect("no holder of the lock panics")
    }
}
