//! Which backend server shall run what.
//!
//! The plan is part of the replicated state: it follows from the view alone,
//! keeps what runs, and never takes more than a share of a record's replicas
//! from service at once.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use egret_record::{
    Assignment, Backend, BackendName, BackendRole, Change, DataCentre, FastMap, ModelTarget, Phase,
    Placement, Record, RecordName, VersionDigest,
};

use crate::state::State;

/// Replicas, of which one may switch to a new version at a time.
const REPLICAS_PER_SWITCH: usize = 4;

/// The model engines by what they are assigned, so that a plan looks at each once.
#[derive(Debug, Default)]
struct Engines {
    data_centres: BTreeSet<DataCentre>,
    free: BTreeMap<DataCentre, BTreeSet<BackendName>>,
    held: FastMap<RecordName, BTreeMap<DataCentre, Vec<BackendName>>>,
}

impl Engines {
    fn new<'a>(backends: impl Iterator<Item = &'a Backend>) -> Self {
        let mut engines = Self::default();
        for backend in backends.filter(|backend| backend.role == BackendRole::Model) {
            let (name, centre) = (backend.name.clone(), backend.data_centre.clone());
            engines.data_centres.insert(centre.clone());
            match &backend.assignment {
                Some(order) => {
                    let held = engines.held.entry(order.record.clone()).or_default();
                    held.entry(centre).or_default().push(name);
                }
                None if backend.leaving => {}
                None => {
                    engines.free.entry(centre).or_default().insert(name);
                }
            }
        }
        engines
    }

    fn held(&self, record: &RecordName, data_centre: &DataCentre) -> Vec<BackendName> {
        let held = self.held.get(record).and_then(|held| held.get(data_centre));
        held.cloned().unwrap_or_default()
    }

    fn all_held(&self, record: &RecordName) -> Vec<BackendName> {
        self.held
            .get(record)
            .into_iter()
            .flat_map(|held| held.values().flatten().cloned())
            .collect()
    }

    fn free(&self, data_centre: &DataCentre) -> impl Iterator<Item = &BackendName> {
        self.free.get(data_centre).into_iter().flatten()
    }

    fn take(&mut self, record: &RecordName, data_centre: &DataCentre, name: &BackendName) {
        if let Some(free) = self.free.get_mut(data_centre) {
            free.remove(name);
        }
        let held = self.held.entry(record.clone()).or_default();
        held.entry(data_centre.clone()).or_default().push(name.clone());
    }

    fn release(&mut self, record: &RecordName, data_centre: &DataCentre, name: &BackendName) {
        let held = self.held.get_mut(record).and_then(|held| held.get_mut(data_centre));
        if let Some(held) = held {
            held.retain(|other| other != name);
        }
        self.free.entry(data_centre.clone()).or_default().insert(name.clone());
    }
}

impl State {
    /// Brings the assignments in line with the records.
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

    /// Lets more replicas of a record switch after one has come further.
    pub(crate) fn plan_switches(&mut self, record: &RecordName) {
        let Some(stored) = self.view.records.get(record) else { return };
        let Some(digest) = stored.record.model().map(|model| model.digest) else { return };
        let names: Vec<_> = self
            .view
            .backends
            .values()
            .filter(|backend| {
                backend.assignment.as_ref().is_some_and(|order| order.record == *record)
            })
            .map(|backend| backend.name.clone())
            .collect();
        self.allow_switches(digest, &names);
    }

    /// Frees the backend servers of records that are gone.
    fn release_removed(&mut self) {
        let gone: Vec<_> = self
            .view
            .backends
            .values()
            .filter(|backend| {
                backend.assignment.as_ref().is_some_and(|order| {
                    let stored = self.view.records.get(&order.record);
                    stored.is_none_or(|stored| stored.record.model().is_none())
                })
            })
            .map(|backend| backend.name.clone())
            .collect();
        for name in gone {
            self.assign(&name, None);
        }
    }

    fn plan_record(&mut self, record: &Record, model: &ModelTarget, engines: &mut Engines) {
        for (data_centre, wanted) in self.wanted(record, engines) {
            self.fit_data_centre(record, model, &data_centre, wanted, engines);
        }
        let names = engines.all_held(&record.name);
        self.renew_versions(record, model, &names);
        self.allow_switches(model.digest, &names);
    }

    /// Returns how many replicas each data centre shall have.
    fn wanted(&self, record: &Record, engines: &Engines) -> BTreeMap<DataCentre, usize> {
        match &record.placement {
            Placement::PerDataCentre(counts) => engines
                .data_centres
                .iter()
                .map(|name| (name.clone(), counts.get(name).copied().unwrap_or(0) as usize))
                .collect(),
            Placement::Spread(total) => {
                let room = engines.data_centres.iter().map(|name| {
                    let held = engines.held(&record.name, name);
                    let staying = held.iter().filter(|held| !self.view.backends[*held].leaving);
                    (name.clone(), staying.count() + engines.free(name).count())
                });
                spread(*total as usize, &room.collect())
            }
        }
    }

    fn fit_data_centre(
        &mut self,
        record: &Record,
        model: &ModelTarget,
        data_centre: &DataCentre,
        wanted: usize,
        engines: &mut Engines,
    ) {
        let mut held = engines.held(&record.name, data_centre);
        // Those that serve are kept longest.
        held.sort_by_key(|name| {
            let backend = &self.view.backends[name];
            (backend.leaving, backend.serving().is_none(), name.clone())
        });
        for name in held.iter().skip(wanted) {
            self.assign(name, None);
            engines.release(&record.name, data_centre, name);
        }
        let missing = wanted.saturating_sub(held.len());
        if missing == 0 {
            return;
        }
        let free = engines.free(data_centre);
        let mut free: Vec<_> = free.map(|name| (rank(&record.name, name), name.clone())).collect();
        free.sort_unstable();
        for (_, name) in free.into_iter().take(missing) {
            self.order(&name, record, model.digest);
            engines.take(&record.name, data_centre, &name);
        }
    }

    /// Orders the present version where an older one is assigned.
    fn renew_versions(&mut self, record: &Record, model: &ModelTarget, names: &[BackendName]) {
        for name in names {
            let assignment = self.view.backends[name].assignment.as_ref();
            if assignment.is_some_and(|order| order.digest != model.digest) {
                self.order(name, record, model.digest);
            }
        }
    }

    /// Lets some of the replicas that hold the present version switch to it.
    fn allow_switches(&mut self, digest: VersionDigest, names: &[BackendName]) {
        let switching = names.iter().filter(|name| {
            let backend = &self.view.backends[*name];
            let ordered = backend.assignment.as_ref().is_some_and(|order| order.activate);
            ordered && backend.phase != Phase::Live(digest)
        });
        let most = (names.len() / REPLICAS_PER_SWITCH).max(1);
        let room = most.saturating_sub(switching.count());
        let ready: Vec<_> = names
            .iter()
            .filter(|name| {
                let backend = &self.view.backends[*name];
                let waits = backend.assignment.as_ref().is_some_and(|order| !order.activate);
                waits && backend.holds(digest)
            })
            .take(room)
            .cloned()
            .collect();
        for name in ready {
            let mut assignment = self.view.backends[&name].assignment.clone();
            if let Some(order) = &mut assignment {
                order.activate = true;
            }
            self.assign(&name, assignment);
        }
    }

    fn order(&mut self, name: &BackendName, record: &Record, digest: VersionDigest) {
        let fence = self.new_fence();
        // What serves nothing loses nothing by switching at once.
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

/// Spreads replicas over data centres as evenly as their room allows.
fn spread(total: usize, room: &BTreeMap<DataCentre, usize>) -> BTreeMap<DataCentre, usize> {
    let mut wanted: BTreeMap<_, usize> = room.keys().map(|name| (name.clone(), 0)).collect();
    for _ in 0..total {
        let least = room
            .iter()
            .filter(|(name, room)| wanted[*name] < **room)
            .min_by_key(|(name, _)| wanted[*name])
            .map(|(name, _)| name.clone());
        let Some(count) = least.and_then(|name| wanted.get_mut(&name)) else { break };
        *count += 1;
    }
    wanted
}

/// Orders backend servers differently for each record, and alike on every member.
fn rank(record: &RecordName, backend: &BackendName) -> VersionDigest {
    VersionDigest::of(format!("{record}\n{backend}").as_bytes())
}
