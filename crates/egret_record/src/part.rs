//! Parts of prompts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The id of a part of a prompt, which several requests may share.
///
/// ```
/// use egret_record::PartId;
///
/// let part = PartId::parse("5C1E07A2").unwrap();
/// assert_eq!(part.to_string(), "5c1e07a2");
/// assert_eq!(PartId::parse("not a number"), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u128);

impl PartId {
    /// Parses up to 32 hexadecimal digits; returns none for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        // A sign would be accepted as well.
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        u128::from_str_radix(text, 16).ok().filter(|_| digits).map(Self)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
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
