//! Pieces for other agents.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use egret_record::VersionDigest;
use egret_rpc::{read_version_digest, schema::peer};
use egret_weights::Bucket;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    engine::Engine,
    holdings::{Held, Holdings},
};

/// Longest wait for a piece that is still on its way, in which the agent that asks could fetch
/// other pieces.
const WAIT: Duration = Duration::from_millis(250);
/// Longest wait for a version that may be named here in a moment.
const NAMING_WAIT: Duration = Duration::from_millis(125);
/// Says that this agent does not fetch the version, in place of its progress.
pub(crate) const NOT_FETCHING: u32 = u32::MAX;

/// Serves pieces to other agents.
pub(crate) struct PeerServer<E> {
    holdings: Rc<Holdings>,
    engine: Rc<E>,
    /// Shares the link with the answers of the engine.
    upload: RefCell<Bucket>,
    start: Instant,
}

impl<E: Engine> PeerServer<E> {
    /// Makes a server that sends at most `upload` bytes a second.
    pub(crate) fn new(holdings: Rc<Holdings>, engine: Rc<E>, upload: u64) -> Self {
        let upload = RefCell::new(Bucket::new(upload));
        Self { holdings, engine, upload, start: Instant::now() }
    }

    /// Waits until the link has room for so many bytes.
    async fn pay(&self, bytes: usize) {
        let wait = self.upload.borrow_mut().take(bytes as u64, self.start.elapsed());
        sleep(wait).await;
    }

    /// Waits for a version that may be named here in a moment.
    async fn wait_for_version(&self, key: VersionDigest) -> Option<Rc<Held>> {
        let mut replaced = self.holdings.replaced();
        let there = || self.holdings.find(key);
        let _ = timeout(NAMING_WAIT, replaced.wait_for(|()| there().is_some())).await;
        there()
    }

    async fn find(&self, key: VersionDigest, index: u32) -> Option<Bytes> {
        let held = self.wait_for_version(key).await?;
        let mut progress = held.progress();
        let _ = timeout(WAIT, progress.wait_for(|_| held.has(index))).await;
        if !held.has(index) {
            return None;
        }
        match self.engine.read(&held.target.model, index).await {
            Ok(Some(content)) if held.list.accepts(index, &content) => Some(content),
            Ok(_) => {
                log::warn!("event=piece_spoilt piece={index} version={}", held.target.version);
                held.remove(index);
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
        let held = self.holdings.find(key);
        let pieces = held.map(|held| held.indexes()).unwrap_or_default();
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
        if let Some(content) = self.find(key, index).await {
            self.pay(content.len()).await;
            self.holdings.sent.set(self.holdings.sent.get() + 1);
            let mut answer = results.get();
            answer.set_found(true);
            answer.set_content(&content);
        }
        let held = self.holdings.find(key).map(|held| held.count());
        let progress = held.and_then(|count| u32::try_from(count).ok());
        results.get().set_progress(progress.unwrap_or(NOT_FETCHING));
        Ok(())
    }

    async fn manifest(
        self: Rc<Self>,
        params: peer::ManifestParams,
        mut results: peer::ManifestResults,
    ) -> capnp::Result<()> {
        let key = read_version_digest(params.get()?.get_version()?)?;
        if let Some(held) = self.wait_for_version(key).await {
            let content = egret_rpc::encode(&held.list);
            let mut answer = results.get();
            answer.set_found(true);
            answer.set_content(&content);
        }
        Ok(())
    }
}
