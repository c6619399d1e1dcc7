//! The chunk store, manifests, and the distribution trees.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::PathBuf,
};

use egret_record::{BackendName, DataCentre, VersionDigest};
use egret_weights::{ChunkStore, Holder, Manifest, Parent, StoreError, parents};
use proptest::prelude::*;

struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> Self {
        use std::hash::{BuildHasher as _, RandomState};
        let number = RandomState::new().hash_one(0);
        let path = std::env::temp_dir().join(format!("egret-weights-{number:016x}"));
        fs::create_dir_all(&path).expect("a temporary folder can be created");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn weights(seed: u8) -> Vec<u8> {
    (0..1_000_u32).map(|index| (index as u8).wrapping_mul(seed)).collect()
}

fn chunk(weights: &[u8], index: usize) -> &[u8] {
    weights.chunks(64).nth(index).expect("the chunk exists")
}

#[test]
fn corrupt_chunk_is_refused_and_the_content_is_verified() {
    let folder = TempFolder::new();
    let store = ChunkStore::open(&folder.0, 10_000).unwrap();
    let weights = weights(3);
    let manifest = Manifest::of("m", "v1", &weights, 64);
    let mut version = store.create(&manifest, &BTreeSet::new()).unwrap();
    let mut corrupt = chunk(&weights, 0).to_vec();
    corrupt[5] ^= 1;
    assert!(matches!(version.insert(0, &corrupt), Err(StoreError::Corrupt { index: 0 })));
    assert!(version.verifier().unwrap().verify().is_err(), "an incomplete version does not pass");
    for index in manifest.indexes() {
        version.insert(index, chunk(&weights, index as usize)).unwrap();
    }
    assert!(version.is_complete());
    version.verifier().unwrap().verify().unwrap();
}

#[test]
fn restart_keeps_intact_chunks_and_drops_corrupt_ones() {
    let folder = TempFolder::new();
    let store = ChunkStore::open(&folder.0, 10_000).unwrap();
    let weights = weights(3);
    let manifest = Manifest::of("m", "v1", &weights, 64);
    let mut version = store.create(&manifest, &BTreeSet::new()).unwrap();
    for index in 0..8 {
        version.insert(index, chunk(&weights, index as usize)).unwrap();
    }
    let path = version.weights_path().to_owned();
    drop(version);
    let mut bytes = fs::read(&path).unwrap();
    bytes[3 * 64 + 9] ^= 1;
    fs::write(&path, bytes).unwrap();
    let version = store.find(manifest.digest()).unwrap().unwrap();
    assert_eq!(version.held(), &BTreeSet::from([0, 1, 2, 4, 5, 6, 7]));
}

#[test]
fn space_is_limited_and_old_versions_are_removed() {
    let folder = TempFolder::new();
    let store = ChunkStore::open(&folder.0, 2_500).unwrap();
    let manifests: Vec<_> = (1..=3)
        .map(|number| Manifest::of("m", &format!("v{number}"), &weights(number), 64))
        .collect();
    drop(store.create(&manifests[0], &BTreeSet::new()).unwrap());
    let serving = BTreeSet::from([manifests[0].digest()]);
    drop(store.create(&manifests[1], &serving).unwrap());
    assert!(store.find(manifests[0].digest()).unwrap().is_some());
    drop(store.create(&manifests[2], &serving).unwrap());
    assert!(store.find(manifests[1].digest()).unwrap().is_none(), "it was removed");
    let large = Manifest::of("m", "large", &vec![1; 2_000], 64);
    assert!(matches!(store.create(&large, &serving), Err(StoreError::Full { .. })));
}

#[test]
fn manifest_of_another_version_is_refused() {
    let manifest = Manifest::of("m", "v1", &weights(1), 64);
    let json = serde_json::to_vec(&manifest).unwrap();
    assert!(Manifest::parse(&json, manifest.digest()).is_ok());
    assert!(Manifest::parse(&json, VersionDigest::of(b"other")).is_err());
}

fn holders(count: usize, centres: usize) -> Vec<Holder> {
    (0..count)
        .map(|number| Holder {
            name: BackendName::new(&format!("runner-{number}")).expect("valid"),
            data_centre: DataCentre::new(&format!("dc-{}", number % centres)).expect("valid"),
            address: ([127, 0, 0, 1], 1).into(),
        })
        .collect()
}

#[test]
fn origin_and_each_data_centre_link_carry_one_copy_of_each_chunk() {
    let holders = holders(48, 3);
    let centre: BTreeMap<_, _> =
        holders.iter().map(|holder| (holder.name.clone(), holder.data_centre.clone())).collect();
    let mut uploads: BTreeMap<BackendName, usize> = BTreeMap::new();
    for number in 0..400_u32 {
        let (mut origin, mut crossing) = (0, 0);
        for holder in &holders {
            match &parents(number, &holder.name, &holders)[0] {
                Parent::Origin => origin += 1,
                Parent::Agent(name, _) => {
                    *uploads.entry(name.clone()).or_default() += 1;
                    crossing += usize::from(centre[name] != holder.data_centre);
                }
            }
        }
        assert_eq!(
            (origin, crossing),
            (1, 2),
            "one copy from the origin, one to each other centre"
        );
    }
    // No holder uploads many more than the 400 chunks that it downloads.
    let max = uploads.values().max().copied().unwrap_or(0);
    assert!(max < 520, "the busiest uploads {max} chunks for 400 downloaded");
}

#[test]
fn origin_sends_one_copy_when_the_seeder_of_a_tree_is_skipped() {
    let holders = holders(48, 3);
    for number in 0..16 {
        let all: Vec<_> = holders
            .iter()
            .map(|holder| (holder, parents(number, &holder.name, &holders)))
            .collect();
        let seeder = all.iter().find(|(_, parents)| parents[0] == Parent::Origin);
        let (seeder, _) = seeder.expect("the origin is asked");
        let is_seeder =
            |parent: &Parent| matches!(parent, Parent::Agent(name, _) if *name == seeder.name);
        // Holders that ask it, in its own data centre or in another, turn to their next source.
        let asking = all.iter().filter(|(_, parents)| is_seeder(&parents[0]));
        let next: Vec<_> =
            asking.map(|(_, parents)| parents.iter().find(|parent| !is_seeder(parent))).collect();
        assert!(next.len() >= 2, "it serves two data centres");
        assert_eq!(next.iter().filter(|next| **next == Some(&Parent::Origin)).count(), 1);
    }
}

#[test]
fn holder_connects_to_few_others_in_a_large_fleet() {
    /// Parents and children in sixteen trees, and the roots across data centres.
    const PEERS_MAX: usize = 16 + 32 + 16;
    let holders = holders(600, 3);
    let mut peers: BTreeMap<BackendName, BTreeSet<BackendName>> = BTreeMap::new();
    // Twice as many chunks as trees.
    for index in 0..32 {
        for holder in &holders {
            if let Parent::Agent(name, _) = &parents(index, &holder.name, &holders)[0] {
                peers.entry(name.clone()).or_default().insert(holder.name.clone());
                peers.entry(holder.name.clone()).or_default().insert(name.clone());
            }
        }
    }
    let max = peers.values().map(BTreeSet::len).max().unwrap_or(0);
    assert!(max <= PEERS_MAX, "a holder connects to {max} others");
}

proptest! {
    #[test]
    fn every_path_ends_at_the_origin_without_a_cycle(count in 1_usize..40, centres in 1_usize..4, number: u32) {
        let holders = holders(count, centres);
        for holder in &holders {
            let mut current = holder.name.clone();
            let mut steps = 0;
            while let Parent::Agent(name, _) = parents(number, &current, &holders)[0].clone() {
                prop_assert_ne!(&name, &current);
                current = name;
                steps += 1;
                prop_assert!(steps <= 8);
            }
            let sources = parents(number, &holder.name, &holders);
            prop_assert_eq!(sources.last(), Some(&Parent::Origin));
        }
    }

    #[test]
    fn arbitrary_manifests_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Manifest::parse(&bytes, VersionDigest::of(b""));
    }
}
