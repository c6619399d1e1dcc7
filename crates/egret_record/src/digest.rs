//! Content digests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use thiserror::Error;

/// Size of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// The BLAKE3 digest that identifies a version of weights or one chunk of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionDigest(pub [u8; DIGEST_BYTES]);

/// A text that is not a valid digest.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is not a digest; give 64 hexadecimal digits as `egretctl manifest` prints them")]
pub struct ParseDigestError(String);

impl VersionDigest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the first eight hexadecimal digits, for logs.
    #[must_use]
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl fmt::Display for VersionDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for VersionDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "VersionDigest({self})")
    }
}

impl FromStr for VersionDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text)
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|_| ParseDigestError(text.to_owned()))
    }
}

impl Serialize for VersionDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for VersionDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(Self)
        }
    }
}
