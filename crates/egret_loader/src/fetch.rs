//! Fetches what is missing.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
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

/// Pieces that are read back and verified at the same time.
const VERIFY_WINDOW: usize = 12;
/// Longest wait for a piece from another agent.
const AGENT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time for which an agent that failed is passed over.
const SUSPECT_TIME: Duration = Duration::from_millis(1_500);
/// Time for which an agent that does not know the version is passed over; it may learn of it.
const UNKNOWN_TIME: Duration = Duration::from_millis(300);
/// Pause before the origin is asked again after a failure.
const ORIGIN_PAUSE: Duration = Duration::from_millis(150);
/// Pause before sources are looked at again when none can be asked for some piece.
const SOURCE_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a piece list from another agent.
const LIST_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait for an answer of the origin, whose link all share.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Fetches pieces for one engine.
pub struct Fetcher<E, O, P> {
    pub(crate) engine: Rc<E>,
    pub(crate) origin: Rc<O>,
    peers: P,
    pub(crate) window: FetchWindow,
    /// Bytes of the last piece that came.
    pub(crate) piece_bytes: Cell<usize>,
    /// Agents that failed, with when they are asked again.
    suspects: RefCell<FastMap<SocketAddr, Instant>>,
    peer_progress: RefCell<PeerProgress>,
    staging: Rc<Staging>,
}

/// What an agent said of a piece.
enum Piece {
    /// Here it is.
    Here(Bytes),
    /// It has none yet, but so many others.
    Later(usize),
    /// It does not fetch the version, or has not heard of it yet.
    Unknown,
    /// It cannot be reached.
    Never,
}

impl<E, O, P> std::fmt::Debug for Fetcher<E, O, P> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fetcher").field("window", &self.window).finish_non_exhaustive()
    }
}

impl<E: Engine, O: Origin, P: Peers> Fetcher<E, O, P> {
    /// Fetches from `origin` and `peers` what `engine` lacks of what `staging` names.
    pub fn new(engine: Rc<E>, origin: O, peers: P, staging: Rc<Staging>) -> Self {
        Self {
            engine,
            origin: Rc::new(origin),
            peers,
            window: FetchWindow::default(),
            piece_bytes: Cell::new(0),
            suspects: RefCell::default(),
            peer_progress: RefCell::default(),
            staging,
        }
    }

    /// Asks the origin which version of a model is the newest.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] when the origin fails or says nothing for too long.
    pub async fn newest(&self, model: &str) -> Result<WeightVersion, EngineError> {
        Ok(self.list_of_origin(model, None).await?.0)
    }

    async fn list_of_origin(
        &self,
        model: &str,
        version: Option<WeightVersion>,
    ) -> Result<(WeightVersion, PieceList), EngineError> {
        let asked = self.origin.list(model, version);
        timeout(ORIGIN_TIMEOUT, asked).await.map_err(|_| too_late("origin"))?
    }

    /// Fetches the piece list of a version.
    pub(crate) async fn list(
        &self,
        target: &Target,
        sources: &[Source],
    ) -> Result<PieceList, EngineError> {
        for source in sources {
            let list = match source {
                Source::Agent(address) => self.list_of_agent(*address, target).await,
                Source::Origin => {
                    Some(self.list_of_origin(&target.model, Some(target.version)).await?.1)
                }
            };
            if let Some(list) = list {
                return Ok(list);
            }
        }
        Err(too_late("any agent"))
    }

    /// Counts as staged what lies at the engine and is right.
    pub(crate) async fn recover(&self, staged: &StagedVersion) {
        match self.engine.staged(&staged.target.model).await {
            Ok(indexes) => self.verify(staged, indexes).await,
            Err(error) => log::warn!("event=staged_not_listed error=\"{error}\""),
        }
    }

    /// Reads pieces back from the engine and forgets those that are not right.
    pub(crate) async fn verify(&self, staged: &StagedVersion, indexes: Vec<u32>) {
        let checks = stream::iter(indexes).map(async |index| {
            let read = self.engine.read(&staged.target.model, index).await;
            let right = matches!(&read, Ok(Some(one)) if staged.list.accepts(index, one));
            (index, right)
        });
        let mut checks = std::pin::pin!(checks.buffer_unordered(VERIFY_WINDOW));
        while let Some((index, right)) = checks.next().await {
            if right {
                staged.insert(index);
            } else {
                staged.remove(index);
            }
        }
    }

    /// Fetches all that is missing, until `unwanted` ends.
    pub async fn fetch_missing(
        &self,
        staged: &StagedVersion,
        sources: impl Fn(u32) -> Vec<Source>,
        unwanted: impl Future<Output = ()>,
    ) {
        self.window.reset();
        self.peer_progress.borrow_mut().clear();
        let fetches = self.fetch_all(staged, &sources);
        tokio::select! {
            () = fetches => {}
            () = unwanted => {}
        }
    }

    /// Fetches pieces until none is missing; those that lie there may turn bad meanwhile.
    async fn fetch_all(&self, staged: &StagedVersion, sources: &impl Fn(u32) -> Vec<Source>) {
        let mut queue = FetchQueue::new(fetch_order(staged.missing(), sources));
        let mut running = FuturesUnordered::new();
        loop {
            if staged.count() + queue.len() < staged.list.count() as usize {
                queue.requeue(&staged.missing());
            }
            let best =
                |index, retry_state: &_| self.best(&sources(index), retry_state, staged.count());
            while let Some(mut asked) = queue.next(self.window.size(), best) {
                running.push(async move {
                    self.fetch(staged, &mut asked).await;
                    asked
                });
            }
            if queue.is_empty() {
                return;
            }
            // Those that no source can be asked for wait for one that is well again.
            match timeout(SOURCE_PAUSE, running.next()).await {
                Ok(Some(asked)) => {
                    let is_here = staged.has(asked.index);
                    queue.complete(asked, is_here);
                }
                Ok(None) => sleep(SOURCE_PAUSE).await,
                Err(_) => {}
            }
        }
    }

    /// Tries to fetch a piece once.
    async fn fetch(&self, staged: &StagedVersion, asked: &mut PieceRequest) {
        let PieceRequest { index, source, ref mut retry_state, .. } = *asked;
        let content = match source {
            Source::Agent(address) => match self.piece_of_agent(address, staged, index).await {
                Piece::Here(content) => Some(content),
                Piece::Later(progress) => {
                    retry_state.record_miss(address, progress);
                    if retry_state.is_too_slow(address, self.staging.origin_failure()) {
                        log::info!("event=agent_behind piece={index} agent={address}");
                    }
                    return;
                }
                Piece::Never => {
                    log::info!("event=agent_passed_over piece={index} agent={address}");
                    self.suspect(address, SUSPECT_TIME);
                    return;
                }
                Piece::Unknown => {
                    self.suspect(address, UNKNOWN_TIME);
                    return;
                }
            },
            Source::Origin => {
                // The agents may have caught up, and the origin is for everybody.
                retry_state.clear();
                self.piece_of_origin(&staged.target, index).await
            }
        };
        let Some(content) = content else {
            sleep(ORIGIN_PAUSE).await;
            return;
        };
        if !staged.list.accepts(index, &content) {
            log::warn!("event=piece_spoilt piece={index} from={source:?}");
            if let Source::Agent(address) = source {
                self.suspect(address, SUSPECT_TIME);
            }
            return;
        }
        let kind = if source == Source::Origin { "origin" } else { "agent" };
        metrics::counter!("egret_loader_pieces_total", "from" => kind).increment(1);
        log::debug!("event=piece_fetched piece={index} from={source:?}");
        self.piece_bytes.set(content.len());
        match self.engine.stage(&staged.target.model, index, content).await {
            Ok(()) => staged.insert(index),
            Err(error) => {
                log::warn!("event=piece_not_staged piece={index} error=\"{error}\"");
                sleep(ORIGIN_PAUSE).await;
            }
        }
    }

    /// Returns the first source that has not failed lately and is neither behind this agent,
    /// which has `own` pieces, nor asked in vain too often.
    ///
    /// When there is none it is the origin, but not at once.
    fn best(&self, sources: &[Source], retry_state: &RetryState, own: usize) -> Option<Source> {
        let now = Instant::now();
        let suspects = self.suspects.borrow();
        let peer_progress = self.peer_progress.borrow();
        let well = |source: &&Source| match source {
            Source::Agent(address) => {
                !retry_state.is_too_slow(*address, self.staging.origin_failure())
                    && !peer_progress.is_behind(*address, own, now)
                    && suspects.get(address).is_none_or(|until| now >= *until)
            }
            Source::Origin => sources.first() == Some(source) || retry_state.is_origin_due(),
        };
        sources.iter().find(well).copied()
    }

    fn suspect(&self, address: SocketAddr, time: Duration) {
        self.suspects.borrow_mut().insert(address, Instant::now() + time);
    }

    async fn piece_of_origin(&self, target: &Target, index: u32) -> Option<Bytes> {
        let asked = self.origin.piece(&target.model, target.version, index);
        let content = match timeout(ORIGIN_TIMEOUT, asked).await {
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
    async fn piece_of_agent(
        &self,
        address: SocketAddr,
        staged: &StagedVersion,
        index: u32,
    ) -> Piece {
        let began = Instant::now();
        self.peer_progress.borrow_mut().mark_asked(address, began);
        let asked = self.peers.piece(address, staged.target.key(), index);
        let answer = self.in_time(address, AGENT_TIMEOUT, asked).await;
        self.window.record(began.elapsed());
        let Some(answer) = answer else { return Piece::Never };
        if let Some(age) = answer.failure_age {
            self.staging.record_origin_failure(age);
        }
        if let Some(progress) = answer.progress {
            self.peer_progress.borrow_mut().record(address, progress, Instant::now());
        }
        match (answer.content, answer.progress) {
            (Some(content), _) => Piece::Here(content),
            (None, Some(progress)) => Piece::Later(progress),
            (None, None) => Piece::Unknown,
        }
    }

    async fn list_of_agent(&self, address: SocketAddr, target: &Target) -> Option<PieceList> {
        let asked = self.peers.list(address, target.key());
        self.in_time(address, LIST_TIMEOUT, asked).await
    }

    /// Waits for an answer of another agent, and leaves it when it says nothing for too long.
    async fn in_time<T>(
        &self,
        address: SocketAddr,
        limit: Duration,
        asked: impl Future<Output = Option<T>>,
    ) -> Option<T> {
        match timeout(limit, asked).await {
            Ok(answer) => answer,
            Err(_) => {
                log::debug!("event=agent_silent address={address}");
                self.peers.disconnect(address);
                None
            }
        }
    }
}

fn too_late(whom: &str) -> EngineError {
    EngineError::Unreachable(format!("{whom} did not answer in time"))
}
