//! Routes, API keys and weight versions, as last received from the control state.

use std::{rc::Rc, sync::Arc, time::Duration};

use egret_record::{
    BlockedPart, Catalog, CatalogIndex, DataCentre, FastMap, FastSet, PartId, WeightVersion,
};
use egret_rpc::Follower;
use imbl::OrdMap;

/// Lookup tables for requests; replaced as a whole when the view changes.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) index: Rc<CatalogIndex>,
    pub(crate) out: FastSet<DataCentre>,
    /// The announced weight versions of each model with their times, latest last.
    pub(crate) announced: FastMap<String, Vec<(WeightVersion, Duration)>>,
    /// The blocked parts of prompts.
    pub(crate) blocked: OrdMap<PartId, BlockedPart>,
}

impl Tables {
    /// Builds the tables of the latest view; an unchanged catalog keeps its index.
    pub(crate) fn next(&self, follower: &Follower) -> Self {
        let view = follower.view();
        let same = match (&self.catalog, &view.catalog) {
            (Some(old), Some(new)) => old.version == new.version,
            (None, None) => true,
            _ => false,
        };
        let index = match &view.catalog {
            _ if same => self.index.clone(),
            Some(catalog) => Rc::new(CatalogIndex::new(catalog)),
            None => Rc::default(),
        };
        let announced =
            view.weights.keys().map(|model| (model.clone(), follower.announcements(model)));
        Self {
            catalog: view.catalog.clone(),
            index,
            out: view.out.iter().cloned().collect(),
            announced: announced.collect(),
            blocked: view.blocked.clone(),
        }
    }

    /// Returns the oldest version of a model that may still answer.
    ///
    /// A version becomes due `grace` after its announcement, also when a later one is announced
    /// meanwhile; older versions may not answer from then on.
    pub(crate) fn due_version(
        &self,
        model: &str,
        grace: Duration,
        now: Duration,
    ) -> Option<WeightVersion> {
        let announced = self.announced.get(model)?;
        let due = announced.iter().filter(|(_, time)| now >= *time + grace);
        due.map(|(version, _)| *version).max()
    }

    /// Returns when the first version of a model after `loaded` becomes due.
    pub(crate) fn next_due(
        &self,
        model: &str,
        grace: Duration,
        loaded: Option<WeightVersion>,
    ) -> Option<Duration> {
        let later =
            self.announced.get(model)?.iter().filter(|(version, _)| Some(*version) > loaded);
        later.map(|(_, time)| *time + grace).min()
    }

    /// Returns whether agents load the weights of a service's engines.
    pub(crate) fn is_loaded_by_agents(&self, service: &str) -> bool {
        self.catalog.as_ref().is_some_and(|catalog| catalog.is_loaded_by_agents(service))
    }

    pub(crate) fn is_out(&self, data_centre: &DataCentre) -> bool {
        self.out.contains(data_centre)
    }
}
