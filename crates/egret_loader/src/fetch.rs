//! Fetches missing pieces.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    ops::RangeInclusive,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use egret_record::{FastMap, WeightVersion};
use egret_weights::PieceList;
use futures::{
    StreamExt as _,
    stream::{self, FuturesUnordered},
};
use rand::RngExt as _;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    engine::{Engine, EngineError, Origin},
    peer::Peers,
    peer_progress::PeerProgress,
    queue::{FetchQueue, PieceRequest, RetryState},
    sources::{Source, fetch_order},
    staging::{StagedVersion, Staging, Target},
    window::FetchWindow,
};

/// Pieces that are read back and verified concurrently.
const VERIFY_WINDOW: usize = 12;
/// How often the engine is asked for a piece that it does not answer for.
const READ_ATTEMPTS: usize = 3;
/// Timeout of a piece request to another agent.
const AGENT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Back-off from an agent that failed.
const FAILURE_BACK_OFF: Duration = Duration::from_millis(1_500);
/// Back-off from an agent that does not know the version yet; it may learn of it soon.
const UNKNOWN_BACK_OFF: Duration = Duration::from_millis(300);
/// Delay before a retry when staging failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Bounds of the random delay before a retry when the origin failed, in milliseconds. Only the
/// seeders ask the origin, so this bounds the requests of all agents; the first one that gets an
/// answer uses the origin's whole link, so they must not all ask at the same moment.
const ORIGIN_RETRY_MILLIS: RangeInclusive<u64> = 75..=225;
/// Age up to which a failure of the origin explains that no pieces arrive: agents tell each other of
/// it with each answer, so it takes some hundred milliseconds to reach all.
const FAILURE_TTL: Duration = Duration::from_millis(1_500);
/// Time in an outage in which retries are still delayed, so that most pieces are asked for once: the
/// time limit for an agent that is too slow with a piece begins with its first miss.
const FIRST_ROUND_TIME: Duration = Duration::from_secs(2);
/// Time after an outage in which pieces that are asked for in vain are most likely on their way:
/// the origin's link needs about as long for a whole version.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Interval at which sources are checked again while some piece has none available.
const SOURCE_PERIOD: Duration = Duration::from_millis(50);
/// Timeout of a piece list request to another agent.
const LIST_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a request to the origin, whose link all agents share.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Fetches pieces for one engine.
pub struct Fetcher<E, O, P> {
    pub(crate) engine: Rc<E>,
    pub(crate) origin: Rc<O>,
    peers: P,
    pub(crate) window: FetchWindow,
    /// Size of the last piece received, in bytes.
    pub(crate) piece_bytes: Cell<usize>,
    /// When a piece was last received.
    received_at: Cell<Option<Instant>>,
    /// Since when an outage of the origin has held up all pieces.
    held_up_since: Cell<Option<Instant>>,
    /// Until when an outage of the origin explains misses.
    held_up_until: Cell<Option<Instant>>,
    /// Agents that are not asked for now, with the end of the back-off.
    back_offs: RefCell<FastMap<SocketAddr, Instant>>,
    peer_progress: RefCell<PeerProgress>,
    staging: Rc<Staging>,
}

/// The result of asking an agent for a piece.
enum PeerResult {
    /// The content of the piece.
    Found(Bytes),
    /// The agent does not have the piece yet; it has this many others.
    Pending(usize),
    /// The agent does not fetch the version, or does not know of it yet.
    Unknown,
    /// The agent cannot be reached, or did not answer in time.
    Unreachable,
}

impl<E, O, P> std::fmt::Debug for Fetcher<E, O, P> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fetcher").field("window", &self.window).finish_non_exhaustive()
    }
}

impl<E: Engine, O: Origin, P: Peers> Fetcher<E, O, P> {
    /// Creates a fetcher that stages pieces from `origin` and `peers` at `engine`.
    pub fn new(engine: Rc<E>, origin: O, peers: P, staging: Rc<Staging>) -> Self {
        Self {
            engine,
            origin: Rc::new(origin),
            peers,
            window: FetchWindow::default(),
            piece_bytes: Cell::new(0),
            received_at: Cell::new(None),
            held_up_since: Cell::new(None),
            held_up_until: Cell::new(None),
            back_offs: RefCell::default(),
            peer_progress: RefCell::default(),
            staging,
        }
    }

    /// Queries the newest version of a model from the origin.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] when the origin fails or does not answer in time.
    pub async fn newest(&self, model: &str) -> Result<WeightVersion, EngineError> {
        Ok(self.list_from_origin(model, None).await?.0)
    }

    async fn list_from_origin(
        &self,
        model: &str,
        version: Option<WeightVersion>,
    ) -> Result<(WeightVersion, PieceList), EngineError> {
        let request = self.origin.list(model, version);
        timeout(ORIGIN_TIMEOUT, request).await.map_err(|_| timed_out("origin"))?
    }

    /// Fetches the piece list of a version.
    pub(crate) async fn list(
        &self,
        target: &Target,
        sources: &[Source],
    ) -> Result<PieceList, EngineError> {
        for source in sources {
            let list = match source {
                Source::Agent(address) => self.list_from_agent(*address, target).await,
                Source::Origin => {
                    Some(self.list_from_origin(&target.model, Some(target.version)).await?.1)
                }
            };
            if let Some(list) = list {
                return Ok(list);
            }
        }
        Err(timed_out("any agent"))
    }

    /// Records the pieces that the engine still holds and that pass verification.
    pub async fn recover(&self, staged: &StagedVersion) {
        match self.engine.staged(&staged.target.model).await {
            Ok(indexes) => drop(self.verify(staged, indexes).await),
            Err(error) => log::warn!("event=staged_list_failed error=\"{error}\""),
        }
    }

    /// Reads pieces back from the engine and records whether they are intact; returns those that
    /// the engine did not answer for.
    pub(crate) async fn verify(&self, staged: &StagedVersion, indexes: Vec<u32>) -> Vec<u32> {
        let (started, read) = (Instant::now(), indexes.len());
        let (mut corrupt, mut slowest, mut unanswered) = (0, Duration::ZERO, Vec::new());
        let checks = stream::iter(indexes).map(async |index| {
            let asked = Instant::now();
            let read = self.staging.read(&*self.engine, &staged.target.model, index).await;
            let is_intact = |content: Option<Bytes>| {
                content.is_some_and(|content| staged.list.accepts(index, &content))
            };
            (index, read.map(is_intact), asked)
        });
        let mut checks = std::pin::pin!(checks.buffer_unordered(VERIFY_WINDOW));
        while let Some((index, intact, asked)) = checks.next().await {
            slowest = slowest.max(asked.elapsed());
            match intact {
                Ok(true) => staged.insert(index, asked),
                Ok(false) => {
                    corrupt += 1;
                    staged.remove(index);
                }
                Err(_) => unanswered.push(index),
            }
        }
        log::info!(
            "event=pieces_verified version={} read={read} corrupt={corrupt} unanswered={} \
             took_ms={} slowest_ms={}",
            staged.target.version,
            unanswered.len(),
            started.elapsed().as_millis(),
            slowest.as_millis()
        );
        unanswered
    }

    /// Reads all pieces back from the engine; returns whether each is intact.
    ///
    /// Asks again for pieces that the engine did not answer for, unless others are corrupt.
    pub(crate) async fn verify_all(&self, staged: &StagedVersion) -> bool {
        let mut remaining: Vec<u32> = (0..staged.list.count()).collect();
        for _ in 0..READ_ATTEMPTS {
            remaining = self.verify(staged, remaining).await;
            if remaining.is_empty() || !staged.missing().is_empty() {
                break;
            }
        }
        remaining.is_empty() && staged.missing().is_empty()
    }

    pub(crate) fn engine(&self) -> &E {
        &self.engine
    }

    /// Fetches all missing pieces; stops early when `cancelled` completes.
    pub async fn fetch_missing(
        &self,
        staged: &StagedVersion,
        sources: impl Fn(u32) -> Vec<Source>,
        cancelled: impl Future<Output = ()>,
    ) {
        self.window.reset();
        self.peer_progress.borrow_mut().clear();
        let fetches = self.fetch_all(staged, &sources);
        tokio::select! {
            () = fetches => {}
            () = cancelled => {}
        }
    }

    /// Fetches pieces until none is missing; staged ones may become corrupt meanwhile.
    async fn fetch_all(&self, staged: &StagedVersion, sources: &impl Fn(u32) -> Vec<Source>) {
        let mut queue = FetchQueue::new(fetch_order(staged.missing(), sources));
        let mut in_flight = FuturesUnordered::new();
        loop {
            if staged.count() + queue.len() < staged.list.count() as usize {
                queue.requeue(&staged.missing());
            }
            let best =
                |index, retry_state: &_| self.best(&sources(index), retry_state, staged.count());
            while let Some(mut request) = queue.next(self.window.size(), best) {
                in_flight.push(async move {
                    self.fetch(staged, &mut request).await;
                    request
                });
            }
            if queue.is_empty() {
                return;
            }
            // Pieces without an available source wait until one becomes available again.
            match timeout(SOURCE_PERIOD, in_flight.next()).await {
                Ok(Some(request)) => {
                    let received = staged.contains(request.index);
                    queue.complete(request, received);
                }
                Ok(None) => sleep(SOURCE_PERIOD).await,
                Err(_) => {}
            }
        }
    }

    /// Makes one attempt to fetch a piece.
    async fn fetch(&self, staged: &StagedVersion, request: &mut PieceRequest) {
        let PieceRequest { index, source, ref mut retry_state, .. } = *request;
        let content = match source {
            Source::Agent(address) => match self.piece_from_agent(address, staged, index).await {
                PeerResult::Found(content) => Some(content),
                PeerResult::Pending(progress) => {
                    retry_state.record_miss(address, progress, self.is_held_up());
                    if retry_state.is_too_slow(address, self.staging.origin_failure()) {
                        log::info!("event=agent_behind piece={index} agent={address}");
                    }
                    return;
                }
                PeerResult::Unreachable => {
                    log::info!("event=agent_unreachable piece={index} agent={address}");
                    self.back_off(address, FAILURE_BACK_OFF);
                    return;
                }
                PeerResult::Unknown => {
                    self.back_off(address, UNKNOWN_BACK_OFF);
                    return;
                }
            },
            Source::Origin => {
                // The agents may have caught up, and the origin's link is shared by all.
                retry_state.clear();
                self.piece_from_origin(&staged.target, index).await
            }
        };
        let Some(content) = content else {
            sleep(Duration::from_millis(rand::rng().random_range(ORIGIN_RETRY_MILLIS))).await;
            return;
        };
        if !staged.list.accepts(index, &content) {
            log::warn!("event=piece_corrupt piece={index} from={source:?}");
            if let Source::Agent(address) = source {
                self.back_off(address, FAILURE_BACK_OFF);
            }
            return;
        }
        let kind = if source == Source::Origin { "origin" } else { "agent" };
        metrics::counter!("egret_loader_pieces_total", "from" => kind).increment(1);
        log::debug!("event=piece_fetched piece={index} from={source:?}");
        self.piece_bytes.set(content.len());
        let asked = Instant::now();
        self.received_at.set(Some(asked));
        staged.record_staged();
        let stored = self.engine.stage(&staged.target.model, index, content).await;
        staged.record_staged();
        match stored {
            Ok(()) => staged.insert(index, asked),
            Err(error) => {
                log::warn!("event=piece_stage_failed piece={index} error=\"{error}\"");
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Returns the first available source.
    ///
    /// An agent is available unless it failed lately, is too slow with this piece, or is behind
    /// this agent, which has `own` pieces. Without an available agent the origin is asked, after
    /// a delay.
    fn best(&self, sources: &[Source], retry_state: &RetryState, own: usize) -> Option<Source> {
        let now = Instant::now();
        let back_offs = self.back_offs.borrow();
        let peer_progress = self.peer_progress.borrow();
        let is_available = |source: &&Source| match source {
            Source::Agent(address) => {
                !retry_state.is_too_slow(*address, self.staging.origin_failure())
                    && !peer_progress.is_behind(*address, own, now)
                    && back_offs.get(address).is_none_or(|until| now >= *until)
            }
            Source::Origin => sources.first() == Some(source) || retry_state.is_origin_due(),
        };
        sources.iter().find(is_available).copied()
    }

    /// Returns whether an outage of the origin holds up all pieces, or did shortly before.
    ///
    /// If only some agents cannot reach the origin, pieces still arrive from others.
    fn is_held_up(&self) -> bool {
        let now = Instant::now();
        let is_out = self.staging.origin_failure().is_some_and(|failed| {
            failed + FAILURE_TTL > now
                && self.received_at.get().is_none_or(|received| received < failed)
        });
        let since = is_out.then(|| self.held_up_since.get().unwrap_or(now));
        self.held_up_since.set(since);
        if since.is_some_and(|since| since + FIRST_ROUND_TIME <= now) {
            self.held_up_until.set(Some(now + RECOVERY_TIME));
        }
        self.held_up_until.get().is_some_and(|until| now < until)
    }

    fn back_off(&self, address: SocketAddr, time: Duration) {
        self.back_offs.borrow_mut().insert(address, Instant::now() + time);
    }

    async fn piece_from_origin(&self, target: &Target, index: u32) -> Option<Bytes> {
        let request = self.origin.piece(&target.model, target.version, index);
        let content = match timeout(ORIGIN_TIMEOUT, request).await {
            Ok(Ok(content)) => Some(content),
            Ok(Err(error)) => {
                log::info!("event=origin_failed piece={index} error=\"{error}\"");
                None
            }
            Err(_) => {
                log::info!("event=origin_silent piece={index}");
                None
            }
        };
        if content.is_none() {
            self.staging.record_origin_failure(Duration::ZERO);
        }
        content
    }

    /// Asks another agent for a piece.
    async fn piece_from_agent(
        &self,
        address: SocketAddr,
        staged: &StagedVersion,
        index: u32,
    ) -> PeerResult {
        let started = Instant::now();
        self.peer_progress.borrow_mut().mark_asked(address, started);
        let request = self.peers.piece(address, staged.target.key(), index);
        let answer = self.with_timeout(address, AGENT_TIMEOUT, request).await;
        self.window.record(started.elapsed());
        let Some(answer) = answer else { return PeerResult::Unreachable };
        if let Some(age) = answer.failure_age {
            self.staging.record_origin_failure(age);
        }
        if let Some(progress) = answer.progress {
            self.peer_progress.borrow_mut().record(address, progress, Instant::now());
        }
        match (answer.content, answer.progress) {
            (Some(content), _) => PeerResult::Found(content),
            (None, Some(progress)) => PeerResult::Pending(progress),
            (None, None) => PeerResult::Unknown,
        }
    }

    async fn list_from_agent(&self, address: SocketAddr, target: &Target) -> Option<PieceList> {
        let request = self.peers.list(address, target.key());
        self.with_timeout(address, LIST_TIMEOUT, request).await
    }

    /// Waits for an answer of another agent, and disconnects from it on a timeout.
    async fn with_timeout<T>(
        &self,
        address: SocketAddr,
        limit: Duration,
        request: impl Future<Output = Option<T>>,
    ) -> Option<T> {
        match timeout(limit, request).await {
            Ok(answer) => answer,
            Err(_) => {
                log::debug!("event=agent_timed_out address={address}");
                self.peers.disconnect(address);
                None
            }
        }
    }
}

fn timed_out(source: &str) -> EngineError {
    EngineError::Unreachable(format!("{source} did not answer in time"))
}
