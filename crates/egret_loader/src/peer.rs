//! Pieces between agents.

use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use egret_record::VersionDigest;
use egret_rpc::{Connections, read_version_digest, schema::peer};
use egret_weights::{PieceList, TokenBucket};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    engine::Engine,
    staging::{StagedVersion, Staging},
};

/// Longest wait for a piece that is still on its way, in which the agent that asks could fetch
/// other pieces.
const WAIT: Duration = Duration::from_millis(250);
/// Longest wait for a version that may be named here in a moment.
const NAMING_WAIT: Duration = Duration::from_millis(125);
/// Says that this agent does not fetch the version, in place of its progress.
const NOT_FETCHING: u32 = u32::MAX;
/// Says that the origin is not known to have failed, in place of milliseconds.
const NO_FAILURE: u32 = u32::MAX;

/// What an agent said when it was asked for a piece.
#[derive(Debug, Clone)]
pub struct PieceAnswer {
    /// The piece, if it is there.
    pub content: Option<Bytes>,
    /// How many pieces of the version are there; none while the agent does not fetch it.
    pub progress: Option<usize>,
    /// How long ago the origin was known to fail last, so that nobody could get on.
    pub failure_age: Option<Duration>,
}

/// Other agents, from which pieces are fetched.
pub trait Peers: 'static {
    /// Asks an agent for a piece of the version `key`; none when it cannot be reached.
    fn piece(
        &self,
        address: SocketAddr,
        key: VersionDigest,
        index: u32,
    ) -> impl Future<Output = Option<PieceAnswer>>;

    /// Asks an agent for the piece list of the version `key`; none when it has none.
    fn list(
        &self,
        address: SocketAddr,
        key: VersionDigest,
    ) -> impl Future<Output = Option<PieceList>>;

    /// Closes what is open to an agent that did not answer.
    fn disconnect(&self, address: SocketAddr);
}

/// Other agents, over the protocol between the processes.
#[derive(Debug)]
pub(crate) struct RpcPeers(Connections<peer::Client>);

impl RpcPeers {
    /// Connects from the address `own`.
    pub(crate) fn new(own: IpAddr) -> Self {
        Self(Connections::new(own))
    }

    async fn client(&self, address: SocketAddr) -> capnp::Result<peer::Client> {
        let connection = self.0.get(address).await;
        let connection = connection.map_err(|error| capnp::Error::failed(error.to_string()))?;
        Ok(connection.client())
    }

    async fn ask_piece(
        &self,
        address: SocketAddr,
        key: VersionDigest,
        index: u32,
    ) -> capnp::Result<PieceAnswer> {
        let mut call = self.client(address).await?.chunk_request();
        call.get().set_version(&key.0);
        call.get().set_index(index);
        let answer = call.send().promise.await?;
        let answer = answer.get()?;
        let content = answer.get_found().then(|| answer.get_content()).transpose()?;
        let (progress, failed) = (answer.get_progress(), answer.get_failed_millis());
        Ok(PieceAnswer {
            content: content.map(Bytes::copy_from_slice),
            progress: (progress != NOT_FETCHING).then_some(progress as usize),
            failure_age: (failed != NO_FAILURE).then(|| Duration::from_millis(failed.into())),
        })
    }

    async fn ask_list(
        &self,
        address: SocketAddr,
        key: VersionDigest,
    ) -> capnp::Result<Option<PieceList>> {
        let mut call = self.client(address).await?.manifest_request();
        call.get().set_version(&key.0);
        let answer = call.send().promise.await?;
        let answer = answer.get()?;
        let content = answer.get_found().then(|| answer.get_content()).transpose()?;
        let list = content.map(egret_rpc::decode).transpose();
        list.map_err(|error| capnp::Error::failed(error.to_string()))
    }

    fn failed(&self, address: SocketAddr, error: &capnp::Error) {
        log::debug!("event=agent_failed address={address} error=\"{error}\"");
        self.disconnect(address);
    }
}

impl Peers for RpcPeers {
    async fn piece(
        &self,
        address: SocketAddr,
        key: VersionDigest,
        index: u32,
    ) -> Option<PieceAnswer> {
        let asked = self.ask_piece(address, key, index).await;
        asked.inspect_err(|error| self.failed(address, error)).ok()
    }

    async fn list(&self, address: SocketAddr, key: VersionDigest) -> Option<PieceList> {
        let asked = self.ask_list(address, key).await;
        asked.inspect_err(|error| self.failed(address, error)).ok().flatten()
    }

    fn disconnect(&self, address: SocketAddr) {
        self.0.remove(address);
    }
}

/// Serves pieces to other agents.
#[derive(Debug)]
pub struct PeerServer<E> {
    staging: Rc<Staging>,
    engine: Rc<E>,
    /// Shares the link with the answers of the engine.
    upload: RefCell<TokenBucket>,
    start: Instant,
}

impl<E: Engine> PeerServer<E> {
    /// Makes a server that sends at most `upload` bytes a second.
    pub fn new(staging: Rc<Staging>, engine: Rc<E>, upload: u64) -> Self {
        let upload = RefCell::new(TokenBucket::new(upload));
        Self { staging, engine, upload, start: Instant::now() }
    }

    /// Waits for a piece that is on its way, and returns it once the link has room for it.
    pub async fn piece(&self, key: VersionDigest, index: u32) -> PieceAnswer {
        let content = self.find(key, index).await;
        if let Some(content) = &content {
            self.pay(content.len()).await;
            self.staging.sent.set(self.staging.sent.get() + 1);
        }
        let progress = self.staging.find(key).map(|staged| staged.count());
        let failure_age = self.staging.origin_failure().map(|failed| failed.elapsed());
        PieceAnswer { content, progress, failure_age }
    }

    /// Waits until the link has room for so many bytes.
    async fn pay(&self, bytes: usize) {
        let wait = self.upload.borrow_mut().take(bytes as u64, self.start.elapsed());
        sleep(wait).await;
    }

    /// Waits for a version that may be named here in a moment.
    async fn wait_for_version(&self, key: VersionDigest) -> Option<Rc<StagedVersion>> {
        let mut replaced = self.staging.replaced();
        let there = || self.staging.find(key);
        let _ = timeout(NAMING_WAIT, replaced.wait_for(|()| there().is_some())).await;
        there()
    }

    async fn find(&self, key: VersionDigest, index: u32) -> Option<Bytes> {
        let staged = self.wait_for_version(key).await?;
        let mut progress = staged.progress();
        let _ = timeout(WAIT, progress.wait_for(|_| staged.has(index))).await;
        if !staged.has(index) {
            return None;
        }
        match self.engine.read(&staged.target.model, index).await {
            Ok(Some(content)) if staged.list.accepts(index, &content) => Some(content),
            Ok(_) => {
                log::warn!("event=piece_spoilt piece={index} version={}", staged.target.version);
                staged.remove(index);
                None
            }
            Err(error) => {
                log::warn!("event=piece_not_read piece={index} error=\"{error}\"");
                None
            }
        }
    }
}

impl<E: Engine> peer::Server for PeerServer<E> {
    async fn held(
        self: Rc<Self>,
        params: peer::HeldParams,
        mut results: peer::HeldResults,
    ) -> capnp::Result<()> {
        let key = read_version_digest(params.get()?.get_version()?)?;
        let staged = self.staging.find(key);
        let pieces = staged.map(|staged| staged.indexes()).unwrap_or_default();
        let mut out = results.get().init_chunks(u32::try_from(pieces.len()).unwrap_or(0));
        for (at, index) in (0..).zip(pieces) {
            out.set(at, index);
        }
        Ok(())
    }

    async fn chunk(
        self: Rc<Self>,
        params: peer::ChunkParams,
        mut results: peer::ChunkResults,
    ) -> capnp::Result<()> {
        let (key, index) = {
            let params = params.get()?;
            (read_version_digest(params.get_version()?)?, params.get_index())
        };
        let found = self.piece(key, index).await;
        let mut answer = results.get();
        if let Some(content) = &found.content {
            answer.set_found(true);
            answer.set_content(content);
        }
        let progress = found.progress.and_then(|count| u32::try_from(count).ok());
        answer.set_progress(progress.unwrap_or(NOT_FETCHING));
        let failed = found.failure_age.and_then(|age| u32::try_from(age.as_millis()).ok());
        answer.set_failed_millis(failed.unwrap_or(NO_FAILURE));
        Ok(())
    }

    async fn manifest(
        self: Rc<Self>,
        params: peer::ManifestParams,
        mut results: peer::ManifestResults,
    ) -> capnp::Result<()> {
        let key = read_version_digest(params.get()?.get_version()?)?;
        if let Some(staged) = self.wait_for_version(key).await {
            let content = egret_rpc::encode(&staged.list);
            let mut answer = results.get();
            answer.set_found(true);
            answer.set_content(&content);
        }
        Ok(())
    }
}
