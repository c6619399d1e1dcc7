//! Manifests, chunks, and who fetches what from whom.
//!
//! A version of weights is named by the digest of its manifest, which lists the
//! digest of every chunk. Origin and peers are not trusted: a chunk is checked
//! before it is kept or passed on.
//!
//! - `manifest`: what a version consists of.
//! - `chunk_store`: the chunks of versions on disk.
//! - `tree`: who fetches which chunk from whom.
//! - `token_bucket`: shares of a link.
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
