//! An origin that accepts requests and never answers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use egret_loader::{
    Engine, EngineError, EngineReport, Fetcher, LoadAnswer, LoadOrder, Origin, Peers, PieceAnswer,
    Staging,
};
use egret_record::{VersionDigest, WeightVersion};
use egret_weights::PieceList;
use tokio::time::Instant;

struct SilentOrigin;

impl Origin for SilentOrigin {
    async fn list(
        &self,
        _: &str,
        _: Option<WeightVersion>,
    ) -> Result<(WeightVersion, PieceList), EngineError> {
        std::future::pending().await
    }

    async fn piece(&self, _: &str, _: WeightVersion, _: u32) -> Result<Bytes, EngineError> {
        std::future::pending().await
    }
}

struct IdleEngine;

impl Engine for IdleEngine {
    async fn report(&self) -> Result<EngineReport, EngineError> {
        Ok(EngineReport::default())
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>, EngineError> {
        Ok(Vec::new())
    }

    async fn read(&self, _: &str, _: u32) -> Result<Option<Bytes>, EngineError> {
        Ok(None)
    }

    async fn stage(&self, _: &str, _: u32, _: Bytes) -> Result<(), EngineError> {
        Ok(())
    }

    async fn load(&self, _: &LoadOrder<'_>) -> Result<LoadAnswer, EngineError> {
        Ok(LoadAnswer::Started)
    }
}

struct NoPeers;

impl Peers for NoPeers {
    async fn piece(&self, _: SocketAddr, _: VersionDigest, _: u32) -> Option<PieceAnswer> {
        None
    }

    async fn list(&self, _: SocketAddr, _: VersionDigest) -> Option<PieceList> {
        None
    }

    fn disconnect(&self, _: SocketAddr) {}
}

#[tokio::test(start_paused = true)]
async fn agent_continues_when_the_origin_never_answers() {
    // An agent starts next to an empty engine before any version is announced, while the origin
    // hangs. Without a timeout it would never react to the announcement.
    let staging: Rc<Staging> = Rc::default();
    let fetcher = Fetcher::new(Rc::new(IdleEngine), SilentOrigin, NoPeers, staging);
    let started = Instant::now();
    let newest = tokio::time::timeout(Duration::from_secs(60), fetcher.newest("m")).await;
    assert!(matches!(newest, Ok(Err(EngineError::Unreachable(_)))), "{newest:?}");
    assert!(started.elapsed() <= Duration::from_secs(3), "{:?}", started.elapsed());
}
