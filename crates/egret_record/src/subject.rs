//! The parts of a view that change on their own.

use serde::{Deserialize, Serialize};

use crate::{BackendName, CatalogPatch, Change, DataCentre, EntryName, PartId, RecordName, View};

/// A part of a view that changes on its own.
///
/// What a follower is missing is told by the subjects that have changed and the latest view, so
/// that no change has to be kept.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A record.
    Record(RecordName),
    /// Whether a data centre is out of rotation.
    DataCentre(DataCentre),
    /// A backend server.
    Backend(BackendName),
    /// An entry.
    Entry(EntryName),
    /// The version of the catalog, and its limits on requests.
    Catalog,
    /// A route of the catalog.
    Route(String),
    /// A service of the catalog.
    Service(String),
    /// An organisation of the catalog.
    Organisation(String),
    /// The target version of a model's weights.
    Weights(String),
    /// A part of prompts.
    Part(PartId),
}

impl Subject {
    /// Returns the name of the subject, or an empty string if it has none of variable length.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Record(name) => name.as_str(),
            Self::DataCentre(name) => name.as_str(),
            Self::Backend(name) => name.as_str(),
            Self::Entry(name) => name.as_str(),
            Self::Route(name)
            | Self::Service(name)
            | Self::Organisation(name)
            | Self::Weights(name) => name,
            Self::Catalog | Self::Part(_) => "",
        }
    }
}

impl Change {
    /// Returns the subjects that the change affects.
    #[must_use]
    pub fn subjects(&self) -> Vec<Subject> {
        vec![match self {
            Self::Record(stored) => Subject::Record(stored.record.name.clone()),
            Self::RecordRemoved(name) => Subject::Record(name.clone()),
            Self::DataCentre { name, .. } => Subject::DataCentre(name.clone()),
            Self::Backend(backend) => Subject::Backend(backend.name.clone()),
            Self::BackendLeft(name) => Subject::Backend(name.clone()),
            Self::Entry(entry) => Subject::Entry(entry.name.clone()),
            Self::EntryLeft(name) => Subject::Entry(name.clone()),
            Self::Catalog(patch) => return patch.subjects(),
            Self::Weights { model, .. } => Subject::Weights(model.clone()),
            Self::PartBlocked(part, _) | Self::PartReleased(part) => Subject::Part(*part),
        }]
    }
}

impl CatalogPatch {
    fn subjects(&self) -> Vec<Subject> {
        let routes = self.routes.iter().map(|route| &route.name).chain(&self.removed_routes);
        let services =
            self.services.iter().map(|service| &service.name).chain(&self.removed_services);
        let organisations = self.organisations.iter().map(|organisation| &organisation.name);
        let organisations = organisations.chain(&self.removed_organisations);
        std::iter::once(Subject::Catalog)
            .chain(routes.cloned().map(Subject::Route))
            .chain(services.cloned().map(Subject::Service))
            .chain(organisations.cloned().map(Subject::Organisation))
            .collect()
    }
}

impl View {
    /// Returns changes that bring these subjects, in any other view, to their state in this one.
    #[must_use]
    pub fn changes_of<'a>(&self, subjects: impl IntoIterator<Item = &'a Subject>) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut patch = None;
        for subject in subjects {
            match subject {
                Subject::Catalog
                | Subject::Route(_)
                | Subject::Service(_)
                | Subject::Organisation(_) => {
                    if let Some(catalog) = &self.catalog {
                        catalog.add_to_patch(
                            patch.get_or_insert_with(|| CatalogPatch::empty(catalog)),
                            subject,
                        );
                    }
                }
                subject => changes.extend(self.change_of(subject)),
            }
        }
        changes.extend(patch.map(Change::Catalog));
        changes
    }

    /// Returns the change that sets a subject outside the catalog to its state in this view.
    fn change_of(&self, subject: &Subject) -> Option<Change> {
        Some(match subject {
            Subject::Record(name) => self.records.get(name).map_or_else(
                || Change::RecordRemoved(name.clone()),
                |stored| Change::Record(stored.clone()),
            ),
            Subject::DataCentre(name) => {
                Change::DataCentre { name: name.clone(), out: self.out.contains(name) }
            }
            Subject::Backend(name) => self.backends.get(name).map_or_else(
                || Change::BackendLeft(name.clone()),
                |backend| Change::Backend(backend.clone()),
            ),
            Subject::Entry(name) => self.entries.get(name).map_or_else(
                || Change::EntryLeft(name.clone()),
                |entry| Change::Entry(entry.clone()),
            ),
            Subject::Weights(model) => {
                Change::Weights { model: model.clone(), version: *self.weights.get(model)? }
            }
            Subject::Part(part) => self.blocked.get(part).map_or_else(
                || Change::PartReleased(*part),
                |block| Change::PartBlocked(*part, *block),
            ),
            Subject::Catalog
            | Subject::Route(_)
            | Subject::Service(_)
            | Subject::Organisation(_) => return None,
        })
    }
}
