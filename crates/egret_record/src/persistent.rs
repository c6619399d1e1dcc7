//! Deserialization of persistent maps and sets from untrusted bytes.
//!
//! The deserializers of `imbl` allocate up front for as many elements as the bytes claim to hold.

use std::collections::{BTreeMap, BTreeSet};

use imbl::{OrdMap, OrdSet};
use serde::{Deserialize, Deserializer};

/// Decodes a map, allocating only as elements are read.
pub(crate) fn map<'de, D, K, V>(deserializer: D) -> Result<OrdMap<K, V>, D::Error>
where
    D: Deserializer<'de>,
    K: Ord + Clone + Deserialize<'de>,
    V: Clone + Deserialize<'de>,
{
    Ok(BTreeMap::deserialize(deserializer)?.into_iter().collect())
}

/// Decodes a set as [`map`] does.
pub(crate) fn set<'de, D, T>(deserializer: D) -> Result<OrdSet<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Ord + Clone + Deserialize<'de>,
{
    Ok(BTreeSet::deserialize(deserializer)?.into_iter().collect())
}
