//! Which entries a caller should use.

use std::net::SocketAddr;

use egret_record::{DataCentre, View};
use rand::{Rng, seq::SliceRandom as _};
use serde::{Deserialize, Serialize};

/// An entry that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The name of the entry.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address.
    pub address: SocketAddr,
}

/// The entries in the order in which to try them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// The entries, best first.
    pub entries: Vec<EntryAddress>,
    /// How long the caller may cache this list, in seconds.
    pub keep_s: u64,
}

/// Lists the entries that accept new requests, those in the data centre `near` first.
///
/// The order is random apart from that, so that callers spread.
pub fn list_entries(
    view: &View,
    near: Option<&DataCentre>,
    keep_s: u64,
    random: &mut impl Rng,
) -> EntryList {
    let open =
        |entry: &&egret_record::Entry| !entry.leaving && !view.out.contains(&entry.data_centre);
    let mut entries: Vec<_> = view.entries.values().filter(open).collect();
    entries.shuffle(random);
    entries.sort_by_key(|entry| near.is_some_and(|name| entry.data_centre != *name));
    let address = |entry: &egret_record::Entry| EntryAddress {
        name: entry.name.to_string(),
        data_centre: entry.data_centre.to_string(),
        address: entry.address,
    };
    EntryList { entries: entries.into_iter().map(address).collect(), keep_s }
}
