//! Routes, keys and weights, as the control state last told them.

use std::{rc::Rc, sync::Arc, time::Duration};

use egret_record::{Catalog, CatalogIndex, DataCentre, FastMap, FastSet, WeightVersion};
use egret_rpc::Follower;

/// What requests are judged by; replaced as a whole when the view changes.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) index: Rc<CatalogIndex>,
    pub(crate) out: FastSet<DataCentre>,
    /// The versions of each model's weights that were named, the latest last.
    pub(crate) named: FastMap<String, Vec<(WeightVersion, Duration)>>,
}

impl Tables {
    /// Builds the tables of a view; what did not change is taken over.
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
        let named = view.weights.keys().map(|model| (model.clone(), follower.announcements(model)));
        Self {
            catalog: view.catalog.clone(),
            index,
            out: view.out.iter().cloned().collect(),
            named: named.collect(),
        }
    }

    /// Returns the oldest version of a model that may still answer `grace` after its successor
    /// was named.
    ///
    /// Each version is due by its own time, also when a later one is named meanwhile.
    pub(crate) fn due_version(
        &self,
        model: &str,
        grace: Duration,
        now: Duration,
    ) -> Option<WeightVersion> {
        let named = self.named.get(model)?;
        let due = named.iter().filter(|(_, since)| now >= *since + grace);
        due.map(|(version, _)| *version).max()
    }

    /// Returns when the first version of a model after `held` is due.
    pub(crate) fn next_due(
        &self,
        model: &str,
        grace: Duration,
        held: Option<WeightVersion>,
    ) -> Option<Duration> {
        let later = self.named.get(model)?.iter().filter(|(version, _)| Some(*version) > held);
        later.map(|(_, since)| *since + grace).min()
    }

    pub(crate) fn is_out(&self, data_centre: &DataCentre) -> bool {
        self.out.contains(data_centre)
    }
}
