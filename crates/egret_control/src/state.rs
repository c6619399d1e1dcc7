//! The replicated state and its snapshot.

use std::collections::{BTreeMap, VecDeque};

use egret_fleet::StatusUpdate;
use egret_record::{
    BackendName, Change, Delta, EarlierChanges, EntryName, Fence, OperationId, RecordName,
    Revision, SessionId, StoredRecord, Subject, View, ViewWithoutParts,
};
use egret_rpc::{Compressed, DecodeError, Reply, decode, encode_after};
use serde::{Deserialize, Serialize};

use crate::{
    change_index::ChangeIndex,
    claims::Claims,
    recorded_status::{Departures, RecordedStatus},
};

/// Outcomes of amendments kept to answer retries.
const OUTCOMES_KEPT: usize = 10_000;
/// Revisions kept of each record.
const HISTORY_KEPT: usize = 50;

/// The entry or backend server that holds a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SessionHolder {
    Entry(EntryName),
    Backend(BackendName),
}

/// The outcomes of amendments; the oldest are removed first.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Outcomes {
    replies: BTreeMap<OperationId, Reply>,
    order: VecDeque<OperationId>,
}

impl Outcomes {
    pub(crate) fn get(&self, id: &OperationId) -> Option<&Reply> {
        self.replies.get(id)
    }

    pub(crate) fn insert(&mut self, id: OperationId, reply: Reply) {
        if self.order.len() == OUTCOMES_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.replies.remove(&oldest);
        }
        self.order.push_back(id.clone());
        self.replies.insert(id, reply);
    }
}

/// Marks snapshots that include the blocked parts of prompts; no encoding of [`encode`] begins so.
const WITH_PARTS: u8 = 0xff;
/// Marks snapshots that include departures of backend servers as well.
const WITH_DEPARTURES: u8 = 0xfe;
/// Marks snapshots that include all recorded status updates.
const WITH_STATUS: u8 = 0xfd;
/// Marks snapshots that include which subjects changed, in place of the changes themselves.
const WITH_CHANGE_INDEX: u8 = 0xfc;

/// A snapshot as programs wrote it that could not block parts of prompts.
#[derive(Deserialize)]
struct StateWithoutParts {
    view: ViewWithoutParts,
    sessions: BTreeMap<SessionId, SessionHolder>,
    claims: Claims,
    outcomes: Outcomes,
    winners: BTreeMap<RecordName, OperationId>,
    history: BTreeMap<RecordName, VecDeque<StoredRecord>>,
    catalog_source: Compressed,
    earlier_changes: EarlierChanges,
    next_session: u64,
    next_fence: u64,
    plan_due: bool,
}

impl From<StateWithoutParts> for State {
    fn from(state: StateWithoutParts) -> Self {
        Self {
            change_index: ChangeIndex::default(),
            view: state.view.into(),
            sessions: state.sessions,
            claims: state.claims,
            outcomes: state.outcomes,
            winners: state.winners,
            history: state.history,
            catalog_source: state.catalog_source,
            earlier_changes: state.earlier_changes,
            next_session: state.next_session,
            next_fence: state.next_fence,
            plan_due: state.plan_due,
            recorded: RecordedStatus::default(),
        }
    }
}

/// The replicated control state.
///
/// ```
/// use egret_control::State;
/// use egret_record::{DataCentre, OperationId};
/// use egret_rpc::{Command, Operation, Reply};
///
/// let mut state = State::default();
/// let reply = state.apply(Command::Amend {
///     id: OperationId::new("first").unwrap(),
///     expected: None,
///     operation: Operation::SetDataCentre { name: DataCentre::new("xela")?, out: true },
/// });
/// assert!(matches!(reply, Reply::Accepted { .. }));
/// # Ok::<(), egret_record::NameError>(())
/// ```
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct State {
    pub(crate) view: View,
    pub(crate) sessions: BTreeMap<SessionId, SessionHolder>,
    pub(crate) claims: Claims,
    pub(crate) outcomes: Outcomes,
    pub(crate) winners: BTreeMap<RecordName, OperationId>,
    pub(crate) history: BTreeMap<RecordName, VecDeque<StoredRecord>>,
    /// The catalog as the operator sent it.
    pub(crate) catalog_source: Compressed,
    /// Keeps the encoding of earlier programs, which had their changes here.
    earlier_changes: EarlierChanges,
    next_session: u64,
    next_fence: u64,
    /// Whether backend servers joined or left since the last plan.
    pub(crate) plan_due: bool,
    /// The recorded status of backend servers, which snapshots hold beside the rest.
    #[serde(skip)]
    pub(crate) recorded: RecordedStatus,
    /// What changed lately, for session holders that are behind; beside the rest as well.
    #[serde(skip)]
    change_index: ChangeIndex,
}

impl State {
    /// Returns the view that entries and agents follow.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Returns the open sessions.
    pub fn sessions(&self) -> impl Iterator<Item = SessionId> + '_ {
        self.sessions.keys().copied()
    }

    /// Returns whether backend servers joined or left since the last plan.
    #[must_use]
    pub const fn is_plan_due(&self) -> bool {
        self.plan_due
    }

    /// Returns the replicated status of backend servers that drain or have departed, and the proven
    /// weights of engines.
    pub fn recorded_status(&self) -> impl Iterator<Item = &StatusUpdate> {
        self.recorded.iter()
    }

    /// Encodes the complete state.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        encode_after(vec![WITH_CHANGE_INDEX], &(self, &self.recorded, &self.change_index))
    }

    /// Returns whether an earlier program wrote this snapshot, which then has all changes that it kept.
    pub(crate) fn is_earlier_snapshot(bytes: &[u8]) -> bool {
        bytes.first().is_some_and(|mark| *mark != WITH_CHANGE_INDEX)
    }

    /// Decodes a complete state; empty input gives the initial state.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] when the bytes are damaged or were written by a newer program.
    pub fn restore(bytes: &[u8]) -> Result<Self, DecodeError> {
        let state = match bytes.split_first() {
            None => Self::default(),
            Some((&WITH_CHANGE_INDEX, bytes)) => {
                let (state, recorded, change_index) =
                    decode::<(Self, RecordedStatus, ChangeIndex)>(bytes)?;
                return Ok(Self { recorded, change_index, ..state });
            }
            Some((&WITH_STATUS, bytes)) => {
                let (state, recorded) = decode::<(Self, RecordedStatus)>(bytes)?;
                Self { recorded, ..state }
            }
            Some((&WITH_DEPARTURES, bytes)) => {
                let (state, departures) = decode::<(Self, Departures)>(bytes)?;
                Self { recorded: departures.into(), ..state }
            }
            Some((&WITH_PARTS, state)) => decode(state)?,
            Some(_) => decode::<StateWithoutParts>(bytes).map(Self::from)?,
        };
        let change_index = ChangeIndex::starting_at(state.view.revision);
        Ok(Self { change_index, ..state })
    }

    /// Returns the latest state of what changed after revision `from`, or the complete view.
    ///
    /// The view is sent if `from` is zero, ahead of this state, or so old that not all that changed
    /// since is known.
    #[must_use]
    pub fn delta(&self, from: Revision) -> Delta {
        if from == Revision(0) || from > self.view.revision || !self.change_index.covers(from) {
            return Delta::Snapshot(Box::new(self.view.clone()));
        }
        let changes = self.view.changes_of(self.change_index.after(from));
        Delta::Changes { from, to: self.view.revision, changes }
    }

    /// Returns whether the changes after revision `from` must be sent at once.
    ///
    /// Progress of backend servers may be delayed briefly, so that a rollout to
    /// hundreds of them does not send every session holder as many deltas.
    #[must_use]
    pub fn is_urgent_after(&self, from: Revision) -> bool {
        let is_progress = |subject: &Subject| match subject {
            Subject::Backend(name) => {
                self.view.backends.get(name).is_some_and(|backend| !backend.leaving)
            }
            _ => false,
        };
        from == Revision(0)
            || !self.change_index.covers(from)
            || !self.change_index.after(from).all(is_progress)
    }

    /// Applies a change to the view, under a new revision.
    pub(crate) fn change(&mut self, change: Change) -> Revision {
        let revision = self.view.revision.next();
        self.change_index.record(change.subjects(), revision);
        self.view.apply_change(change);
        self.view.revision = revision;
        revision
    }

    pub(crate) fn push_history(&mut self, stored: StoredRecord) {
        let history = self.history.entry(stored.record.name.clone()).or_default();
        if history.len() == HISTORY_KEPT {
            history.pop_front();
        }
        history.push_back(stored);
    }

    pub(crate) const fn new_session(&mut self) -> SessionId {
        self.next_session += 1;
        SessionId(self.next_session)
    }

    pub(crate) const fn new_fence(&mut self) -> Fence {
        self.next_fence += 1;
        Fence(self.next_fence)
    }
}
