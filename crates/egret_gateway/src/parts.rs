//! Parts of prompts, and requests, that crash backend servers: what this entry has seen, and what is
//! blocked.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use egret_fleet::Fleet;
use egret_quarantine::{SURVIVAL_TIME, Witness};
use egret_record::{BlockedPart, FastMap, PartId};
use egret_route::{Code, Failure, Refusal};
use egret_rpc::{Command, Reply, Request};
use futures::{StreamExt as _, stream::FuturesUnordered};
use imbl::OrdMap;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{backend::Backend, exchange::Job, gateway::Gateway};

/// Range of times after which a caller may retry a request with a blocked part, in milliseconds.
const BLOCKED_RETRY_DELAY_MS: std::ops::Range<u64> = 30_000..60_000;
/// Number of backend servers that one request of a caller may crash.
const BREAKS_MAX: u32 = 2;
/// The same for a request that is suspected already, as its copies broke others.
const SUSPECT_BREAKS_MAX: u32 = 1;
/// Timeout of a request to the leader.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// What an entry knows of the parts of prompts, and of requests that callers send repeatedly.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    witness: RefCell<Witness>,
    /// Triggered when the leader may have to be told something.
    report_needed: Notify,
    /// Backend servers of which it is to be found out whether they have ended.
    unprobed: RefCell<Vec<Rc<Backend>>>,
    probe_needed: Notify,
    /// When this entry last claimed the trial of a blocked part.
    claims: RefCell<FastMap<PartId, Duration>>,
}

/// Whether a request may be sent, by what it shares with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    Free,
    /// As the trial of a blocked part.
    Trial(PartId),
    Blocked {
        part: PartId,
        /// Whether its trial is open, and no other part is blocked.
        trial_open: bool,
    },
}

impl Gateway {
    /// Records that an answer broke for reasons that a crash of its backend server may explain.
    ///
    /// `began` is when the backend server began to write the answer, if it did.
    pub(crate) fn record_break(&self, backend: &Rc<Backend>, job: &Job, began: Option<Duration>) {
        let now = self.now();
        if began.is_some_and(|began| now >= began + SURVIVAL_TIME) {
            return;
        }
        let status = backend.status.borrow();
        let incarnation = status.stamp.incarnation;
        job.breaks.borrow_mut().push((status.id.clone(), incarnation));
        let mut witness = self.parts.witness.borrow_mut();
        if !witness.record_break(&status.id, incarnation, &job.parts, now) {
            self.parts.report_needed.notify_one();
        } else if !backend.end_probed.replace(true) {
            self.parts.unprobed.borrow_mut().push(backend.clone());
            self.parts.probe_needed.notify_one();
        }
    }

    /// Records that a backend server refuses connections: no process listens there any more.
    pub(crate) fn record_end(&self, backend: &Backend) {
        let status = backend.status.borrow();
        let mut witness = self.parts.witness.borrow_mut();
        if witness.record_end(&status.id, status.stamp.incarnation, self.now()) {
            self.parts.report_needed.notify_one();
        }
    }

    /// Records that an answer was written to its end, or since `began` without a crash.
    pub(crate) fn record_answer(&self, parts: &[PartId], began: Duration) {
        let at = self.now().min(began + SURVIVAL_TIME);
        if self.parts.witness.borrow_mut().record_answer(parts, at) {
            self.parts.report_needed.notify_one();
        }
    }

    /// Records that an answer ended with its connection, which began at `began`.
    pub(crate) fn record_close(&self, backend: &Backend, job: &Job, began: Duration) {
        let now = self.now();
        if now >= began + SURVIVAL_TIME {
            self.record_answer(&job.parts, began);
        } else {
            let status = backend.status.borrow();
            let incarnation = status.stamp.incarnation;
            let mut witness = self.parts.witness.borrow_mut();
            witness.record_close(&status.id, incarnation, &job.parts, now);
            self.parts.report_needed.notify_one();
        }
    }

    /// Returns whether a request has crashed as many servers as it may, or may have.
    pub(crate) fn is_out_of_breaks(&self, job: &Job) -> bool {
        self.breaks_left(job).0 == 0
    }

    /// Waits until it is known whether the servers ended at which a request broke, if that decides
    /// whether it may be tried again.
    pub(crate) async fn settle_breaks(&self, job: &Job) {
        /// Longest wait; some more than two probes of a server that runs.
        const SETTLE_TIME: Duration = Duration::from_millis(200);
        /// Interval at which the probes are checked.
        const CHECK_PERIOD: Duration = Duration::from_millis(10);
        let deadline = self.now() + SETTLE_TIME;
        while matches!(self.breaks_left(job), (0, 1..)) && self.now() < deadline {
            sleep(CHECK_PERIOD).await;
        }
    }

    /// Returns how many more servers a request may crash, and of how many it is not known yet
    /// whether it has.
    fn breaks_left(&self, job: &Job) -> (u32, u32) {
        let witness = self.parts.witness.borrow();
        let is_suspected = job.parts.first().is_some_and(|whole| witness.is_watched(*whole));
        let most = if is_suspected { SUSPECT_BREAKS_MAX } else { BREAKS_MAX };
        let (ended, unknown) = witness.ends(&job.breaks.borrow());
        (most.saturating_sub(ended), unknown)
    }

    /// Returns whether a request may be sent, by what it shares with others.
    fn admission(&self, job: &Job) -> Admission {
        let tables = self.tables();
        if tables.blocked.is_empty() {
            return Admission::Free;
        }
        let parts = job.parts.iter();
        let mut blocked = parts.filter_map(|part| Some((*part, tables.blocked.get(part)?)));
        let Some((part, block)) = blocked.next() else { return Admission::Free };
        let is_only = blocked.next().is_none();
        if is_only && job.trial.get() == Some(part) {
            return Admission::Trial(part);
        }
        Admission::Blocked { part, trial_open: is_only && block.trial_open }
    }

    /// Checks that neither a request nor a part of its prompt is blocked, or that it may be a trial.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that says "not run" otherwise.
    pub(crate) async fn check_parts(&self, job: &Job) -> Result<(), Refusal> {
        let Admission::Blocked { part, trial_open } = self.admission(job) else { return Ok(()) };
        if trial_open && self.claim_trial(part).await {
            job.trial.set(Some(part));
            return Ok(());
        }
        metrics::counter!("egret_gateway_part_blocked_total").increment(1);
        let message = if part.is_request() {
            "this request crashes backend servers; change it, or come back later".to_owned()
        } else {
            format!(
                "part {part} of the prompt crashes backend servers; leave it out, or come back later"
            )
        };
        let refusal = Refusal::not_run(Code::PartBlocked, message);
        Err(self.with_retry_after(refusal, BLOCKED_RETRY_DELAY_MS))
    }

    /// Claims the trial of a blocked part, which one entry at most gets.
    async fn claim_trial(&self, part: PartId) -> bool {
        let now = self.now();
        let claimed = self.parts.claims.borrow().get(&part).copied();
        if claimed.is_some_and(|claimed| now < claimed + REPLY_TIMEOUT) {
            return false;
        }
        self.parts.claims.borrow_mut().insert(part, now);
        let request = Request::from(Command::ClaimTrial(part));
        let reply = self.follower.call_leader(&request, REPLY_TIMEOUT).await;
        matches!(reply, Some(Reply::Accepted { .. }))
    }

    /// Returns whether a request may be sent now; uses up the trial that allows it.
    pub(crate) fn use_admission(&self, job: &Job) -> bool {
        match self.admission(job) {
            Admission::Free => true,
            Admission::Trial(part) => {
                log::info!("event=part_tried part={part} request={}", job.call.id);
                job.trial.set(None);
                true
            }
            Admission::Blocked { .. } => false,
        }
    }

    /// Takes over which parts are suspected and blocked.
    pub(crate) fn refresh_parts(&self, fleet: &Fleet, blocked: &OrdMap<PartId, BlockedPart>) {
        let before = self.tables().blocked.clone();
        let mut witness = self.parts.witness.borrow_mut();
        for (part, block) in blocked {
            if before.get(part) != Some(block) {
                let BlockedPart { trials, trial_open, .. } = block;
                log::info!(
                    "event=part_blocked part={part} trials={trials} trial_open={trial_open}"
                );
            }
        }
        for part in before.keys().filter(|part| !blocked.contains_key(*part)) {
            log::info!("event=part_released part={part}");
            witness.forget(*part);
        }
        self.parts.claims.borrow_mut().retain(|part, _| blocked.contains_key(part));
        let suspects = fleet.suspects();
        let parts = suspects.map(|suspects| suspects.parts.as_slice()).unwrap_or_default();
        let watched: Vec<_> = parts.iter().chain(blocked.keys()).copied().collect();
        witness.watch(&watched, suspects.map_or(0, |suspects| suspects.stamp.incarnation));
        self.parts.report_needed.notify_one();
    }

    /// Tells the leader of crashes, and of suspected parts that were answered; runs until dropped.
    pub(crate) async fn run_part_reports(&self) {
        loop {
            let next = self.parts.witness.borrow().next_report();
            let wait = next.map_or(Duration::MAX, |next| next.saturating_sub(self.now()));
            let _ = timeout(wait, self.parts.report_needed.notified()).await;
            let Some(report) = self.parts.witness.borrow_mut().report(self.now()) else { continue };
            let request = Request::ReportParts(report);
            let reply = self.follower.call_leader(&request, REPLY_TIMEOUT).await;
            let mut witness = self.parts.witness.borrow_mut();
            match reply {
                Some(Reply::PartsRecorded { term }) => witness.apply(term, self.now()),
                _ => witness.fail(self.now()),
            }
        }
    }

    /// Finds out whether backend servers whose answers broke have ended; runs until dropped.
    pub(crate) async fn run_end_probes(&self) {
        let mut probes = FuturesUnordered::new();
        loop {
            for backend in self.parts.unprobed.take() {
                let address = backend.status.borrow().address;
                probes.push(async move { (backend, has_ended(address).await) });
            }
            let (backend, ended) = tokio::select! {
                () = self.parts.probe_needed.notified() => continue,
                Some(probed) = probes.next(), if !probes.is_empty() => probed,
            };
            match ended {
                Some(true) => {
                    backend.close_idle();
                    backend.breaker.borrow_mut().record_failure(Failure::Unreachable, self.now());
                    self.record_end(&backend);
                }
                Some(false) => {
                    let status = backend.status.borrow();
                    let mut witness = self.parts.witness.borrow_mut();
                    witness.record_running(&status.id, status.stamp.incarnation);
                    backend.end_probed.set(false);
                }
                None => backend.end_probed.set(false),
            }
        }
    }
}

/// Returns whether no process listens at an address any more; none if it does not answer.
async fn has_ended(address: SocketAddr) -> Option<bool> {
    /// Timeout for connecting; an instance without power never answers.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
    /// Time between two probes, since a process may close its connections before its port.
    const PROBE_DELAY: Duration = Duration::from_millis(60);
    const PROBES: u32 = 2;
    for probe in 0..PROBES {
        if probe > 0 {
            sleep(PROBE_DELAY).await;
        }
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Some(true);
            }
            Ok(Err(_)) | Err(_) => return None,
        }
    }
    Some(false)
}
