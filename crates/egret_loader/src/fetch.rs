//! Fetches what is missing.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use egret_rpc::{Connections, schema::peer};
use egret_weights::PieceList;
use futures::{StreamExt as _, stream};
use tokio::time::timeout;

use crate::{
    engine::{Engine, EngineError, Origin},
    holdings::{Held, Target},
    sources::Source,
};

/// Pieces that are fetched at the same time.
const WINDOW: usize = 12;
/// Pieces that are read back and verified at the same time.
const VERIFY_WINDOW: usize = 4;
/// Longest wait for a piece from another agent.
const AGENT_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Longest wait for a piece list from another agent.
const LIST_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait for an answer of the origin, whose link all share.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Fetches pieces for one engine.
pub(crate) struct Fetcher<E, O> {
    pub(crate) engine: Rc<E>,
    pub(crate) origin: Rc<O>,
    pub(crate) agents: Connections<peer::Client>,
}

impl<E: Engine, O: Origin> Fetcher<E, O> {
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

    /// Fetches all that is missing, as long as `wanted` says so.
    pub(crate) async fn fetch_missing(
        &self,
        held: &Held,
        sources: impl Fn(u32) -> Vec<Source>,
        wanted: impl Fn() -> bool,
    ) {
        let missing = stream::iter(held.missing());
        let fetches = missing.map(async |index| {
            if wanted() {
                self.fetch(held, index, sources(index)).await;
            }
        });
        fetches.buffer_unordered(WINDOW).collect::<()>().await;
    }

    async fn fetch(&self, held: &Held, index: u32, sources: Vec<Source>) {
        for source in sources {
            let content = match source {
                Source::Agent(address) => self.piece_of_agent(address, &held.target, index).await,
                Source::Origin => self.piece_of_origin(&held.target, index).await,
            };
            let Some(content) = content else { continue };
            if !held.list.accepts(index, &content) {
                log::warn!("event=piece_spoilt piece={index} from={source:?}");
                continue;
            }
            let kind = if source == Source::Origin { "origin" } else { "agent" };
            metrics::counter!("egret_loader_pieces_total", "from" => kind).increment(1);
            log::debug!("event=piece_fetched piece={index} from={source:?}");
            match self.engine.stage(&held.target.model, index, content).await {
                Ok(()) => held.insert(index),
                Err(error) => log::warn!("event=piece_not_staged piece={index} error=\"{error}\""),
            }
            return;
        }
    }

    async fn piece_of_origin(&self, target: &Target, index: u32) -> Option<Bytes> {
        let asked = self.origin.piece(&target.model, target.version, index);
        match timeout(ORIGIN_TIMEOUT, asked).await {
            Ok(Ok(content)) => Some(content),
            Ok(Err(error)) => {
                log::warn!("event=origin_failed piece={index} error=\"{error}\"");
                None
            }
            Err(_) => {
                log::warn!("event=origin_silent piece={index}");
                None
            }
        }
    }

    async fn piece_of_agent(
        &self,
        address: SocketAddr,
        target: &Target,
        index: u32,
    ) -> Option<Bytes> {
        let asked = timeout(AGENT_TIMEOUT, async {
            let connection = self.agents.get(address).await.map_err(|error| failed(&error))?;
            let mut call = connection.client().chunk_request();
            call.get().set_version(&target.key().0);
            call.get().set_index(index);
            let answer = call.send().promise.await?;
            let answer = answer.get()?;
            let content = answer.get_found().then(|| answer.get_content()).transpose()?;
            Ok::<_, capnp::Error>(content.map(Bytes::copy_from_slice))
        });
        self.answer_of_agent(address, asked.await)
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
