//! The content of a version, as a list of chunk digests.

use egret_record::VersionDigest;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Default size of a chunk, in bytes.
pub const CHUNK_BYTES: u32 = 1024 * 1024;
/// Largest chunk, in bytes, that fits into one message between agents.
const CHUNK_BYTES_MAX: u32 = 16 * 1024 * 1024;

/// Why a manifest cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum ManifestError {
    /// Its digest is not the one in the record.
    #[error("the origin's manifest has digest {found}, the record names {expected}")]
    #[diagnostic(help("publish the version again, or correct `digest` in the record"))]
    WrongDigest {
        /// The digest in the record.
        expected: VersionDigest,
        /// The digest of the origin's manifest.
        found: VersionDigest,
    },
    /// It cannot be decoded or is inconsistent.
    #[error("the manifest is damaged: {0}")]
    #[diagnostic(help("make it again with `egretctl manifest FILE`"))]
    Damaged(String),
}

/// The content of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The model's name.
    pub model: String,
    /// The version's label.
    pub version: String,
    /// Size of the weights, in bytes.
    pub size: u64,
    /// Size of each chunk but the last, in bytes.
    pub chunk_bytes: u32,
    /// Digest of the whole weights, which engines report.
    pub content: VersionDigest,
    /// Digest of each chunk.
    pub chunks: Vec<VersionDigest>,
}

impl Manifest {
    /// Creates the manifest of weights in memory.
    ///
    /// # Panics
    ///
    /// Panics when `chunk_bytes` is zero.
    #[must_use]
    pub fn of(model: &str, version: &str, weights: &[u8], chunk_bytes: u32) -> Self {
        let chunks = weights.chunks(chunk_bytes as usize).map(VersionDigest::of).collect();
        Self {
            model: model.to_owned(),
            version: version.to_owned(),
            size: weights.len() as u64,
            chunk_bytes,
            content: VersionDigest::of(weights),
            chunks,
        }
    }

    /// Decodes and verifies the manifest of the version in a record.
    ///
    /// # Errors
    ///
    /// Returns a [`ManifestError`] when the digest differs or the manifest is inconsistent.
    pub fn parse(json: &[u8], expected: VersionDigest) -> Result<Self, ManifestError> {
        let manifest: Self = serde_json::from_slice(json)
            .map_err(|error| ManifestError::Damaged(error.to_string()))?;
        let found = manifest.digest();
        if found != expected {
            return Err(ManifestError::WrongDigest { expected, found });
        }
        if manifest.chunk_bytes == 0 || manifest.chunk_bytes > CHUNK_BYTES_MAX {
            return Err(ManifestError::Damaged(format!(
                "chunks of {} bytes are outside 1 to {CHUNK_BYTES_MAX}",
                manifest.chunk_bytes
            )));
        }
        let needed = manifest.size.div_ceil(u64::from(manifest.chunk_bytes));
        if needed != manifest.chunks.len() as u64 {
            return Err(ManifestError::Damaged(format!(
                "{} bytes need {needed} chunks, it lists {}",
                manifest.size,
                manifest.chunks.len()
            )));
        }
        Ok(manifest)
    }

    /// Returns the digest that identifies the version.
    #[must_use]
    pub fn digest(&self) -> VersionDigest {
        let mut hasher = blake3::Hasher::new();
        for text in [&self.model, &self.version] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&self.size.to_le_bytes());
        hasher.update(&self.chunk_bytes.to_le_bytes());
        hasher.update(&self.content.0);
        for chunk in &self.chunks {
            hasher.update(&chunk.0);
        }
        VersionDigest(*hasher.finalize().as_bytes())
    }

    /// Returns the offset of a chunk, in bytes.
    #[must_use]
    pub fn offset(&self, index: u32) -> u64 {
        u64::from(index) * u64::from(self.chunk_bytes)
    }

    /// Returns the size of a chunk, in bytes; zero for one that does not exist.
    #[must_use]
    pub fn length(&self, index: u32) -> u64 {
        self.size.saturating_sub(self.offset(index)).min(u64::from(self.chunk_bytes))
    }

    /// Returns whether `content` is the chunk at `index`.
    #[must_use]
    pub fn accepts(&self, index: u32, content: &[u8]) -> bool {
        self.chunks.get(index as usize) == Some(&VersionDigest::of(content))
    }

    /// Returns the indexes of all chunks.
    #[must_use]
    pub fn indexes(&self) -> std::ops::Range<u32> {
        0..u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }
}
