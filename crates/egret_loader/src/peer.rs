//! Exchanges pieces with other agents.

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

/// Longest wait for a piece that is still being fetched. Kept short, as the requesting agent could
/// fetch other pieces meanwhile.
const PIECE_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for a version whose announcement may be about to arrive here.
const VERSION_TIMEOUT: Duration = Duration::from_millis(125);
/// Sent in place of the progress when this agent does not fetch the version.
const NOT_FETCHING: u32 = u32::MAX;
/// Sent in place of the milliseconds when no failure of the origin is known.
const NO_FAILURE: u32 = u32::MAX;

/// An agent's answer to a piece request.
#[derive(Debug, Clone)]
pub struct PieceAnswer {
    /// The piece, if the agent has it.
    pub content: Option<Bytes>,
    /// The agent's piece count of the version; `None` if the agent does not fetch it.
    pub progress: Option<usize>,
    /// Time since the last known failure of the origin, which holds up all agents.
    pub failure_age: Option<Duration>,
}

/// Client of the other agents that pieces are fetched from.
pub trait Peers: 'static {
    /// Requests a piece of the version `key`; `None` if the agent cannot be reached.
    fn piece(
        &self,
        address: SocketAddr,
        key: VersionDigest,
        index: u32,
    ) -> impl Future<Output = Option<PieceAnswer>>;

    /// Requests the piece list of the version `key`; `None` if the agent has none.
    fn list(
        &self,
        address: SocketAddr,
        key: VersionDigest,
    ) -> impl Future<Output = Option<PieceList>>;

    /// Closes the connection to an agent that did not answer.
    fn disconnect(&self, address: SocketAddr);
}

/// Reaches other agents over the RPC protocol between processes.
#[derive(Debug)]
pub(crate) struct RpcPeers(Connections<peer::Client>);

impl RpcPeers {
    /// Creates a client that connects from the address `own`.
    pub(crate) fn new(own: IpAddr) -> Self {
        Self(Connections::new(own))
    }

    async fn client(&self, address: SocketAddr) -> capnp::Result<peer::Client> {
        let connection = self.0.get(address).await;
        let connection = connection.map_err(|error| capnp::Error::failed(error.to_string()))?;
        Ok(connection.client())
    }

    async fn request_piece(
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

    async fn request_list(
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

    fn handle_failure(&self, address: SocketAddr, error: &capnp::Error) {
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
        let answer = self.request_piece(address, key, index).await;
        answer.inspect_err(|error| self.handle_failure(address, error)).ok()
    }

    async fn list(&self, address: SocketAddr, key: VersionDigest) -> Option<PieceList> {
        let answer = self.request_list(address, key).await;
        answer.inspect_err(|error| self.handle_failure(address, error)).ok().flatten()
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
    /// Limits uploads, as the engine's answers share the link.
    upload: RefCell<TokenBucket>,
    started: Instant,
}

impl<E: Engine> PeerServer<E> {
    /// Creates a server that sends at most `upload` bytes a second.
    pub fn new(staging: Rc<Staging>, engine: Rc<E>, upload: u64) -> Self {
        let upload = RefCell::new(TokenBucket::new(upload));
        Self { staging, engine, upload, started: Instant::now() }
    }

    /// Returns a piece once the upload limit permits; waits briefly if it is still being fetched.
    pub async fn piece(&self, key: VersionDigest, index: u32) -> PieceAnswer {
        let content = self.find(key, index).await;
        if let Some(content) = &content {
            self.throttle(content.len()).await;
            self.staging.sent.set(self.staging.sent.get() + 1);
        }
        let progress = self.staging.find(key).map(|staged| staged.count());
        let failure_age = self.staging.origin_failure().map(|failed| failed.elapsed());
        PieceAnswer { content, progress, failure_age }
    }

    /// Waits until the upload limit permits `bytes`.
    async fn throttle(&self, bytes: usize) {
        let wait = self.upload.borrow_mut().take(bytes as u64, self.started.elapsed());
        sleep(wait).await;
    }

    /// Waits for a version whose announcement may be about to arrive here.
    async fn wait_for_version(&self, key: VersionDigest) -> Option<Rc<StagedVersion>> {
        let mut replaced = self.staging.replaced();
        let found = || self.staging.find(key);
        let _ = timeout(VERSION_TIMEOUT, replaced.wait_for(|()| found().is_some())).await;
        found()
    }

    async fn find(&self, key: VersionDigest, index: u32) -> Option<Bytes> {
        let staged = self.wait_for_version(key).await?;
        let mut progress = staged.progress();
        let _ = timeout(PIECE_TIMEOUT, progress.wait_for(|_| staged.contains(index))).await;
        if !staged.contains(index) {
            return None;
        }
        match self.staging.read(&*self.engine, &staged.target.model, index).await {
            Ok(Some(content)) if staged.list.accepts(index, &content) => Some(content),
            Ok(_) => {
                log::warn!("event=piece_corrupt piece={index} version={}", staged.target.version);
                staged.remove(index);
                None
            }
            Err(error) => {
                log::warn!("event=piece_read_failed piece={index} error=\"{error}\"");
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
        for (slot, index) in (0..).zip(pieces) {
            out.set(slot, index);
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
