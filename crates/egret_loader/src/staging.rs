//! Which pieces lie at the engine.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::Duration,
};

use egret_record::{VersionDigest, WeightVersion};
use egret_weights::PieceList;
use tokio::{sync::watch, time::Instant};

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: WeightVersion,
}

impl Target {
    /// Returns the name of the version between agents.
    #[must_use]
    pub fn key(&self) -> VersionDigest {
        VersionDigest::of(format!("{}@{}", self.model, self.version).as_bytes())
    }
}

/// The version whose pieces lie at the engine or are being fetched.
#[derive(Debug)]
pub struct StagedVersion {
    pub(crate) target: Target,
    pub(crate) list: PieceList,
    /// The pieces that are there, with when each was found right last.
    pieces: RefCell<BTreeMap<u32, Instant>>,
    progress: watch::Sender<usize>,
}

impl StagedVersion {
    /// Holds no piece of a version yet.
    #[must_use]
    pub fn new(target: Target, list: PieceList) -> Self {
        let (pieces, progress) = (RefCell::default(), watch::Sender::new(0));
        Self { target, list, pieces, progress }
    }

    /// Notes that a piece lies there and is right.
    pub(crate) fn insert(&self, index: u32) {
        self.pieces.borrow_mut().insert(index, Instant::now());
        self.progress.send_replace(self.pieces.borrow().len());
    }

    /// Forgets a piece that has turned bad.
    pub(crate) fn remove(&self, index: u32) {
        self.pieces.borrow_mut().remove(&index);
        self.progress.send_replace(self.pieces.borrow().len());
    }

    pub(crate) fn has(&self, index: u32) -> bool {
        self.pieces.borrow().contains_key(&index)
    }

    pub(crate) fn progress(&self) -> watch::Receiver<usize> {
        self.progress.subscribe()
    }

    /// Returns the pieces that are not there yet.
    pub fn missing(&self) -> Vec<u32> {
        let pieces = self.pieces.borrow();
        (0..self.list.count()).filter(|index| !pieces.contains_key(index)).collect()
    }

    /// Returns how many pieces there are.
    pub(crate) fn count(&self) -> usize {
        self.pieces.borrow().len()
    }

    pub(crate) fn indexes(&self) -> Vec<u32> {
        self.pieces.borrow().keys().copied().collect()
    }

    /// Returns the pieces that were not found right within the last `age`.
    pub(crate) fn unverified(&self, age: Duration) -> Vec<u32> {
        let pieces = self.pieces.borrow();
        let old = pieces.iter().filter(|(_, verified)| verified.elapsed() > age);
        old.map(|(index, _)| *index).collect()
    }
}

/// What this agent holds for others.
#[derive(Debug, Default)]
pub struct Staging {
    staged: RefCell<Option<std::rc::Rc<StagedVersion>>>,
    /// Notified when another version takes the place of the last.
    replaced: watch::Sender<()>,
    /// Pieces that were sent to other agents.
    pub(crate) sent: Cell<u64>,
    /// When the origin was known to fail last, by this agent or one that it asked.
    failed: Cell<Option<Instant>>,
}

impl Staging {
    pub(crate) fn get(&self) -> Option<std::rc::Rc<StagedVersion>> {
        self.staged.borrow().clone()
    }

    /// Returns the version that is named by `key`, if it is the one staged.
    pub fn find(&self, key: VersionDigest) -> Option<std::rc::Rc<StagedVersion>> {
        self.get().filter(|staged| staged.target.key() == key)
    }

    /// Puts a version in place of the last.
    pub fn set(&self, staged: std::rc::Rc<StagedVersion>) {
        self.staged.replace(Some(staged));
        self.replaced.send_replace(());
    }

    /// Notes that the origin failed `age` ago, here or at an agent that says so.
    pub fn record_origin_failure(&self, age: Duration) {
        // The moment is passed on, not the word, or agents would tell each other for ever.
        let failed = Instant::now().checked_sub(age);
        self.failed.set(failed.max(self.failed.get()));
    }

    /// Returns when the origin was known to fail last.
    #[must_use]
    pub const fn origin_failure(&self) -> Option<Instant> {
        self.failed.get()
    }

    pub(crate) fn replaced(&self) -> watch::Receiver<()> {
        self.replaced.subscribe()
    }
}
