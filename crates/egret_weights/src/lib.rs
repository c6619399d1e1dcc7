//! Manifests and chunks of model weights, and the trees that distribute them.
//!
//! A version is identified either by the digest of its manifest, which lists the
//! digests of its chunks, or by a number, with a list of the digests of its pieces.
//! Origin and peers are not trusted: a chunk or piece is verified before it is stored
//! or passed on.
//!
//! - `manifest`: the content of a version, as a list of chunk digests.
//! - `chunk_store`: the chunks of versions on disk.
//! - `pieces`: the piece digests of a version that is identified by a number.
//! - `tree`: the distribution trees, which give each chunk its sources.
//! - `schedule`: when engines switch weights in a rolling update.
//! - `token_bucket`: limits the bandwidth of transfers.
//!
//! ```
//! use egret_weights::Manifest;
//!
//! let manifest = Manifest::of("survey", "v1", &[7; 100], 64);
//! assert_eq!(manifest.chunks.len(), 2);
//! assert!(manifest.accepts(1, &[7; 36]));
//! assert!(!manifest.accepts(1, &[8; 36]));
//! ```

mod chunk_store;
mod manifest;
mod pieces;
mod schedule;
mod token_bucket;
mod tree;

pub use chunk_store::{ChunkStore, ContentVerifier, StoreError, VersionFolder};
pub use manifest::{CHUNK_BYTES, Manifest, ManifestError};
pub use pieces::{PieceDigest, PieceList};
pub use schedule::UpdateSchedule;
pub use token_bucket::TokenBucket;
pub use tree::{CHILDREN, Forest, Holder, Parent, TREES, chain_parents, parents};
