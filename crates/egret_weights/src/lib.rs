//! Manifests and chunks of model weights, and the trees that distribute them.
//!
//! A version of weights is identified by the digest of its manifest, which lists the
//! digest of every chunk. Origin and peers are not trusted: a chunk is verified
//! before it is stored or passed on.
//!
//! - `manifest`: the content of a version.
//! - `chunk_store`: the chunks of versions on disk.
//! - `pieces`: the pieces of versions that are identified by a number.
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
