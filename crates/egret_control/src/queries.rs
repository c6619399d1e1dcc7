//! Reads of the replicated state.

use egret_record::{CatalogVersion, RecordName, StoredRecord};
use egret_rpc::DecodeError;

use crate::state::State;

impl State {
    /// Returns the stored revisions of a record, the latest last.
    #[must_use]
    pub fn history(&self, name: &RecordName) -> Vec<StoredRecord> {
        self.history.get(name).into_iter().flatten().cloned().collect()
    }

    /// Returns the version of the catalog in force, if there is one.
    #[must_use]
    pub fn catalog_version(&self) -> Option<CatalogVersion> {
        self.view().catalog.as_ref().map(|catalog| catalog.version)
    }

    /// Returns the catalog in force as the operator sent it, if there is one.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] when the stored document is damaged.
    pub fn catalog_source(&self) -> Result<Option<Vec<u8>>, DecodeError> {
        self.view().catalog.as_ref().map(|_| self.catalog_source.decompress()).transpose()
    }
}
