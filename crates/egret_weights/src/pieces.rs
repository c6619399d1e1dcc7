//! The piece digests of a version that is identified by a number.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The digest of one piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PieceDigest(pub [u8; 32]);

/// Digests of the pieces of one version, in the origin's order.
///
/// ```
/// use egret_weights::{PieceDigest, PieceList};
///
/// let list = PieceList::new(vec![PieceDigest::of(b"piece")]);
/// assert!(list.accepts(0, b"piece"));
/// assert!(!list.accepts(0, b"rotten"));
/// assert!(!list.accepts(1, b"piece"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceList {
    digests: Vec<PieceDigest>,
}

impl PieceDigest {
    /// Computes the digest of a piece's content.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// Parses a digest in hexadecimal; returns `None` for any other text.
    #[must_use]
    pub fn parse(hex: &str) -> Option<Self> {
        let mut digest = [0; 32];
        if hex.len() != digest.len() * 2 || !hex.is_ascii() {
            return None;
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(hex.get(index * 2..index * 2 + 2)?, 16).ok()?;
        }
        Some(Self(digest))
    }
}

impl PieceList {
    /// Creates the list of a version.
    #[must_use]
    pub const fn new(digests: Vec<PieceDigest>) -> Self {
        Self { digests }
    }

    /// Returns the number of pieces.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.digests.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether `content` matches the digest of the piece at `index`.
    #[must_use]
    pub fn accepts(&self, index: u32, content: &[u8]) -> bool {
        let expected = self.digests.get(index as usize);
        expected.is_some_and(|expected| *expected == PieceDigest::of(content))
    }
}
