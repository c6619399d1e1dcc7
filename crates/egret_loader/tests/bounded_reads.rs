//! How many pieces an agent reads back from its engine at the same time.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use egret_loader::{
    Engine, EngineError, EngineReport, Fetcher, LoadAnswer, LoadOrder, Origin, PeerServer, Peers,
    PieceAnswer, StagedVersion, Staging, Target,
};
use egret_record::{VersionDigest, WeightVersion};
use egret_weights::{PieceDigest, PieceList};
use tokio::time::sleep;

const PIECE: &[u8] = b"piece";
const PIECES: u32 = 32;
/// Pieces of at most a megabyte each that fit into an agent's memory several times.
const READS_MAX: usize = 16;
/// Other agents that fetch from this one, each several pieces at the same time.
const AGENTS: usize = 20;

/// An engine that is slow to return pieces.
#[derive(Default)]
struct SlowEngine {
    reading: Cell<usize>,
    most: Cell<usize>,
}

impl Engine for SlowEngine {
    async fn report(&self) -> Result<EngineReport, EngineError> {
        Ok(EngineReport::default())
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>, EngineError> {
        Ok((0..PIECES).collect())
    }

    async fn read(&self, _: &str, _: u32) -> Result<Option<Bytes>, EngineError> {
        self.reading.set(self.reading.get() + 1);
        self.most.set(self.most.get().max(self.reading.get()));
        sleep(Duration::from_millis(20)).await;
        self.reading.set(self.reading.get() - 1);
        Ok(Some(Bytes::from_static(PIECE)))
    }

    async fn stage(&self, _: &str, _: u32, _: Bytes) -> Result<(), EngineError> {
        Ok(())
    }

    async fn load(&self, _: &LoadOrder<'_>) -> Result<LoadAnswer, EngineError> {
        Ok(LoadAnswer::Started)
    }
}

/// An origin and other agents that have nothing.
struct Nobody;

impl Origin for Nobody {
    async fn list(
        &self,
        _: &str,
        _: Option<WeightVersion>,
    ) -> Result<(WeightVersion, PieceList), EngineError> {
        Err(EngineError::Unreachable("there is none".to_owned()))
    }

    async fn piece(&self, _: &str, _: WeightVersion, _: u32) -> Result<Bytes, EngineError> {
        Err(EngineError::Unreachable("there is none".to_owned()))
    }
}

impl Peers for Nobody {
    async fn piece(&self, _: SocketAddr, _: VersionDigest, _: u32) -> Option<PieceAnswer> {
        None
    }

    async fn list(&self, _: SocketAddr, _: VersionDigest) -> Option<PieceList> {
        None
    }

    fn disconnect(&self, _: SocketAddr) {}
}

// Guards against an agent that runs out of memory, since its engine answers with more than a piece
// while many other agents fetch pieces from it.
#[tokio::test(start_paused = true)]
async fn many_agents_cause_few_reads_at_the_same_time() {
    let target = Target { model: "m".to_owned(), version: WeightVersion(1) };
    let list = PieceList::new(vec![PieceDigest::of(PIECE); PIECES as usize]);
    let staged = Rc::new(StagedVersion::new(target.clone(), list));
    let (staging, engine) = (Rc::new(Staging::default()), Rc::new(SlowEngine::default()));
    Fetcher::new(engine.clone(), Nobody, Nobody, staging.clone()).recover(&staged).await;
    staging.set(staged);
    let server = PeerServer::new(staging, engine.clone(), u64::MAX);
    let requests =
        (0..AGENTS).flat_map(|_| (0..PIECES).map(|index| server.piece(target.key(), index)));
    let answers = futures::future::join_all(requests).await;
    assert!(answers.iter().all(|answer| answer.content.is_some()), "all get their pieces");
    assert!(engine.most.get() <= READS_MAX, "{} reads at the same time", engine.most.get());
}
