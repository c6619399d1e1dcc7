//! Which pieces lie at the engine.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
};

use egret_record::{VersionDigest, WeightVersion};
use egret_weights::PieceList;
use tokio::sync::watch;

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Target {
    pub(crate) model: String,
    pub(crate) version: WeightVersion,
}

impl Target {
    /// Returns the name of the version between agents.
    pub(crate) fn key(&self) -> VersionDigest {
        VersionDigest::of(format!("{}@{}", self.model, self.version).as_bytes())
    }
}

/// The version whose pieces lie at the engine or are being fetched.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) target: Target,
    pub(crate) list: PieceList,
    pieces: RefCell<BTreeSet<u32>>,
    progress: watch::Sender<usize>,
}

impl Held {
    pub(crate) fn new(target: Target, list: PieceList) -> Self {
        let (pieces, progress) = (RefCell::default(), watch::Sender::new(0));
        Self { target, list, pieces, progress }
    }

    pub(crate) fn insert(&self, index: u32) {
        self.pieces.borrow_mut().insert(index);
        self.progress.send_replace(self.pieces.borrow().len());
    }

    /// Forgets a piece that has turned bad.
    pub(crate) fn remove(&self, index: u32) {
        self.pieces.borrow_mut().remove(&index);
        self.progress.send_replace(self.pieces.borrow().len());
    }

    pub(crate) fn has(&self, index: u32) -> bool {
        self.pieces.borrow().contains(&index)
    }

    pub(crate) fn progress(&self) -> watch::Receiver<usize> {
        self.progress.subscribe()
    }

    pub(crate) fn missing(&self) -> Vec<u32> {
        let pieces = self.pieces.borrow();
        (0..self.list.count()).filter(|index| !pieces.contains(index)).collect()
    }

    /// Returns how many pieces there are.
    pub(crate) fn count(&self) -> usize {
        self.pieces.borrow().len()
    }

    pub(crate) fn indexes(&self) -> Vec<u32> {
        self.pieces.borrow().iter().copied().collect()
    }
}

/// What this agent holds for others.
#[derive(Debug, Default)]
pub(crate) struct Holdings {
    held: RefCell<Option<std::rc::Rc<Held>>>,
    /// Notified when another version takes the place of the last.
    replaced: watch::Sender<()>,
    /// Pieces that were sent to other agents.
    pub(crate) sent: Cell<u64>,
}

impl Holdings {
    pub(crate) fn get(&self) -> Option<std::rc::Rc<Held>> {
        self.held.borrow().clone()
    }

    pub(crate) fn find(&self, key: VersionDigest) -> Option<std::rc::Rc<Held>> {
        self.get().filter(|held| held.target.key() == key)
    }

    pub(crate) fn set(&self, held: std::rc::Rc<Held>) {
        self.held.replace(Some(held));
        self.replaced.send_replace(());
    }

    pub(crate) fn replaced(&self) -> watch::Receiver<()> {
        self.replaced.subscribe()
    }
}
