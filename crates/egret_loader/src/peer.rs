//! Pieces for other agents.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use egret_record::VersionDigest;
use egret_rpc::schema::peer;
use tokio::time::timeout;

use crate::{
    engine::Engine,
    holdings::{Held, Holdings},
};

/// Longest wait for a piece that is still on its way, short enough to be a sign of life.
const WAIT: Duration = Duration::from_millis(800);

/// Serves pieces to other agents.
pub(crate) struct PeerServer<E> {
    pub(crate) holdings: Rc<Holdings>,
    pub(crate) engine: Rc<E>,
}

impl<E: Engine> PeerServer<E> {
    /// Waits for a version that may be named here in a moment.
    async fn wait_for_version(&self, key: VersionDigest) -> Option<Rc<Held>> {
        let mut replaced = self.holdings.replaced();
        let there = || self.holdings.find(key);
        let _ = timeout(WAIT / 4, replaced.wait_for(|()| there().is_some())).await;
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
        let key = key_of(params.get()?.get_version()?)?;
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
            (key_of(params.get_version()?)?, params.get_index())
        };
        if let Some(content) = self.find(key, index).await {
            self.holdings.sent.set(self.holdings.sent.get() + 1);
            let mut answer = results.get();
            answer.set_found(true);
            answer.set_content(&content);
        }
        let held = self.holdings.find(key).map_or(0, |held| held.indexes().len());
        results.get().set_progress(u32::try_from(held).unwrap_or(u32::MAX));
        Ok(())
    }

    async fn manifest(
        self: Rc<Self>,
        params: peer::ManifestParams,
        mut results: peer::ManifestResults,
    ) -> capnp::Result<()> {
        let key = key_of(params.get()?.get_version()?)?;
        if let Some(held) = self.wait_for_version(key).await {
            let content = egret_rpc::encode(&held.list);
            let mut answer = results.get();
            answer.set_found(true);
            answer.set_content(&content);
        }
        Ok(())
    }
}

fn key_of(bytes: &[u8]) -> capnp::Result<VersionDigest> {
    let key = bytes.try_into().map(VersionDigest);
    key.map_err(|_| capnp::Error::failed("a version is named by 32 bytes".to_owned()))
}
