//! Dispatch of requests to backend servers, with retries and draining.

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
    burn::BurnCounter,
    call::{Call, RetryPolicy},
    forward::{Answer, Attempt, forward},
};

/// Maximum number of attempts of one request.
const ATTEMPTS_MAX: u32 = 4;
/// Default and longest back-off from a backend server that refused, broke an answer or was
/// unreachable. Also `Retry-After` when all of them refused.
const BACK_OFF: Duration = Duration::from_millis(500);
/// `Retry-After` while no backend server of the record is live.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(2);
/// `Retry-After` while this entry has no lease, is draining, or its data centre is out of service.
const NOT_IN_SERVICE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// State shared by the traffic threads of an entry.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) data_centre: DataCentre,
    pub(crate) view: SharedView,
    pub(crate) lease: Lease,
    pub(crate) session: watch::Receiver<Option<SessionId>>,
    pub(crate) control: ControlHandle,
    pub(crate) deadline: Duration,
    pub(crate) burn: BurnCounter,
    start: Instant,
    pooled: HttpClient,
    unpooled: HttpClient,
    balancer: Mutex<Balancer>,
    draining: AtomicBool,
    running: AtomicUsize,
}

/// State for choosing a backend server and limiting retries.
#[derive(Debug)]
struct Balancer {
    hints: LoadHints,
    budget: RetryBudget,
    random: SmallRng,
}

/// Guard that counts a request of this entry as running until dropped.
#[derive(Debug)]
pub(crate) struct RunningGuard(Arc<Dispatch>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Guard that counts a request as in flight at a backend server until dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    dispatch: Arc<Dispatch>,
    name: BackendName,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.dispatch.balancer().hints.end(&self.name);
    }
}

/// Settings and handles from which a [`Dispatch`] is built.
pub(crate) struct DispatchSettings {
    /// The local address to connect from.
    pub(crate) local_ip: IpAddr,
    pub(crate) data_centre: DataCentre,
    pub(crate) view: SharedView,
    pub(crate) lease: Lease,
    pub(crate) session: watch::Receiver<Option<SessionId>>,
    pub(crate) control: ControlHandle,
    pub(crate) deadline: Duration,
    pub(crate) retry_percent: u32,
}

impl Dispatch {
    pub(crate) fn new(settings: DispatchSettings) -> Self {
        let balancer = Balancer {
            hints: LoadHints::default(),
            budget: RetryBudget::new(settings.retry_percent),
            random: SmallRng::seed_from_u64(rand::random()),
        };
        Self {
            data_centre: settings.data_centre,
            view: settings.view,
            lease: settings.lease,
            session: settings.session,
            control: settings.control,
            deadline: settings.deadline,
            burn: BurnCounter::default(),
            start: Instant::now(),
            pooled: HttpClient::pooled(Some(settings.local_ip)),
            unpooled: HttpClient::unpooled(Some(settings.local_ip)),
            balancer: Mutex::new(balancer),
            draining: AtomicBool::new(false),
            running: AtomicUsize::new(0),
        }
    }

    /// Stops accepting new requests.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Waits until no request is running.
    pub(crate) async fn wait_idle(&self) {
        /// Interval at which the number of running requests is checked.
        const CHECK_PERIOD: Duration = Duration::from_millis(5);
        while self.running.load(Ordering::Acquire) > 0 {
            sleep(CHECK_PERIOD).await;
        }
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        RunningGuard(self.clone())
    }

    /// Checks that this entry may accept a new request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] marked as not run while it may not.
    pub(crate) fn admit(&self, view: &View) -> Result<(), Refusal> {
        let refuse = |code, message| {
            Err(Refusal::not_run(code, message).retry_after(NOT_IN_SERVICE_RETRY_AFTER))
        };
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

    /// Sends a request to one backend server after another until one answers.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] of the last attempt; it says "not run" only if that holds for all.
    pub(crate) async fn run(
        self: &Arc<Self>,
        call: &Call,
        deadline: Instant,
    ) -> Result<(Answer, InFlight), Refusal> {
        let mut excluded: FastSet<BackendName> = FastSet::default();
        self.balancer().budget.deposit();
        let client =
            if matches!(call.retry, RetryPolicy::Once(_)) { &self.unpooled } else { &self.pooled };
        let mut attempts = 0;
        let mut ran = Ran::NotRun;
        loop {
            attempts += 1;
            let view = self.view.get();
            let candidates = self.candidates(&view, call, &excluded);
            let Some(candidate) = self.choose(&candidates) else {
                return Err(self.no_candidate(&view, call, &excluded).after_attempts(ran));
            };
            let in_flight = self.start_at(&candidate.name);
            let Attempt { result, load } = forward(client, call, candidate.address, deadline).await;
            if let Some(load) = load {
                let now = self.start.elapsed();
                self.balancer().hints.update(&candidate.name, load.running, load.limit, now);
            }
            let refusal = match result {
                Ok(answer) => return Ok((answer, in_flight)),
                Err(refusal) => refusal,
            };
            self.back_off(&candidate.name, &refusal);
            if refusal.ran == Ran::Unknown {
                ran = Ran::Unknown;
            }
            excluded.insert(candidate.name.clone());
            let safe = refusal.ran == Ran::NotRun || call.retry == RetryPolicy::Idempotent;
            let in_time = Instant::now() < deadline && refusal.code != Code::DeadlinePassed;
            if !safe || !in_time || attempts == ATTEMPTS_MAX || !self.balancer().budget.withdraw() {
                let refusal = refusal.after_attempts(ran);
                log::info!(
                    "event=request_failed request={} attempts={attempts} {refusal}",
                    call.id
                );
                return Err(refusal);
            }
            metrics::counter!("egret_entry_retries_total").increment(1);
        }
    }

    fn candidates(
        &self,
        view: &View,
        call: &Call,
        excluded: &FastSet<BackendName>,
    ) -> Vec<Candidate> {
        view.backends
            .values()
            .filter(|backend| view.may_serve(backend, &call.record))
            .filter(|backend| !excluded.contains(&backend.name))
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
        let Balancer { hints, random, .. } = &mut *self.balancer();
        choose(candidates, hints, now, random).cloned()
    }

    fn start_at(self: &Arc<Self>, name: &BackendName) -> InFlight {
        self.balancer().hints.start(name);
        InFlight { dispatch: self.clone(), name: name.clone() }
    }

    fn back_off(&self, name: &BackendName, refusal: &Refusal) {
        let wait = refusal.retry_ms.map_or(BACK_OFF, Duration::from_millis);
        let now = self.start.elapsed();
        self.balancer().hints.pause(name, wait.min(BACK_OFF), now);
    }

    fn no_candidate(&self, view: &View, call: &Call, excluded: &FastSet<BackendName>) -> Refusal {
        if excluded.is_empty() {
            let live = view.live_replicas(&call.record);
            let message = format!(
                "record {:?} has {live} live backend servers in service; come back later",
                call.record.name.as_str()
            );
            return Refusal::not_run(Code::NoBackend, message).retry_after(NO_BACKEND_RETRY_AFTER);
        }
        let message = "all backend servers of the record refused; come back later";
        Refusal::not_run(Code::Overloaded, message).retry_after(BACK_OFF)
    }

    fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().expect("the lock is not poisoned")
    }
}
