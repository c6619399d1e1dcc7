//! Assignment of models to backend servers.
//!
//! The plan is computed in the replicated state and depends on the view alone.
//! It keeps running replicas where possible, and never takes more than a
//! fraction of a record's replicas out of service at the same time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use egret_record::{
    Assignment, Backend, BackendName, BackendRole, Change, DataCentre, FastMap, ModelTarget, Phase,
    Placement, Record, RecordName, VersionDigest,
};

use crate::state::State;

/// Replicas of a record for each one that may switch to a new version at a time.
const REPLICAS_PER_SWITCH: usize = 4;

/// Model engines indexed by assignment, so that a plan visits each engine once.
#[derive(Debug, Default)]
struct Engines {
    data_centres: BTreeSet<DataCentre>,
    free: BTreeMap<DataCentre, BTreeSet<BackendName>>,
    assigned: FastMap<RecordName, BTreeMap<DataCentre, Vec<BackendName>>>,
}

impl Engines {
    fn new<'a>(backends: impl Iterator<Item = &'a Backend>) -> Self {
        let mut engines = Self::default();
        for backend in backends.filter(|backend| backend.role == BackendRole::Model) {
            let (name, centre) = (backend.name.clone(), backend.data_centre.clone());
            engines.data_centres.insert(centre.clone());
            match &backend.assignment {
                Some(assignment) => {
                    let assigned = engines.assigned.entry(assignment.record.clone()).or_default();
                    assigned.entry(centre).or_default().push(name);
                }
                None if backend.leaving => {}
                None => {
                    engines.free.entry(centre).or_default().insert(name);
                }
            }
        }
        engines
    }

    fn assigned(&self, record: &RecordName, data_centre: &DataCentre) -> Vec<BackendName> {
        let assigned = self.assigned.get(record).and_then(|assigned| assigned.get(data_centre));
        assigned.cloned().unwrap_or_default()
    }

    fn all_assigned(&self, record: &RecordName) -> Vec<BackendName> {
        self.assigned
            .get(record)
            .into_iter()
            .flat_map(|assigned| assigned.values().flatten().cloned())
            .collect()
    }

    fn free(&self, data_centre: &DataCentre) -> impl Iterator<Item = &BackendName> {
        self.free.get(data_centre).into_iter().flatten()
    }

    fn assign(&mut self, record: &RecordName, data_centre: &DataCentre, name: &BackendName) {
        if let Some(free) = self.free.get_mut(data_centre) {
            free.remove(name);
        }
        let assigned = self.assigned.entry(record.clone()).or_default();
        assigned.entry(data_centre.clone()).or_default().push(name.clone());
    }

    fn release(&mut self, record: &RecordName, data_centre: &DataCentre, name: &BackendName) {
        let assigned =
            self.assigned.get_mut(record).and_then(|assigned| assigned.get_mut(data_centre));
        if let Some(assigned) = assigned {
            assigned.retain(|other| other != name);
        }
        self.free.entry(data_centre.clone()).or_default().insert(name.clone());
    }
}

impl State {
    /// Updates all assignments to match the records.
    pub(crate) fn plan_rollouts(&mut self) {
        self.plan_due = false;
        self.release_removed();
        let mut records: Vec<_> = self
            .view
            .records
            .values()
            .map(|stored| stored.record.clone())
            .filter(|record| record.model().is_some())
            .collect();
        if records.is_empty() {
            return;
        }
        records.sort_by_key(|record| (Reverse(record.priority), record.name.clone()));
        let mut engines = Engines::new(self.view.backends.values());
        for record in &records {
            if let Some(model) = record.model() {
                self.plan_record(record, model, &mut engines);
            }
        }
    }

    /// Lets more replicas of a record switch versions, after one has reported progress.
    pub(crate) fn plan_switches(&mut self, record: &RecordName) {
        let Some(stored) = self.view.records.get(record) else { return };
        let Some(digest) = stored.record.model().map(|model| model.digest) else { return };
        let names: Vec<_> = self
            .view
            .backends
            .values()
            .filter(|backend| {
                backend.assignment.as_ref().is_some_and(|assignment| assignment.record == *record)
            })
            .map(|backend| backend.name.clone())
            .collect();
        self.activate_staged(digest, &names);
    }

    /// Releases the backend servers of records that were removed.
    fn release_removed(&mut self) {
        let removed: Vec<_> = self
            .view
            .backends
            .values()
            .filter(|backend| {
                backend.assignment.as_ref().is_some_and(|assignment| {
                    let stored = self.view.records.get(&assignment.record);
                    stored.is_none_or(|stored| stored.record.model().is_none())
                })
            })
            .map(|backend| backend.name.clone())
            .collect();
        for name in removed {
            self.assign(&name, None);
        }
    }

    fn plan_record(&mut self, record: &Record, model: &ModelTarget, engines: &mut Engines) {
        for (data_centre, wanted) in self.wanted(record, engines) {
            self.scale_data_centre(record, model, &data_centre, wanted, engines);
        }
        let names = engines.all_assigned(&record.name);
        self.update_versions(record, model, &names);
        self.activate_staged(model.digest, &names);
    }

    /// Returns the number of replicas that each data centre should have.
    fn wanted(&self, record: &Record, engines: &Engines) -> BTreeMap<DataCentre, usize> {
        match &record.placement {
            Placement::PerDataCentre(counts) => engines
                .data_centres
                .iter()
                .map(|name| (name.clone(), counts.get(name).copied().unwrap_or(0) as usize))
                .collect(),
            Placement::Spread(total) => {
                let capacity = engines.data_centres.iter().map(|name| {
                    let assigned = engines.assigned(&record.name, name);
                    let staying = assigned.iter().filter(|name| !self.view.backends[*name].leaving);
                    (name.clone(), staying.count() + engines.free(name).count())
                });
                spread(*total as usize, &capacity.collect())
            }
        }
    }

    fn scale_data_centre(
        &mut self,
        record: &Record,
        model: &ModelTarget,
        data_centre: &DataCentre,
        wanted: usize,
        engines: &mut Engines,
    ) {
        let mut assigned = engines.assigned(&record.name, data_centre);
        // Those that are leaving or serve nothing are released first.
        assigned.sort_by_key(|name| {
            let backend = &self.view.backends[name];
            (backend.leaving, backend.serving().is_none(), name.clone())
        });
        for name in assigned.iter().skip(wanted) {
            self.assign(name, None);
            engines.release(&record.name, data_centre, name);
        }
        let missing = wanted.saturating_sub(assigned.len());
        if missing == 0 {
            return;
        }
        let free = engines.free(data_centre);
        let mut free: Vec<_> = free.map(|name| (rank(&record.name, name), name.clone())).collect();
        free.sort_unstable();
        for (_, name) in free.into_iter().take(missing) {
            self.assign_version(&name, record, model.digest);
            engines.assign(&record.name, data_centre, &name);
        }
    }

    /// Assigns the record's current version where another one is assigned.
    fn update_versions(&mut self, record: &Record, model: &ModelTarget, names: &[BackendName]) {
        for name in names {
            let assignment = self.view.backends[name].assignment.as_ref();
            if assignment.is_some_and(|assignment| assignment.digest != model.digest) {
                self.assign_version(name, record, model.digest);
            }
        }
    }

    /// Activates the current version on some of the replicas that have staged it.
    fn activate_staged(&mut self, digest: VersionDigest, names: &[BackendName]) {
        let switching = names.iter().filter(|name| {
            let backend = &self.view.backends[*name];
            let active = backend.assignment.as_ref().is_some_and(|assignment| assignment.activate);
            active && backend.phase != Phase::Live(digest)
        });
        let max = (names.len() / REPLICAS_PER_SWITCH).max(1);
        let available = max.saturating_sub(switching.count());
        let ready: Vec<_> = names
            .iter()
            .filter(|name| {
                let backend = &self.view.backends[*name];
                let inactive =
                    backend.assignment.as_ref().is_some_and(|assignment| !assignment.activate);
                inactive && backend.holds(digest)
            })
            .take(available)
            .cloned()
            .collect();
        for name in ready {
            let mut assignment = self.view.backends[&name].assignment.clone();
            if let Some(assignment) = &mut assignment {
                assignment.activate = true;
            }
            self.assign(&name, assignment);
        }
    }

    fn assign_version(&mut self, name: &BackendName, record: &Record, digest: VersionDigest) {
        let fence = self.new_fence();
        // A backend server that serves nothing can switch at once without an outage.
        let activate = self.view.backends[name].serving().is_none();
        let record = record.name.clone();
        self.assign(name, Some(Assignment { record, digest, fence, activate }));
    }

    fn assign(&mut self, name: &BackendName, assignment: Option<Assignment>) {
        let Some(mut backend) = self.view.backends.get(name).cloned() else { return };
        if assignment.is_none() {
            backend.phase = Phase::Idle;
        }
        backend.assignment = assignment;
        self.change(Change::Backend(backend));
    }
}

/// Spreads replicas over data centres as evenly as their capacity allows.
fn spread(total: usize, capacity: &BTreeMap<DataCentre, usize>) -> BTreeMap<DataCentre, usize> {
    let mut wanted: BTreeMap<_, usize> = capacity.keys().map(|name| (name.clone(), 0)).collect();
    for _ in 0..total {
        let smallest = capacity
            .iter()
            .filter(|(name, capacity)| wanted[*name] < **capacity)
            .min_by_key(|(name, _)| wanted[*name])
            .map(|(name, _)| name.clone());
        let Some(count) = smallest.and_then(|name| wanted.get_mut(&name)) else { break };
        *count += 1;
    }
    wanted
}

/// Ranks backend servers by a hash that differs by record and is the same on every member.
fn rank(record: &RecordName, backend: &BackendName) -> VersionDigest {
    VersionDigest::of(format!("{record}\n{backend}").as_bytes())
}
