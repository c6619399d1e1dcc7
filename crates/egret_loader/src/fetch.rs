//! Fetches what is missing.

use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use egret_record::FastMap;
use egret_rpc::{Connections, schema::peer};
use egret_weights::PieceList;
use futures::{
    StreamExt as _,
    stream::{self, FuturesUnordered},
};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    engine::{Engine, EngineError, Origin},
    holdings::{Held, Target},
    neighbours::Neighbours,
    peer::NOT_FETCHING,
    queue::{Asked, Patience, Queue},
    sources::{Source, fetch_order},
    window::Window,
};

/// Pieces that are read back and verified at the same time.
const VERIFY_WINDOW: usize = 4;
/// Longest wait for a piece from another agent.
const AGENT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time for which an agent that failed is passed over.
const SUSPECT_TIME: Duration = Duration::from_millis(1_500);
/// Time for which an agent that does not know the version is passed over; it may learn of it.
const UNKNOWN_TIME: Duration = Duration::from_millis(300);
/// Pause before the origin is asked again after a failure.
const ORIGIN_PAUSE: Duration = Duration::from_millis(150);
/// Longest wait for a piece list from another agent.
const LIST_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait for an answer of the origin, whose link all share.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Fetches pieces for one engine.
pub(crate) struct Fetcher<E, O> {
    pub(crate) engine: Rc<E>,
    pub(crate) origin: Rc<O>,
    agents: Connections<peer::Client>,
    pub(crate) window: Window,
    /// Bytes of the last piece that came.
    pub(crate) piece_bytes: Cell<usize>,
    /// Agents that failed, with when they are asked again.
    suspects: RefCell<FastMap<SocketAddr, Instant>>,
    neighbours: RefCell<Neighbours>,
    /// When the origin failed last.
    origin_failed: Cell<Option<Instant>>,
}

/// What an agent said of a piece.
enum Piece {
    /// Here it is.
    Here(Bytes),
    /// It has none yet.
    Later,
    /// It does not fetch the version, or has not heard of it yet.
    Unknown,
    /// It cannot be reached.
    Never,
}

impl<E: Engine, O: Origin> Fetcher<E, O> {
    pub(crate) fn new(engine: Rc<E>, origin: O, own: IpAddr) -> Self {
        Self {
            engine,
            origin: Rc::new(origin),
            agents: Connections::new(own),
            window: Window::default(),
            piece_bytes: Cell::new(0),
            suspects: RefCell::default(),
            neighbours: RefCell::default(),
            origin_failed: Cell::new(None),
        }
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
                    let asked = self.origin.list(&target.model, Some(target.version));
                    let (_, list) =
                        timeout(ORIGIN_TIMEOUT, asked).await.map_err(|_| too_late("origin"))??;
                    Some(list)
                }
            };
            if let Some(list) = list {
                return Ok(list);
            }
        }
        Err(too_late("any agent"))
    }

    /// Counts as held what lies at the engine and is right.
    pub(crate) async fn recover(&self, held: &Held) {
        match self.engine.staged(&held.target.model).await {
            Ok(indexes) => self.verify(held, indexes).await,
            Err(error) => log::warn!("event=staged_not_listed error=\"{error}\""),
        }
    }

    /// Reads pieces back from the engine and forgets those that are not right.
    pub(crate) async fn verify(&self, held: &Held, indexes: Vec<u32>) {
        let checks = stream::iter(indexes).map(async |index| {
            let read = self.engine.read(&held.target.model, index).await;
            let right = matches!(&read, Ok(Some(one)) if held.list.accepts(index, one));
            (index, right)
        });
        let mut checks = std::pin::pin!(checks.buffer_unordered(VERIFY_WINDOW));
        while let Some((index, right)) = checks.next().await {
            if right {
                held.insert(index);
            } else {
                held.remove(index);
            }
        }
    }

    /// Fetches all that is missing, until `unwanted` ends.
    pub(crate) async fn fetch_missing(
        &self,
        held: &Held,
        sources: impl Fn(u32) -> Vec<Source>,
        unwanted: impl Future<Output = ()>,
    ) {
        self.window.restart();
        self.neighbours.borrow_mut().clear();
        let mut queue = Queue::new(fetch_order(held.missing(), &sources));
        let mut running = FuturesUnordered::new();
        let fetches = async {
            loop {
                let best = |index, patience: &_| self.best(&sources(index), patience, held.count());
                while let Some(mut asked) = queue.next(self.window.size(), best) {
                    running.push(async move {
                        self.fetch(held, &mut asked).await;
                        asked
                    });
                }
                let Some(asked) = running.next().await else { return };
                let is_here = held.has(asked.index);
                queue.ended(asked, is_here);
            }
        };
        tokio::select! {
            () = fetches => {}
            () = unwanted => {}
        }
    }

    /// Tries to fetch a piece once.
    async fn fetch(&self, held: &Held, asked: &mut Asked) {
        let Asked { index, source, ref mut patience } = *asked;
        let content = match source {
            Source::Agent(address) => match self.piece_of_agent(address, held, index).await {
                Piece::Here(content) => Some(content),
                Piece::Later => {
                    patience.later(address, self.origin_failed.get());
                    if patience.is_over(address, self.origin_failed.get()) {
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
                patience.clear();
                self.piece_of_origin(&held.target, index).await
            }
        };
        let Some(content) = content else {
            sleep(ORIGIN_PAUSE).await;
            return;
        };
        if !held.list.accepts(index, &content) {
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
        match self.engine.stage(&held.target.model, index, content).await {
            Ok(()) => held.insert(index),
            Err(error) => {
                log::warn!("event=piece_not_staged piece={index} error=\"{error}\"");
                sleep(ORIGIN_PAUSE).await;
            }
        }
    }

    /// Returns the first source that has not failed lately and is neither behind this agent,
    /// which has `own` pieces, nor asked in vain too often; the origin when all are.
    fn best(&self, sources: &[Source], patience: &Patience, own: usize) -> Source {
        let now = Instant::now();
        let suspects = self.suspects.borrow();
        let neighbours = self.neighbours.borrow();
        let well = |source: &&Source| match source {
            Source::Agent(address) => {
                !patience.is_over(*address, self.origin_failed.get())
                    && !neighbours.is_behind(*address, own, now)
                    && suspects.get(address).is_none_or(|until| now >= *until)
            }
            Source::Origin => true,
        };
        sources.iter().find(well).copied().unwrap_or(Source::Origin)
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
            self.origin_failed.set(Some(Instant::now()));
        }
        content
    }

    async fn piece_of_agent(&self, address: SocketAddr, held: &Held, index: u32) -> Piece {
        let began = Instant::now();
        self.neighbours.borrow_mut().asked(address, began);
        let asked = timeout(AGENT_TIMEOUT, async {
            let connection = self.agents.get(address).await.map_err(|error| failed(&error))?;
            let mut call = connection.client().chunk_request();
            call.get().set_version(&held.target.key().0);
            call.get().set_index(index);
            let answer = call.send().promise.await?;
            let answer = answer.get()?;
            let progress = answer.get_progress();
            if progress != NOT_FETCHING {
                let mut neighbours = self.neighbours.borrow_mut();
                neighbours.note(address, progress as usize, Instant::now());
            }
            let piece = match answer.get_found() {
                true => Piece::Here(Bytes::copy_from_slice(answer.get_content()?)),
                false if progress == NOT_FETCHING => Piece::Unknown,
                false => Piece::Later,
            };
            Ok::<_, capnp::Error>(Some(piece))
        });
        let asked = asked.await;
        self.window.ended(began.elapsed());
        self.answer_of_agent(address, asked).unwrap_or(Piece::Never)
    }

    async fn list_of_agent(&self, address: SocketAddr, target: &Target) -> Option<PieceList> {
        let asked = timeout(LIST_TIMEOUT, async {
            let connection = self.agents.get(address).await.map_err(|error| failed(&error))?;
            let mut call = connection.client().manifest_request();
            call.get().set_version(&target.key().0);
            let answer = call.send().promise.await?;
            let answer = answer.get()?;
            let content = answer.get_found().then(|| answer.get_content()).transpose()?;
            Ok::<_, capnp::Error>(content.and_then(|bytes| egret_rpc::decode(bytes).ok()))
        });
        self.answer_of_agent(address, asked.await)
    }

    fn answer_of_agent<T>(
        &self,
        address: SocketAddr,
        answer: Result<capnp::Result<Option<T>>, tokio::time::error::Elapsed>,
    ) -> Option<T> {
        match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                log::debug!("event=agent_failed address={address} error=\"{error}\"");
                self.agents.remove(address);
                None
            }
            Err(_) => {
                log::debug!("event=agent_silent address={address}");
                self.agents.remove(address);
                None
            }
        }
    }
}

fn failed(error: &std::io::Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

fn too_late(whom: &str) -> EngineError {
    EngineError::Unreachable(format!("{whom} did not answer in time"))
}
