//! Serves chunks to other agents.

use std::{cell::RefCell, rc::Rc, time::Duration};

use egret_record::{FastMap, VersionDigest};
use egret_rpc::{read_version_digest, schema::peer};
use egret_weights::VersionFolder;
use tokio::{sync::watch, time::timeout};

use crate::fetch::LinkLimits;

/// Longest wait for a chunk that is still being fetched. Well below the timeout of the requesting
/// agent, which takes any answer as proof that this agent is alive.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(1);

/// A version that this agent holds or fetches.
#[derive(Debug, Clone)]
pub(crate) struct HeldVersion {
    pub(crate) folder: Rc<RefCell<VersionFolder>>,
    /// The number of stored chunks.
    pub(crate) progress: watch::Sender<usize>,
}

/// The versions that this agent holds or fetches.
#[derive(Debug)]
pub(crate) struct HeldVersions {
    versions: RefCell<FastMap<VersionDigest, HeldVersion>>,
    /// Notified when a version is added.
    added: watch::Sender<()>,
}

impl HeldVersions {
    pub(crate) fn new() -> Self {
        Self { versions: RefCell::default(), added: watch::Sender::new(()) }
    }

    fn subscribe(&self) -> watch::Receiver<()> {
        self.added.subscribe()
    }

    pub(crate) fn get(&self, digest: VersionDigest) -> Option<HeldVersion> {
        self.versions.borrow().get(&digest).cloned()
    }

    pub(crate) fn insert(&self, digest: VersionDigest, folder: VersionFolder) -> HeldVersion {
        let progress = watch::Sender::new(folder.held().len());
        let held = HeldVersion { folder: Rc::new(RefCell::new(folder)), progress };
        self.versions.borrow_mut().insert(digest, held.clone());
        self.added.send_replace(());
        held
    }

    pub(crate) fn remove(&self, digest: VersionDigest) {
        self.versions.borrow_mut().remove(&digest);
    }

    pub(crate) fn retain(&self, keep: impl Fn(VersionDigest) -> bool) {
        self.versions.borrow_mut().retain(|digest, _| keep(*digest));
    }
}

/// Serves chunks to other agents.
#[derive(Debug)]
pub(crate) struct PeerServer {
    pub(crate) versions: Rc<HeldVersions>,
    pub(crate) limits: Rc<LinkLimits>,
}

impl PeerServer {
    async fn find(&self, digest: VersionDigest, index: u32) -> Option<Vec<u8>> {
        let Some(held) = self.versions.get(digest) else {
            // The order for this version may arrive soon.
            tokio::time::sleep(CHUNK_TIMEOUT / 4).await;
            return None;
        };
        let mut progress = held.progress.subscribe();
        let is_stored = || held.folder.borrow().held().contains(&index);
        let _ = timeout(CHUNK_TIMEOUT, progress.wait_for(|_| is_stored())).await;
        let content = held.folder.borrow().read(index);
        match content {
            Ok(content) => content,
            Err(error) => {
                log::error!("event=chunk_unreadable chunk={index} error=\"{error}\"");
                None
            }
        }
    }
}

impl peer::Server for PeerServer {
    async fn held(
        self: Rc<Self>,
        params: peer::HeldParams,
        mut results: peer::HeldResults,
    ) -> capnp::Result<()> {
        let digest = read_version_digest(params.get()?.get_version()?)?;
        let held = self.versions.get(digest);
        let chunks: Vec<u32> = held
            .map(|held| held.folder.borrow().held().iter().copied().collect())
            .unwrap_or_default();
        let mut out = results.get().init_chunks(u32::try_from(chunks.len()).unwrap_or(0));
        for (slot, index) in (0..).zip(chunks) {
            out.set(slot, index);
        }
        Ok(())
    }

    async fn chunk(
        self: Rc<Self>,
        params: peer::ChunkParams,
        mut results: peer::ChunkResults,
    ) -> capnp::Result<()> {
        let (digest, index) = {
            let params = params.get()?;
            (read_version_digest(params.get_version()?)?, params.get_index())
        };
        if let Some(content) = self.find(digest, index).await {
            self.limits.throttle_upload(content.len()).await;
            let mut answer = results.get();
            answer.set_found(true);
            answer.set_content(&content);
        }
        let held = self.versions.get(digest);
        let progress = held.map_or(0, |held| held.folder.borrow().held().len());
        results.get().set_progress(u32::try_from(progress).unwrap_or(u32::MAX));
        Ok(())
    }

    async fn manifest(
        self: Rc<Self>,
        params: peer::ManifestParams,
        mut results: peer::ManifestResults,
    ) -> capnp::Result<()> {
        let digest = read_version_digest(params.get()?.get_version()?)?;
        let mut added = self.versions.subscribe();
        let _ =
            timeout(CHUNK_TIMEOUT, added.wait_for(|_| self.versions.get(digest).is_some())).await;
        if let Some(held) = self.versions.get(digest) {
            let content = serde_json::to_vec(held.folder.borrow().manifest());
            let content = content.map_err(|error| capnp::Error::failed(error.to_string()))?;
            self.limits.throttle_upload(content.len()).await;
            let mut answer = results.get();
            answer.set_found(true);
            answer.set_content(&content);
        }
        Ok(())
    }
}
