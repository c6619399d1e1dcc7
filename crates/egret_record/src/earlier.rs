//! What earlier programs wrote into their snapshots.

use std::{collections::BTreeMap, fmt, sync::Arc};

use imbl::{OrdMap, OrdSet};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{SeqAccess, Visitor},
    ser::SerializeSeq as _,
};

use crate::{
    Backend, BackendName, BlockedPart, CallerLimits, Catalog, CatalogVersion, DataCentre, Entry,
    EntryName, OrganisationSpec, PartId, RecordName, Revision, Route, ServiceSpec, StoredRecord,
    View, WeightVersion,
};

/// A view as programs wrote it that could not block parts of prompts.
#[derive(Debug, Clone, Deserialize)]
pub struct ViewWithoutParts {
    revision: Revision,
    #[serde(deserialize_with = "crate::persistent::map")]
    records: OrdMap<RecordName, StoredRecord>,
    #[serde(deserialize_with = "crate::persistent::set")]
    out: OrdSet<DataCentre>,
    #[serde(deserialize_with = "crate::persistent::map")]
    backends: OrdMap<BackendName, Backend>,
    #[serde(deserialize_with = "crate::persistent::map")]
    entries: OrdMap<EntryName, Entry>,
    catalog: Option<Arc<Catalog>>,
    #[serde(deserialize_with = "crate::persistent::map")]
    weights: OrdMap<String, WeightVersion>,
}

impl From<ViewWithoutParts> for View {
    fn from(view: ViewWithoutParts) -> Self {
        let ViewWithoutParts { revision, records, out, backends, entries, catalog, weights } = view;
        let blocked = OrdMap::new();
        Self { revision, records, out, backends, entries, catalog, weights, blocked }
    }
}

/// The list of changes that earlier programs kept for their followers.
///
/// It is written as an empty list. Reading drops each change before the next, since together they
/// may take more memory than an instance has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EarlierChanges;

impl Serialize for EarlierChanges {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_seq(Some(0))?.end()
    }
}

impl<'de> Deserialize<'de> for EarlierChanges {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(SkipChanges)
    }
}

struct SkipChanges;

impl<'de> Visitor<'de> for SkipChanges {
    type Value = EarlierChanges;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of changes")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut changes: A) -> Result<Self::Value, A::Error> {
        while changes.next_element::<(Revision, EarlierChange)>()?.is_some() {}
        Ok(EarlierChanges)
    }
}

/// A change of the view, with the encoding that [`Change`](crate::Change) had.
#[derive(Deserialize)]
#[expect(dead_code, reason = "decoded only to find the end of the list")]
enum EarlierChange {
    Record(StoredRecord),
    RecordRemoved(RecordName),
    DataCentre { name: DataCentre, out: bool },
    Backend(Backend),
    BackendLeft(BackendName),
    Entry(Entry),
    EntryLeft(EntryName),
    Catalog(EarlierPatch),
    Weights { model: String, version: WeightVersion },
    PartBlocked(PartId, BlockedPart),
    PartReleased(PartId),
}

/// A patch of the catalog that had all services or organisations if one of them changed.
#[derive(Deserialize)]
#[expect(dead_code, reason = "decoded only to find the end of the list")]
struct EarlierPatch {
    version: CatalogVersion,
    routes: Vec<Route>,
    removed: Vec<String>,
    services: Option<BTreeMap<String, ServiceSpec>>,
    organisations: Option<BTreeMap<String, OrganisationSpec>>,
    limits: CallerLimits,
}
