//! Which backend server shall run what.
//!
//! The plan is part of the replicated state: it follows from the view alone,
//! keeps what runs, and never takes more than a share of a record's replicas
//! from service at once.

use std::{cmp::Reverse, collections::BTreeMap};

use egret_record::{
    Assignment, Backend, BackendName, BackendRole, Change, DataCentre, ModelTarget, Phase,
    Placement, Record, RecordName, VersionDigest,
};

use crate::state::State;

/// Replicas, of which one may switch to a new version at a time.
const REPLICAS_PER_SWITCH: usize = 4;

impl State {
    /// Brings the assignments in line with the records.
    pub(crate) fn plan_rollouts(&mut self) {
        self.release_removed();
        let mut records: Vec<_> = self
            .view
            .records
            .values()
            .map(|stored| stored.record.clone())
            .filter(|record| record.model().is_some())
            .collect();
        records.sort_by_key(|record| (Reverse(record.priority), record.name.clone()));
        for record in &records {
            if let Some(model) = record.model() {
                self.plan_record(record, model);
            }
        }
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

    fn plan_record(&mut self, record: &Record, model: &ModelTarget) {
        for (data_centre, wanted) in self.wanted(record) {
            self.fit_data_centre(record, model, &data_centre, wanted);
        }
        self.renew_versions(record, model);
        self.allow_switches(record, model);
    }

    /// Returns how many replicas each data centre shall have.
    fn wanted(&self, record: &Record) -> BTreeMap<DataCentre, usize> {
        let usable = |backend: &&Backend| {
            backend.role == BackendRole::Model
                && !backend.leaving
                && backend.assignment.as_ref().is_none_or(|order| order.record == record.name)
        };
        let mut room: BTreeMap<DataCentre, usize> = BTreeMap::new();
        for backend in self.view.backends.values().filter(|b| b.role == BackendRole::Model) {
            room.entry(backend.data_centre.clone()).or_default();
        }
        for backend in self.view.backends.values().filter(usable) {
            *room.entry(backend.data_centre.clone()).or_default() += 1;
        }
        match &record.placement {
            Placement::PerDataCentre(counts) => room
                .keys()
                .map(|name| (name.clone(), counts.get(name).copied().unwrap_or(0) as usize))
                .collect(),
            Placement::Spread(total) => spread(*total as usize, &room),
        }
    }

    fn fit_data_centre(
        &mut self,
        record: &Record,
        model: &ModelTarget,
        data_centre: &DataCentre,
        wanted: usize,
    ) {
        let mut held = self.assigned(&record.name, Some(data_centre));
        // Those that serve are kept longest.
        held.sort_by_key(|name| {
            let backend = &self.view.backends[name];
            (backend.leaving, backend.serving().is_none(), name.clone())
        });
        for name in held.iter().skip(wanted) {
            self.assign(name, None);
        }
        let missing = wanted.saturating_sub(held.len());
        let mut free: Vec<_> = self
            .view
            .backends
            .values()
            .filter(|backend| backend.role == BackendRole::Model && !backend.leaving)
            .filter(|backend| backend.assignment.is_none() && backend.data_centre == *data_centre)
            .map(|backend| (rank(&record.name, &backend.name), backend.name.clone()))
            .collect();
        free.sort_unstable();
        for (_, name) in free.into_iter().take(missing) {
            self.order(&name, record, model.digest);
        }
    }

    /// Orders the present version where an older one is assigned.
    fn renew_versions(&mut self, record: &Record, model: &ModelTarget) {
        for name in self.assigned(&record.name, None) {
            let assignment = self.view.backends[&name].assignment.as_ref();
            if assignment.is_some_and(|order| order.digest != model.digest) {
                self.order(&name, record, model.digest);
            }
        }
    }

    /// Lets some of the replicas that hold the present version switch to it.
    fn allow_switches(&mut self, record: &Record, model: &ModelTarget) {
        let names = self.assigned(&record.name, None);
        let switching = names.iter().filter(|name| {
            let backend = &self.view.backends[*name];
            let ordered = backend.assignment.as_ref().is_some_and(|order| order.activate);
            ordered && backend.phase != Phase::Live(model.digest)
        });
        let most = (names.len() / REPLICAS_PER_SWITCH).max(1);
        let room = most.saturating_sub(switching.count());
        let ready: Vec<_> = names
            .iter()
            .filter(|name| {
                let backend = &self.view.backends[*name];
                let waits = backend.assignment.as_ref().is_some_and(|order| !order.activate);
                waits && backend.holds(model.digest)
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

    fn assigned(&self, record: &RecordName, data_centre: Option<&DataCentre>) -> Vec<BackendName> {
        self.view
            .backends
            .values()
            .filter(|backend| data_centre.is_none_or(|name| backend.data_centre == *name))
            .filter(|backend| {
                backend.assignment.as_ref().is_some_and(|order| order.record == *record)
            })
            .map(|backend| backend.name.clone())
            .collect()
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
