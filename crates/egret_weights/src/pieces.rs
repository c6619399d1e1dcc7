//! The pieces of a numbered version and their digests.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The digest of one piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PieceDigest(pub [u8; 32]);

/// Digests of the pieces of one version, as its origin lists them.
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
    /// Digests the content of a piece.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// Reads a digest in hexadecimal; none if the text is none.
    #[must_use]
    pub fn parse(hex: &str) -> Option<Self> {
        let mut digest = [0; 32];
        if hex.len() != digest.len() * 2 || !hex.is_ascii() {
            return None;
        }
        for (at, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(hex.get(at * 2..at * 2 + 2)?, 16).ok()?;
        }
        Some(Self(digest))
    }
}

impl PieceList {
    /// Makes the list of a version.
    #[must_use]
    pub const fn new(digests: Vec<PieceDigest>) -> Self {
        Self { digests }
    }

    /// Returns the number of pieces.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.digests.len()).unwrap_or(u32::MAX)
    }

    /// Tells whether a piece has the content that the list names.
    #[must_use]
    pub fn accepts(&self, index: u32, content: &[u8]) -> bool {
        let wanted = self.digests.get(index as usize);
        wanted.is_some_and(|wanted| *wanted == PieceDigest::of(content))
    }
}
