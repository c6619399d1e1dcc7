//! Which pieces are staged at the engine.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::Duration,
};

use bytes::Bytes;
use egret_record::{VersionDigest, WeightVersion};
use egret_weights::PieceList;
use tokio::{
    sync::{Semaphore, watch},
    time::Instant,
};

use crate::engine::{Engine, EngineError};

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: WeightVersion,
}

impl Target {
    /// Returns the key that identifies the version between agents.
    #[must_use]
    pub fn key(&self) -> VersionDigest {
        VersionDigest::of(format!("{}@{}", self.model, self.version).as_bytes())
    }
}

/// A version whose pieces are staged or being fetched.
#[derive(Debug)]
pub struct StagedVersion {
    pub(crate) target: Target,
    pub(crate) list: PieceList,
    /// The staged pieces, each with when the response that shows it intact was asked for.
    pieces: RefCell<BTreeMap<u32, Instant>>,
    /// When a piece was last staged, successfully or not.
    staged_at: Cell<Option<Instant>>,
    progress: watch::Sender<usize>,
}

impl StagedVersion {
    /// Creates a version without any staged pieces.
    #[must_use]
    pub fn new(target: Target, list: PieceList) -> Self {
        let (pieces, progress) = (RefCell::default(), watch::Sender::new(0));
        Self { target, list, pieces, staged_at: Cell::new(None), progress }
    }

    /// Records that a piece that was asked for at `asked` is intact.
    pub(crate) fn insert(&self, index: u32, asked: Instant) {
        self.pieces.borrow_mut().insert(index, asked);
        self.progress.send_replace(self.pieces.borrow().len());
    }

    /// Removes a piece that has become corrupt.
    pub(crate) fn remove(&self, index: u32) {
        self.pieces.borrow_mut().remove(&index);
        self.progress.send_replace(self.pieces.borrow().len());
    }

    /// Records that a piece is being staged, or was, successfully or not.
    pub(crate) fn record_staged(&self) {
        self.staged_at.set(Some(Instant::now()));
    }

    /// Returns when a piece was last staged, successfully or not.
    pub(crate) const fn staged_at(&self) -> Option<Instant> {
        self.staged_at.get()
    }

    pub(crate) fn contains(&self, index: u32) -> bool {
        self.pieces.borrow().contains_key(&index)
    }

    pub(crate) fn progress(&self) -> watch::Receiver<usize> {
        self.progress.subscribe()
    }

    /// Returns the pieces that are not staged yet.
    pub fn missing(&self) -> Vec<u32> {
        let pieces = self.pieces.borrow();
        (0..self.list.count()).filter(|index| !pieces.contains_key(index)).collect()
    }

    /// Returns the number of staged pieces.
    pub(crate) fn count(&self) -> usize {
        self.pieces.borrow().len()
    }

    pub(crate) fn indexes(&self) -> Vec<u32> {
        self.pieces.borrow().keys().copied().collect()
    }

    /// Returns the age of the oldest verification of a staged piece.
    pub(crate) fn oldest(&self) -> Duration {
        let pieces = self.pieces.borrow();
        pieces.values().min().map_or(Duration::ZERO, Instant::elapsed)
    }

    /// Returns the pieces that were not verified within the last `age`.
    pub(crate) fn unverified(&self, age: Duration) -> Vec<u32> {
        let pieces = self.pieces.borrow();
        let stale = pieces.iter().filter(|(_, verified)| verified.elapsed() > age);
        stale.map(|(index, _)| *index).collect()
    }
}

/// Maximum number of pieces that are read back from the engine at the same time, for this agent and
/// for others: an engine may answer with much more than a piece.
const READS_MAX: usize = 12;

/// Permits to read pieces back from the engine.
#[derive(Debug)]
struct ReadPermits(Semaphore);

impl Default for ReadPermits {
    fn default() -> Self {
        Self(Semaphore::new(READS_MAX))
    }
}

/// The version that this agent offers to other agents.
#[derive(Debug, Default)]
pub struct Staging {
    version: RefCell<Option<std::rc::Rc<StagedVersion>>>,
    /// Notified when another version replaces the current one.
    replaced: watch::Sender<()>,
    /// Pieces sent to other agents.
    pub(crate) sent: Cell<u64>,
    /// The last known failure of the origin, seen here or by a peer.
    origin_failure: Cell<Option<Instant>>,
    reads: ReadPermits,
}

impl Staging {
    /// Reads a piece back from the engine, after at most [`READS_MAX`] others.
    pub(crate) async fn read(
        &self,
        engine: &impl Engine,
        model: &str,
        index: u32,
    ) -> Result<Option<Bytes>, EngineError> {
        let _permit = self.reads.0.acquire().await;
        engine.read(model, index).await
    }

    pub(crate) fn get(&self) -> Option<std::rc::Rc<StagedVersion>> {
        self.version.borrow().clone()
    }

    /// Returns the current version if its key is `key`.
    pub fn find(&self, key: VersionDigest) -> Option<std::rc::Rc<StagedVersion>> {
        self.get().filter(|staged| staged.target.key() == key)
    }

    /// Replaces the current version.
    pub fn set(&self, staged: std::rc::Rc<StagedVersion>) {
        self.version.replace(Some(staged));
        self.replaced.send_replace(());
    }

    /// Records that the origin failed `age` ago, here or at a peer.
    pub fn record_origin_failure(&self, age: Duration) {
        // Keeps the time of the failure, not that of the report: otherwise two agents would
        // refresh it between themselves for ever.
        let failure = Instant::now().checked_sub(age);
        self.origin_failure.set(failure.max(self.origin_failure.get()));
    }

    /// Returns the time of the last known failure of the origin.
    #[must_use]
    pub const fn origin_failure(&self) -> Option<Instant> {
        self.origin_failure.get()
    }

    pub(crate) fn replaced(&self) -> watch::Receiver<()> {
        self.replaced.subscribe()
    }
}
