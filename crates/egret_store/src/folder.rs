//! The data folder, its lock and the member's identity.

use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use egret_record::MemberId;
use miette::Diagnostic;
use thiserror::Error;

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";

/// Why the data folder cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum StoreError {
    /// An operation on a file failed.
    #[error("{path}: {source}")]
    #[diagnostic(help("check that the data folder is on a working disk with free space"))]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process has locked the folder.
    #[error("{path} is used by another process")]
    #[diagnostic(help("stop the other process, or give this one its own `data_folder`"))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// A file is damaged where truncating it would lose data.
    #[error("{path} is damaged at byte {offset}, before intact data")]
    #[diagnostic(help(
        "move the data folder away, start with an empty one, then run \
         `egretctl member remove` for the old identity and `egretctl member add` for the new one"
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage starts.
        offset: u64,
    },
    /// The folder has a log, but its identity is missing or unreadable.
    #[error("{path} holds a log without a readable identity")]
    #[diagnostic(help(
        "move the data folder away and start with an empty one; it joins under a new identity"
    ))]
    NoIdentity {
        /// The folder.
        path: PathBuf,
    },
}

impl StoreError {
    /// Returns whether the disk has no room, so that the same operation may succeed later.
    #[must_use]
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        let Self::Io { source, .. } = self else { return false };
        matches!(source.kind(), StorageFull | QuotaExceeded | FileTooLarge)
    }

    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |source| Self::Io { path: path.to_owned(), source }
    }
}

/// A locked data folder, which stores the identity of its member.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    identity: MemberId,
    _lock: File,
}

impl DataFolder {
    /// Opens and locks the folder.
    ///
    /// Writes a new identity if the folder has neither an identity nor a log.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when the folder is locked by another process, has
    /// a log without an identity, or cannot be read or written.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let lock = take_lock(path)?;
        let identity = match read_identity(path)? {
            Some(identity) => identity,
            None if crate::Journal::exists(path) => {
                return Err(StoreError::NoIdentity { path: path.to_owned() });
            }
            None => write_identity(path)?,
        };
        Ok(Self { path: path.to_owned(), identity, _lock: lock })
    }

    /// Returns the identity stored in the folder.
    #[must_use]
    pub const fn identity(&self) -> MemberId {
        self.identity
    }

    /// Returns the path of the folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// Replaces a file atomically: after a crash it has either its old or its new content.
pub(crate) fn replace_file(folder: &Path, name: &str, content: &[u8]) -> Result<(), StoreError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let mut file = File::create(&temporary).map_err(StoreError::io(&temporary))?;
    if let Err(error) = file.write_all(content).and_then(|()| file.sync_all()) {
        // A partial file would keep others from the room that is left; the first error tells more.
        let _ = fs::remove_file(&temporary);
        return Err(StoreError::io(&temporary)(error));
    }
    fs::rename(&temporary, &path).map_err(StoreError::io(&path))?;
    sync_folder(folder)
}

pub(crate) fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    let open = File::open(folder).map_err(StoreError::io(folder))?;
    open.sync_all().map_err(StoreError::io(folder))
}

fn take_lock(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK_FILE);
    let file = File::create(&path).map_err(StoreError::io(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(StoreError::Locked { path: folder.to_owned() }),
        Err(fs::TryLockError::Error(source)) => Err(StoreError::Io { path, source }),
    }
}

fn read_identity(folder: &Path) -> Result<Option<MemberId>, StoreError> {
    let path = folder.join(IDENTITY_FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(StoreError::Io { path, source }),
    };
    match u64::from_str_radix(text.trim(), 16) {
        Ok(number) => Ok(Some(MemberId(number))),
        Err(_) => Err(StoreError::NoIdentity { path: folder.to_owned() }),
    }
}

fn write_identity(folder: &Path) -> Result<MemberId, StoreError> {
    let identity = MemberId(rand::random());
    replace_file(folder, IDENTITY_FILE, format!("{:016x}\n", identity.0).as_bytes())?;
    Ok(identity)
}
