//! Parts of prompts, and requests as wholes.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The id of something that several requests may share: a part of their prompts, or the whole
/// request, if callers send it repeatedly.
///
/// Ids of parts are named by callers, ids of whole requests are digests. They never collide.
///
/// ```
/// use egret_record::PartId;
///
/// let part = PartId::parse("5C1E07A2").unwrap();
/// assert_eq!(part.to_string(), "5c1e07a2");
/// assert_eq!(PartId::parse("not a number"), None);
///
/// let first = PartId::of_request("survey.example/draft", Some("kumamoto"), b"body");
/// let again = PartId::of_request("survey.example/draft", Some("kumamoto"), b"body");
/// assert_eq!(first, again);
/// assert!(first.is_request() && !part.is_request());
/// assert_eq!(first.to_string().parse(), Ok(first));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u128);

/// The bit that only ids of whole requests have.
const REQUEST_BIT: u128 = 1 << 127;

/// What the text of the id of a whole request begins with.
const REQUEST_PREFIX: &str = "request-";

impl PartId {
    /// Parses the id of a part: up to 32 hexadecimal digits; returns none for any other text.
    ///
    /// The highest of 128 bits is ignored.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        // A sign would be accepted as well.
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let id = u128::from_str_radix(text, 16).ok().filter(|_| digits)?;
        Some(Self(id & !REQUEST_BIT))
    }

    /// Returns the id of a request as a whole, the same in every process.
    ///
    /// `target` is its host and path. A cryptographic digest keeps callers from making up another
    /// request with the same id.
    #[must_use]
    pub fn of_request(target: &str, caller: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [Some(target), caller] {
            let length = field.map_or(u64::MAX, |field| field.len() as u64);
            hasher.update(&length.to_le_bytes()).update(field.unwrap_or_default().as_bytes());
        }
        let digest = hasher.update(body).finalize();
        let (low, _) = digest.as_bytes().split_first_chunk().expect("a digest has 32 bytes");
        Self(u128::from_le_bytes(*low) | REQUEST_BIT)
    }

    /// Returns whether this is the id of a request as a whole.
    #[must_use]
    pub const fn is_request(self) -> bool {
        self.0 & REQUEST_BIT != 0
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_request() {
            return write!(f, "{REQUEST_PREFIX}{:032x}", self.0 & !REQUEST_BIT);
        }
        write!(f, "{:08x}", self.0)
    }
}

/// The text is not the id of a part or of a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{0}` is not an id of a part or a request; give up to 32 hexadecimal digits, or `request-` and as many"
)]
pub struct InvalidPartId(String);

impl FromStr for PartId {
    type Err = InvalidPartId;

    /// Parses what is displayed.
    fn from_str(text: &str) -> Result<Self, InvalidPartId> {
        let digest = text.strip_prefix(REQUEST_PREFIX);
        let bit = if digest.is_some() { REQUEST_BIT } else { 0 };
        let id = Self::parse(digest.unwrap_or(text));
        id.map(|id| Self(id.0 | bit)).ok_or_else(|| InvalidPartId(text.to_owned()))
    }
}

/// Displays the ids of parts for a log line: the first ones, separated by commas.
#[derive(Debug, Clone, Copy)]
pub struct PartList<'a>(pub &'a [PartId]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        /// Number of ids that are displayed.
        const SHOWN_MAX: usize = 12;
        for (index, part) in self.0.iter().take(SHOWN_MAX).enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(f, "{comma}{part}")?;
        }
        match self.0.len().saturating_sub(SHOWN_MAX) {
            0 => Ok(()),
            more => write!(f, ",+{more}"),
        }
    }
}
