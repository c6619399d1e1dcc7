//! Stores the chunks of versions on disk.
//!
//! Each version has a folder with its manifest and one file for its weights,
//! written chunk by chunk. After a restart every chunk is verified again: intact
//! ones are kept, and those that were only partly written are fetched again.

use std::{
    collections::BTreeSet,
    fs::{self, File, OpenOptions},
    io,
    os::unix::fs::FileExt as _,
    path::{Path, PathBuf},
};

use egret_record::VersionDigest;
use miette::Diagnostic;
use thiserror::Error;

use crate::manifest::{Manifest, ManifestError};

const MANIFEST_FILE: &str = "manifest.json";
const WEIGHTS_FILE: &str = "weights";

/// Why weights cannot be stored.
#[derive(Debug, Error, Diagnostic)]
pub enum StoreError {
    /// A file operation failed.
    #[error("{path}: {source}")]
    #[diagnostic(help("check that the data folder is on a working disk with free space"))]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The version does not fit into the limit.
    #[error(
        "{needed} bytes of weights do not fit into `disk_bytes` {limit} next to the stored versions"
    )]
    #[diagnostic(help("raise `disk_bytes`, or run the model on backend servers with more space"))]
    Full {
        /// The size of the version, in bytes.
        needed: u64,
        /// The limit of the store, in bytes.
        limit: u64,
    },
    /// A chunk does not match its digest.
    #[error("chunk {index} does not match its digest; it is fetched from another source")]
    Corrupt {
        /// The chunk.
        index: u32,
    },
    /// The manifest on disk cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Manifest(#[from] ManifestError),
}

fn io_error(path: &Path) -> impl FnOnce(io::Error) -> StoreError + '_ {
    move |source| StoreError::Io { path: path.to_owned(), source }
}

/// The versions on disk, within a size limit.
#[derive(Debug, Clone)]
pub struct ChunkStore {
    folder: PathBuf,
    limit: u64,
}

impl ChunkStore {
    /// Opens the store below `folder`, which may use `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when the folder cannot be created.
    pub fn open(folder: &Path, limit: u64) -> Result<Self, StoreError> {
        let folder = folder.join("versions");
        fs::create_dir_all(&folder).map_err(io_error(&folder))?;
        Ok(Self { folder, limit })
    }

    /// Opens the folder of a stored version and verifies its chunks.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when files cannot be read.
    pub fn find(&self, digest: VersionDigest) -> Result<Option<VersionFolder>, StoreError> {
        let folder = self.folder.join(digest.to_string());
        let path = folder.join(MANIFEST_FILE);
        let json = match fs::read(&path) {
            Ok(json) => json,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(StoreError::Io { path, source }),
        };
        let Ok(manifest) = Manifest::parse(&json, digest) else {
            // The manifest was only partly written and is fetched again.
            return Ok(None);
        };
        VersionFolder::open(&folder, manifest).map(Some)
    }

    /// Creates the folder of a version, after removing other versions outside `keep`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Full`] when the version does not fit next to the ones in `keep`.
    pub fn create(
        &self,
        manifest: &Manifest,
        keep: &BTreeSet<VersionDigest>,
    ) -> Result<VersionFolder, StoreError> {
        let digest = manifest.digest();
        self.retain(|held| held == digest || keep.contains(&held))?;
        let used = self.used_by_others(digest)?;
        if used + manifest.size > self.limit {
            return Err(StoreError::Full { needed: manifest.size, limit: self.limit });
        }
        let folder = self.folder.join(digest.to_string());
        fs::create_dir_all(&folder).map_err(io_error(&folder))?;
        let json = serde_json::to_vec(manifest).expect("plain data always encodes");
        let path = folder.join(MANIFEST_FILE);
        fs::write(&path, json).map_err(io_error(&path))?;
        VersionFolder::open(&folder, manifest.clone())
    }

    /// Removes the versions for which `keep` returns `false`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when a folder cannot be removed.
    pub fn retain(&self, keep: impl Fn(VersionDigest) -> bool) -> Result<(), StoreError> {
        for (digest, path) in self.versions()? {
            if !keep(digest) {
                fs::remove_dir_all(&path).map_err(io_error(&path))?;
            }
        }
        Ok(())
    }

    fn used_by_others(&self, digest: VersionDigest) -> Result<u64, StoreError> {
        let others = self.versions()?.into_iter().filter(|(held, _)| *held != digest);
        Ok(others
            .filter_map(|(_, path)| fs::metadata(path.join(WEIGHTS_FILE)).ok())
            .map(|m| m.len())
            .sum())
    }

    fn versions(&self) -> Result<Vec<(VersionDigest, PathBuf)>, StoreError> {
        let entries = fs::read_dir(&self.folder).map_err(io_error(&self.folder))?;
        let versions = entries.flatten().filter_map(|entry| {
            let digest = entry.file_name().to_str()?.parse().ok()?;
            Some((digest, entry.path()))
        });
        Ok(versions.collect())
    }
}

/// The chunks of one version on disk.
#[derive(Debug)]
pub struct VersionFolder {
    manifest: Manifest,
    path: PathBuf,
    file: File,
    held: BTreeSet<u32>,
}

impl VersionFolder {
    fn open(folder: &Path, manifest: Manifest) -> Result<Self, StoreError> {
        let path = folder.join(WEIGHTS_FILE);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(io_error(&path))?;
        file.set_len(manifest.size).map_err(io_error(&path))?;
        let mut version = Self { manifest, path, file, held: BTreeSet::new() };
        version.held =
            version.manifest.indexes().filter(|index| version.is_intact(*index)).collect();
        Ok(version)
    }

    /// Returns the manifest.
    #[must_use]
    pub const fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the path of the weights.
    #[must_use]
    pub fn weights_path(&self) -> &Path {
        &self.path
    }

    /// Returns the indexes of the stored chunks.
    #[must_use]
    pub const fn held(&self) -> &BTreeSet<u32> {
        &self.held
    }

    /// Returns whether all chunks are stored.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.held.len() == self.manifest.chunks.len()
    }

    /// Stores a chunk if it matches its digest.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Corrupt`] when it does not.
    pub fn insert(&mut self, index: u32, content: &[u8]) -> Result<(), StoreError> {
        if !self.manifest.accepts(index, content) {
            return Err(StoreError::Corrupt { index });
        }
        self.file
            .write_all_at(content, self.manifest.offset(index))
            .map_err(io_error(&self.path))?;
        self.held.insert(index);
        Ok(())
    }

    /// Reads a stored chunk.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when the file cannot be read or the chunk has become corrupt.
    pub fn read(&self, index: u32) -> Result<Option<Vec<u8>>, StoreError> {
        if !self.held.contains(&index) {
            return Ok(None);
        }
        let content = self.read_raw(index).map_err(io_error(&self.path))?;
        if self.manifest.accepts(index, &content) {
            Ok(Some(content))
        } else {
            Err(StoreError::Corrupt { index })
        }
    }

    /// Returns a verifier of the whole content.
    ///
    /// It does not borrow this folder, since the verification takes long.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when the file handle cannot be duplicated.
    pub fn verifier(&self) -> Result<ContentVerifier, StoreError> {
        let file = self.file.try_clone().map_err(io_error(&self.path))?;
        Ok(ContentVerifier { manifest: self.manifest.clone(), path: self.path.clone(), file })
    }

    fn is_intact(&self, index: u32) -> bool {
        self.read_raw(index).is_ok_and(|content| self.manifest.accepts(index, &content))
    }

    fn read_raw(&self, index: u32) -> io::Result<Vec<u8>> {
        read_chunk(&self.file, &self.manifest, index)
    }
}

/// Verifies the whole content of a version.
#[derive(Debug)]
pub struct ContentVerifier {
    manifest: Manifest,
    path: PathBuf,
    file: File,
}

impl ContentVerifier {
    /// Syncs the weights to disk and verifies the digest of their whole content.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when chunks are missing or the content does not match its digest.
    pub fn verify(&self) -> Result<(), StoreError> {
        self.file.sync_data().map_err(io_error(&self.path))?;
        let mut hasher = blake3::Hasher::new();
        for index in self.manifest.indexes() {
            let content =
                read_chunk(&self.file, &self.manifest, index).map_err(io_error(&self.path))?;
            hasher.update(&content);
        }
        if VersionDigest(*hasher.finalize().as_bytes()) == self.manifest.content {
            return Ok(());
        }
        let reason = "the chunks do not match its content digest";
        Err(ManifestError::Damaged(reason.to_owned()).into())
    }
}

fn read_chunk(file: &File, manifest: &Manifest, index: u32) -> io::Result<Vec<u8>> {
    let length = usize::try_from(manifest.length(index)).unwrap_or(usize::MAX);
    let mut content = vec![0; length];
    file.read_exact_at(&mut content, manifest.offset(index))?;
    Ok(content)
}
