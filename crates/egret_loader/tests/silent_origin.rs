//! An origin that takes a request and never answers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use egret_loader::{
    Engine, EngineError, EngineReport, Fetcher, Origin, Peers, PieceAnswer, Staging, SwitchMode,
};
use egret_record::{VersionDigest, WeightVersion};
use egret_weights::PieceList;
use tokio::time::Instant;

struct Silent;

impl Origin for Silent {
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

struct Idle;

impl Engine for Idle {
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

    async fn load(&self, _: &str, _: WeightVersion, _: SwitchMode) -> Result<(), EngineError> {
        Ok(())
    }
}

struct Nobody;

impl Peers for Nobody {
    async fn piece(&self, _: SocketAddr, _: VersionDigest, _: u32) -> Option<PieceAnswer> {
        None
    }

    async fn list(&self, _: SocketAddr, _: VersionDigest) -> Option<PieceList> {
        None
    }

    fn disconnect(&self, _: SocketAddr) {}
}

#[tokio::test(start_paused = true)]
async fn agent_goes_on_when_the_origin_never_answers() {
    // Pattern: an agent starts beside an empty engine before a version is named, and the origin
    // hangs; it must be free to hear of the naming.
    let staging: Rc<Staging> = Rc::default();
    let fetcher = Fetcher::new(Rc::new(Idle), Silent, Nobody, staging);
    let asked = Instant::now();
    let newest = tokio::time::timeout(Duration::from_secs(60), fetcher.newest("m")).await;
    assert!(matches!(newest, Ok(Err(EngineError::Unreachable(_)))), "{newest:?}");
    assert!(asked.elapsed() <= Duration::from_secs(3), "{:?}", asked.elapsed());
}
