//! Static shares of an engine's slots, which need no messages.

use std::hash::{Hash as _, Hasher as _};

use rustc_hash::FxHasher;

/// Returns the static share of `slots` for the entry at `position` of `entries`.
///
/// The shares of all positions sum to `slots`, and differ by at most one.
///
/// ```
/// use egret_grants::quota;
///
/// assert_eq!([quota(8, 0, 3), quota(8, 1, 3), quota(8, 2, 3)], [3, 3, 2]);
/// ```
#[must_use]
pub fn quota(slots: u32, position: u32, entries: u32) -> u32 {
    let entries = entries.max(1);
    if position >= entries {
        return 0;
    }
    slots / entries + u32::from(position < slots % entries)
}

/// Returns the position of an entry among all `entries` at an engine, by rendezvous hashing.
///
/// The order differs from engine to engine, so that no entry has the smaller share everywhere.
/// When an entry joins or leaves, the others keep their order.
///
/// ```
/// use egret_grants::quota_position;
///
/// let entries = ["a", "b", "c"];
/// let mut positions = entries.map(|entry| quota_position("engine-1", entry, entries));
/// positions.sort();
/// assert_eq!(positions, [0, 1, 2]);
/// ```
#[must_use]
pub fn quota_position<'a>(
    engine: &str,
    entry: &str,
    entries: impl IntoIterator<Item = &'a str>,
) -> u32 {
    let own = (score(engine, entry), entry);
    let ahead = entries.into_iter().filter(|other| (score(engine, other), *other) > own).count();
    u32::try_from(ahead).unwrap_or(u32::MAX)
}

/// Scores an entry for an engine.
pub(crate) fn score(engine: &str, entry: &str) -> u64 {
    let mut hasher = FxHasher::default();
    engine.hash(&mut hasher);
    entry.hash(&mut hasher);
    mix(hasher.finish())
}

/// Mixes all bits, as the finalizer of MurmurHash3 does.
///
/// `FxHasher` alone gives similar names similar scores.
const fn mix(mut bits: u64) -> u64 {
    bits ^= bits >> 33;
    bits = bits.wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits ^= bits >> 33;
    bits = bits.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}
