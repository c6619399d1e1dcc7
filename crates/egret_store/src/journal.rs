//! Snapshot and log of a member.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use egret_consensus::{HardState, LogEntry, Persisted, Snapshot};
use serde::{Deserialize, Serialize};

use crate::{
    folder::{StoreError, replace_file},
    frame::{self, Decoded},
};

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

/// The content of one frame; its entries replace all entries from the first one's index on.
#[derive(Debug, Default, Deserialize)]
struct Batch {
    hard_state: Option<HardState>,
    entries: Vec<LogEntry>,
}

/// A [`Batch`] to be written.
#[derive(Debug, Serialize)]
struct BatchView<'a> {
    hard_state: Option<HardState>,
    entries: &'a [LogEntry],
}

/// The snapshot and log files of a member in its data folder.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
    /// Whether an append failed, so that the file may end with a part of a frame.
    is_torn: bool,
}

impl Journal {
    /// Returns whether the folder has a log or snapshot file.
    #[must_use]
    pub fn exists(folder: &Path) -> bool {
        folder.join(LOG_FILE).exists() || folder.join(SNAPSHOT_FILE).exists()
    }

    /// Opens the journal and reads its content; returns `None` if there is no snapshot yet.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when the snapshot is damaged, when the log is
    /// damaged before its last frame, or when a file cannot be read or written.
    pub fn open(folder: &Path) -> Result<Option<(Self, Persisted)>, StoreError> {
        let Some(snapshot) = read_snapshot(folder)? else {
            return Ok(None);
        };
        let (hard_state, entries, length) = read_log(folder)?;
        let entries = entries.into_iter().filter(|entry| entry.index > snapshot.index).collect();
        let journal = Self::append_to(folder, length)?;
        Ok(Some((journal, Persisted { hard_state, snapshot, entries })))
    }

    /// Creates the journal of a member with the initial state `persisted`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when a file cannot be written.
    pub fn create(folder: &Path, persisted: &Persisted) -> Result<Self, StoreError> {
        // The snapshot is written last, since `open` finds no journal without it.
        write_log(folder, persisted.hard_state, &persisted.entries)?;
        write_snapshot(folder, &persisted.snapshot)?;
        Self::append_to(folder, log_length(folder)?)
    }

    /// Appends entries and, if they changed, term and vote; returns once they are synced.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when the log cannot be written. If it
    /// [is full](StoreError::is_full), the same append may be repeated; otherwise the
    /// member must stop, since it cannot persist what it would acknowledge.
    pub fn append(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[LogEntry],
    ) -> Result<(), StoreError> {
        let path = self.folder.join(LOG_FILE);
        let bytes = encode_batch(hard_state, entries);
        if self.is_torn {
            self.log.set_len(self.log_bytes).map_err(StoreError::io(&path))?;
        }
        self.is_torn = true;
        self.log.write_all(&bytes).map_err(StoreError::io(&path))?;
        self.log.sync_data().map_err(StoreError::io(&path))?;
        self.is_torn = false;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the log up to a snapshot by that snapshot, and keeps `entries` after it.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when a file cannot be written.
    pub fn compact(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        entries: &[LogEntry],
    ) -> Result<(), StoreError> {
        // After a crash between the two writes the log has entries that the snapshot covers, which
        // is harmless: `open` skips them.
        write_snapshot(&self.folder, snapshot)?;
        write_log(&self.folder, hard_state, entries)?;
        *self = Self::append_to(&self.folder, log_length(&self.folder)?)?;
        Ok(())
    }

    /// Returns the size of the log file, in bytes.
    #[must_use]
    pub const fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    fn append_to(folder: &Path, length: u64) -> Result<Self, StoreError> {
        let path = folder.join(LOG_FILE);
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .map_err(StoreError::io(&path))?;
        log.set_len(length).map_err(StoreError::io(&path))?;
        log.sync_all().map_err(StoreError::io(&path))?;
        Ok(Self { folder: folder.to_owned(), log, log_bytes: length, is_torn: false })
    }
}

fn encode_batch(hard_state: Option<HardState>, entries: &[LogEntry]) -> Vec<u8> {
    let bytes_min = entries.iter().map(|entry| entry.payload.command_bytes()).sum();
    frame::encode(&BatchView { hard_state, entries }, bytes_min)
}

fn log_length(folder: &Path) -> Result<u64, StoreError> {
    let path = folder.join(LOG_FILE);
    Ok(fs::metadata(&path).map_err(StoreError::io(&path))?.len())
}

fn write_snapshot(folder: &Path, snapshot: &Snapshot) -> Result<(), StoreError> {
    replace_file(folder, SNAPSHOT_FILE, &frame::encode(snapshot, snapshot.data.len()))
}

fn write_log(folder: &Path, hard_state: HardState, entries: &[LogEntry]) -> Result<(), StoreError> {
    replace_file(folder, LOG_FILE, &encode_batch(Some(hard_state), entries))
}

fn read_snapshot(folder: &Path) -> Result<Option<Snapshot>, StoreError> {
    let path = folder.join(SNAPSHOT_FILE);
    let Some(bytes) = read_file(&path)? else {
        return Ok(None);
    };
    let damaged = || StoreError::Damaged { path: path.clone(), offset: 0 };
    let Decoded::Frame { content, .. } = frame::decode(&bytes, 0) else {
        return Err(damaged());
    };
    postcard::from_bytes(content).map(Some).map_err(|_| damaged())
}

fn read_log(folder: &Path) -> Result<(HardState, Vec<LogEntry>, u64), StoreError> {
    let path = folder.join(LOG_FILE);
    let bytes = read_file(&path)?.unwrap_or_default();
    let damaged = |offset| StoreError::Damaged { path: path.clone(), offset: offset as u64 };
    let mut hard_state = HardState::default();
    let mut entries: Vec<LogEntry> = Vec::new();
    let mut offset = 0;
    loop {
        match frame::decode(&bytes, offset) {
            Decoded::Frame { content, next } => {
                let batch: Batch = postcard::from_bytes(content).map_err(|_| damaged(offset))?;
                hard_state = batch.hard_state.unwrap_or(hard_state);
                replace_tail(&mut entries, batch.entries);
                offset = next;
            }
            Decoded::End => break,
            // The first frame cannot be torn: it was synced before the log file got its name.
            Decoded::Invalid if offset == 0 || frame::has_frame_after(&bytes, offset) => {
                return Err(damaged(offset));
            }
            Decoded::Invalid => break,
        }
    }
    Ok((hard_state, entries, offset as u64))
}

fn replace_tail(entries: &mut Vec<LogEntry>, new: Vec<LogEntry>) {
    if let Some(first) = new.first() {
        let keep = entries.partition_point(|entry| entry.index < first.index);
        entries.truncate(keep);
    }
    entries.extend(new);
}

fn read_file(path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(StoreError::Io { path: path.to_owned(), source }),
    }
}
