//! Persistent maps and sets out of bytes that need not be trusted.
//!
//! The library's own decoding makes room for as many elements as the bytes claim, at once.

use std::collections::{BTreeMap, BTreeSet};

use imbl::{OrdMap, OrdSet};
use serde::{Deserialize, Deserializer};

/// Decodes a map whose memory grows with the elements that are there.
pub(crate) fn map<'de, D, K, V>(deserializer: D) -> Result<OrdMap<K, V>, D::Error>
where
    D: Deserializer<'de>,
    K: Ord + Clone + Deserialize<'de>,
    V: Clone + Deserialize<'de>,
{
    Ok(BTreeMap::deserialize(deserializer)?.into_iter().collect())
}

/// Decodes a map that may be left out, as [`map`] does.
pub(crate) fn optional_map<'de, D, K, V>(deserializer: D) -> Result<Option<OrdMap<K, V>>, D::Error>
where
    D: Deserializer<'de>,
    K: Ord + Clone + Deserialize<'de>,
    V: Clone + Deserialize<'de>,
{
    let found = Option::<BTreeMap<K, V>>::deserialize(deserializer)?;
    Ok(found.map(|found| found.into_iter().collect()))
}

/// Decodes a set as [`map`] does.
pub(crate) fn set<'de, D, T>(deserializer: D) -> Result<OrdSet<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Ord + Clone + Deserialize<'de>,
{
    Ok(BTreeSet::deserialize(deserializer)?.into_iter().collect())
}
