//! What reads the state.

use egret_record::{RecordName, StoredRecord};

use crate::state::State;

impl State {
    /// Returns the earlier forms of a record, the latest last.
    #[must_use]
    pub fn history(&self, name: &RecordName) -> Vec<StoredRecord> {
        self.history.get(name).into_iter().flatten().cloned().collect()
    }
}
