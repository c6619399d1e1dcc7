//! Commands that change the replicated state.

use egret_record::{
    Backend, BackendName, BlockedPart, Catalog, CatalogVersion, Change, DataCentre, Entry, Fence,
    OperationId, PartId, Phase, Record, RecordName, Revision, SessionId, StoredRecord, Target,
    WeightVersion,
};
use egret_rpc::{Command, Compressed, Holder, LeaveReason, Operation, Reply, decode};

use crate::state::{SessionHolder, State};

impl State {
    /// Applies a command; the same commands in the same order give the same state.
    pub fn apply(&mut self, command: Command) -> Reply {
        match command {
            Command::Amend { id, expected, operation } => self.amend(id, expected, operation),
            Command::Join(holder) => self.join(holder),
            Command::Report { session, fence, phase } => self.report(session, fence, phase),
            Command::Plan => {
                self.plan_rollouts();
                self.accepted()
            }
            Command::Drain(session) => self.drain(session),
            Command::Leave { session, reason } => self.leave(session, reason),
            Command::Claim { key, session, request, claimed_at } => {
                let alive = |session: &SessionId| self.sessions.contains_key(session);
                Reply::Claim(self.claims.claim(key, session, &request, claimed_at, alive))
            }
            Command::Settle { key, attempt, outcome } => {
                self.claims.settle(&key, attempt, outcome);
                self.accepted()
            }
            Command::PutCatalog { version, catalog, source } => {
                self.put_catalog(version, &catalog, source)
            }
            Command::NameWeights { model, version } => self.announce_weights(model, version),
            Command::BlockPart { part, doubtful } => self.block_part(part, doubtful),
            Command::OpenTrial { part, trials } => self.open_trial(part, trials),
            Command::ClaimTrial(part) => self.claim_trial(part),
            Command::ReleasePart(part) => self.release_part(part),
            Command::RecordStatus { update, recorded_at } => {
                self.recorded.record(update, recorded_at);
                self.accepted()
            }
            Command::RecordWeights { updates, recorded_at } => {
                for update in updates {
                    self.recorded.record(update, recorded_at);
                }
                self.accepted()
            }
        }
    }

    fn accepted(&self) -> Reply {
        Reply::Accepted { revision: self.view.revision }
    }

    fn amend(
        &mut self,
        id: OperationId,
        expected: Option<Revision>,
        operation: Operation,
    ) -> Reply {
        if let Some(outcome) = self.outcomes.get(&id) {
            return outcome.clone();
        }
        let reply = match operation {
            Operation::Put(record) => self.put(&id, expected, record),
            Operation::Remove(name) => self.remove(&id, expected, &name),
            Operation::SetDataCentre { name, out } => self.set_data_centre(name, out),
        };
        self.outcomes.insert(id, reply.clone());
        reply
    }

    fn put(&mut self, id: &OperationId, expected: Option<Revision>, record: Record) -> Reply {
        if let Some(conflict) = self.conflict(&record.name, expected) {
            return conflict;
        }
        if let Some(other) = self.conflicting_record(&record) {
            return Reply::Refused {
                message: format!(
                    "record {:?} takes the same model or path; change or remove it first",
                    other.as_str()
                ),
            };
        }
        let name = record.name.clone();
        let stored = StoredRecord { record, revision: self.view.revision.next() };
        self.push_history(stored.clone());
        let revision = self.change(Change::Record(stored));
        self.winners.insert(name, id.clone());
        self.plan_rollouts();
        Reply::Accepted { revision }
    }

    fn remove(&mut self, id: &OperationId, expected: Option<Revision>, name: &RecordName) -> Reply {
        if let Some(conflict) = self.conflict(name, expected) {
            return conflict;
        }
        if !self.view.records.contains_key(name) {
            let message = format!("there is no record {:?}; list the records", name.as_str());
            return Reply::Refused { message };
        }
        let revision = self.change(Change::RecordRemoved(name.clone()));
        self.winners.insert(name.clone(), id.clone());
        self.plan_rollouts();
        Reply::Accepted { revision }
    }

    fn conflict(&self, name: &RecordName, expected: Option<Revision>) -> Option<Reply> {
        let expected = expected?;
        let stored = self.view.records.get(name);
        let revision = stored.map_or(Revision(0), |stored| stored.revision);
        (revision != expected)
            .then(|| Reply::Conflict { revision, winner: self.winners.get(name).cloned() })
    }

    /// Returns another record with the same model or path, which would match the same requests.
    fn conflicting_record(&self, record: &Record) -> Option<&RecordName> {
        let same = |other: &Record| match (&record.target, &other.target) {
            (Target::Model(a), Target::Model(b)) => a.model == b.model,
            (Target::Service(a), Target::Service(b)) => a.path == b.path,
            _ => false,
        };
        self.view
            .records
            .values()
            .map(|stored| &stored.record)
            .find(|other| other.name != record.name && same(other))
            .map(|other| &other.name)
    }

    fn set_data_centre(&mut self, name: DataCentre, out: bool) -> Reply {
        if self.view.out.contains(&name) != out {
            self.change(Change::DataCentre { name, out });
            self.plan_rollouts();
        }
        self.accepted()
    }

    fn put_catalog(
        &mut self,
        version: CatalogVersion,
        catalog: &Compressed,
        source: Compressed,
    ) -> Reply {
        if self.view.catalog.as_ref().is_some_and(|current| current.version >= version) {
            return self.accepted();
        }
        let catalog: Result<Catalog, _> = catalog.decompress().and_then(|bytes| decode(&bytes));
        let catalog = match catalog {
            Ok(catalog) => catalog,
            Err(error) => return Reply::Refused { message: error.to_string() },
        };
        let patch = self.view.catalog.as_deref().cloned().unwrap_or_default().patch_to(&catalog);
        self.catalog_source = source;
        let revision = self.change(Change::Catalog(patch));
        Reply::Accepted { revision }
    }

    fn announce_weights(&mut self, model: String, version: WeightVersion) -> Reply {
        if self.view.weights.get(&model).is_none_or(|announced| *announced < version) {
            self.change(Change::Weights { model, version });
        }
        self.accepted()
    }

    fn block_part(&mut self, part: PartId, doubtful: bool) -> Reply {
        /// Number of blocked parts above which the one blocked longest is released.
        const BLOCKED_MAX: usize = 1_024;
        if self.view.blocked.contains_key(&part) {
            return self.accepted();
        }
        if self.view.blocked.len() >= BLOCKED_MAX
            && let Some((oldest, _)) = self.view.blocked.iter().min_by_key(|(_, block)| block.since)
        {
            let oldest = *oldest;
            self.change(Change::PartReleased(oldest));
        }
        let since = self.view.revision.next();
        let block = BlockedPart { since, trials: 0, doubtful, trial_open: false };
        self.change(Change::PartBlocked(part, block));
        self.accepted()
    }

    fn open_trial(&mut self, part: PartId, trials: u32) -> Reply {
        let block = self.view.blocked.get(&part).copied();
        if let Some(block) = block.filter(|block| block.trials == trials && !block.trial_open) {
            self.change(Change::PartBlocked(part, BlockedPart { trial_open: true, ..block }));
        }
        self.accepted()
    }

    fn claim_trial(&mut self, part: PartId) -> Reply {
        let block = self.view.blocked.get(&part).copied();
        let Some(block) = block.filter(|block| block.trial_open) else {
            let message = format!("part {part} has no open trial; come back later");
            return Reply::Refused { message };
        };
        let trials = block.trials + 1;
        self.change(Change::PartBlocked(part, BlockedPart { trials, trial_open: false, ..block }));
        self.accepted()
    }

    fn release_part(&mut self, part: PartId) -> Reply {
        if self.view.blocked.contains_key(&part) {
            self.change(Change::PartReleased(part));
        }
        self.accepted()
    }

    fn join(&mut self, holder: Holder) -> Reply {
        let session = self.new_session();
        match holder {
            Holder::Entry { name, data_centre, address } => {
                if let Some(old) = self.view.entries.get(&name) {
                    self.sessions.remove(&old.session);
                }
                self.sessions.insert(session, SessionHolder::Entry(name.clone()));
                let entry = Entry { name, data_centre, address, session, leaving: false };
                self.change(Change::Entry(entry));
            }
            Holder::Backend { name, data_centre, address, peer_address, role, limit } => {
                let old = self.view.backends.get(&name).cloned();
                if let Some(old) = &old {
                    self.sessions.remove(&old.session);
                }
                self.sessions.insert(session, SessionHolder::Backend(name.clone()));
                let mut assignment = old.and_then(|old| old.assignment);
                if let Some(assignment) = &mut assignment {
                    // The new fence outdates the assignment that the former agent received.
                    assignment.fence = self.new_fence();
                    assignment.activate = true;
                }
                self.change(Change::Backend(Backend {
                    name,
                    data_centre,
                    address,
                    peer_address,
                    role,
                    limit,
                    session,
                    assignment,
                    phase: Phase::Idle,
                    leaving: false,
                }));
                self.plan_due = true;
            }
        }
        Reply::Joined { session }
    }

    fn report(&mut self, session: SessionId, fence: Fence, phase: Phase) -> Reply {
        let Some(name) = self.backend_of(session) else {
            return Reply::SessionGone;
        };
        let Some(mut backend) = self.view.backends.get(&name).cloned() else {
            return Reply::SessionGone;
        };
        let ordered = backend.assignment.as_ref().map_or(Fence(0), |assignment| assignment.fence);
        if ordered == fence && backend.phase != phase {
            let record = backend.assignment.as_ref().map(|assignment| assignment.record.clone());
            backend.phase = phase;
            self.change(Change::Backend(backend));
            if let Some(record) = record {
                self.plan_switches(&record);
            }
        }
        self.accepted()
    }

    fn drain(&mut self, session: SessionId) -> Reply {
        match self.sessions.get(&session).cloned() {
            None => return Reply::SessionGone,
            Some(SessionHolder::Entry(name)) => {
                if let Some(mut entry) = self.view.entries.get(&name).cloned() {
                    entry.leaving = true;
                    self.change(Change::Entry(entry));
                }
            }
            Some(SessionHolder::Backend(name)) => {
                if let Some(mut backend) = self.view.backends.get(&name).cloned() {
                    backend.leaving = true;
                    self.change(Change::Backend(backend));
                }
            }
        }
        self.accepted()
    }

    fn leave(&mut self, session: SessionId, _reason: LeaveReason) -> Reply {
        match self.sessions.remove(&session) {
            None => return Reply::SessionGone,
            Some(SessionHolder::Entry(name)) => {
                self.change(Change::EntryLeft(name));
            }
            Some(SessionHolder::Backend(name)) => {
                self.change(Change::BackendLeft(name));
                self.plan_due = true;
            }
        }
        self.accepted()
    }

    fn backend_of(&self, session: SessionId) -> Option<BackendName> {
        match self.sessions.get(&session)? {
            SessionHolder::Backend(name) => Some(name.clone()),
            SessionHolder::Entry(_) => None,
        }
    }
}
