//! Records, identifiers and the shared view of the control state.
//!
//! Operators configure the system only through records and the catalog. This
//! crate decodes and validates both record schemas, and defines the shared
//! [`View`]: the records, data centres, backend servers, entries and catalog
//! that every entry and agent knows at a revision.
//!
//! - `catalog`: routes, services and organisations, declared in one document.
//! - `earlier`: encodings of earlier programs.
//! - `engine`: the model engines of a service and their figures.
//! - `name`: identifiers, as a distinct type for each kind.
//! - `digest`: content digests.
//! - `part`: parts of prompts.
//! - `rate`: request rates.
//! - `record`: a record in its normalized form, independent of its schema.
//! - `schema`: the two record schemas that operators write.
//! - `subject`: the parts of a view that change on their own.
//! - `view`: the shared view and the changes between its revisions.
//!
//! ```
//! let text = "
//! schema: 1
//! name: register
//! service: register
//! path: /register
//! calls: [{ method: POST, path: /register/orders, once: true }]
//! ";
//! let record = egret_record::parse_record("register.yaml", text)?;
//! assert_eq!(record.name.as_str(), "register");
//! # Ok::<(), Box<egret_settings::DocumentError>>(())
//! ```

mod catalog;
mod digest;
mod earlier;
mod engine;
mod name;
mod part;
mod persistent;
mod rate;
mod record;
mod schema;
mod subject;
mod view;

pub use catalog::{
    CallerLimits, Catalog, CatalogError, CatalogIndex, CatalogPatch, OrganisationSpec, OriginSpec,
    Route, RouteKind, RouteTarget, ServiceSpec,
};
pub use digest::{ParseDigestError, VersionDigest};
pub use earlier::{EarlierChanges, ViewWithoutParts};
pub use engine::{EngineFigures, EngineSpec};
pub use name::{
    BackendName, CatalogVersion, DataCentre, EntryName, Fence, IdempotencyKey, MemberId, NameError,
    OperationId, Organisation, RecordName, Revision, SessionId, WeightVersion,
};
pub use part::{InvalidPartId, PartId, PartList};
pub use rate::RateLimit;
pub use record::{
    CallRule, ModelTarget, Objective, Placement, Priority, Record, ServiceTarget, Target, Weight,
    has_prefix,
};
pub use schema::parse_record;
pub use subject::Subject;
pub use view::{
    Assignment, Backend, BackendRole, BlockedPart, Change, Delta, Entry, Phase, StoredRecord, View,
    ViewError,
};

/// A hash map with a fast, non-cryptographic hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// A hash set with a fast, non-cryptographic hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// Re-exports the common identifiers and the view.
pub mod prelude {
    pub use crate::{
        BackendName, DataCentre, EntryName, FastMap, FastSet, Fence, Record, RecordName, Revision,
        SessionId, VersionDigest, View,
    };
}
