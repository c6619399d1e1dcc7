//! Opening a data folder after torn writes, damage and lost files.

use std::{fs, path::PathBuf};

use egret_consensus::{
    HardState, Index, LogEntry, Member, Membership, Payload, Persisted, Snapshot, Term,
};
use egret_record::MemberId;
use egret_store::{DataFolder, Journal, StoreError};
use proptest::prelude::*;

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("egret-store-{:016x}", random_u64()));
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn random_u64() -> u64 {
    use std::hash::{BuildHasher as _, RandomState};
    RandomState::new().hash_one(0)
}

fn initial() -> Persisted {
    let membership = Membership::from_voters([(MemberId(1), Member::new("a", "-"))]);
    Persisted { entries: Vec::new(), ..Persisted::bootstrap(membership) }
}

fn entry(index: u64, term: u64) -> LogEntry {
    let payload = Payload::Command(vec![7; 40].into());
    LogEntry { term: Term(term), index: Index(index), payload }
}

fn journal_of(folder: &Folder, count: u64) -> Vec<u64> {
    let mut journal = Journal::create(&folder.0, &initial()).expect("a journal can be made");
    let mut ends = vec![journal.log_bytes()];
    for index in 1..=count {
        let hard = HardState { term: Term(index), vote: None };
        journal.append(Some(hard), &[entry(index, index)]).expect("the journal can be written");
        ends.push(journal.log_bytes());
    }
    ends
}

#[test]
fn reopened_journal_holds_everything() {
    let folder = Folder::new();
    journal_of(&folder, 5);
    let (mut journal, persisted) = Journal::open(&folder.0).unwrap().unwrap();
    assert_eq!(persisted.entries.len(), 5);
    assert_eq!(persisted.hard_state.term, Term(5));

    journal.append(None, &[entry(3, 9)]).unwrap();
    drop(journal);
    let (_, persisted) = Journal::open(&folder.0).unwrap().unwrap();
    assert_eq!(persisted.entries.last(), Some(&entry(3, 9)));
    assert_eq!(persisted.entries.len(), 3);
}

#[test]
fn compacted_journal_starts_after_the_snapshot() {
    let folder = Folder::new();
    journal_of(&folder, 5);
    let (mut journal, persisted) = Journal::open(&folder.0).unwrap().unwrap();
    let snapshot = Snapshot { index: Index(4), term: Term(4), ..persisted.snapshot };
    journal.compact(&snapshot, persisted.hard_state, &persisted.entries[4..]).unwrap();
    journal.append(None, &[entry(6, 6)]).unwrap();
    drop(journal);
    let (_, persisted) = Journal::open(&folder.0).unwrap().unwrap();
    let indexes: Vec<_> = persisted.entries.iter().map(|entry| entry.index.0).collect();
    assert_eq!((persisted.snapshot.index, indexes), (Index(4), vec![5, 6]));
}

#[test]
fn folder_is_locked_by_one_process_and_keeps_its_identity() {
    let folder = Folder::new();
    let open = DataFolder::open(&folder.0).unwrap();
    assert!(matches!(DataFolder::open(&folder.0), Err(StoreError::Locked { .. })));
    let identity = open.identity();
    drop(open);
    assert_eq!(DataFolder::open(&folder.0).unwrap().identity(), identity);
}

#[test]
fn lost_folder_gets_a_new_identity() {
    let folder = Folder::new();
    let identity = DataFolder::open(&folder.0).unwrap().identity();
    fs::remove_dir_all(&folder.0).unwrap();
    fs::create_dir_all(&folder.0).unwrap();
    assert_ne!(DataFolder::open(&folder.0).unwrap().identity(), identity);
}

#[test]
fn log_without_identity_is_rejected() {
    let folder = Folder::new();
    drop(DataFolder::open(&folder.0).unwrap());
    journal_of(&folder, 2);
    fs::remove_file(folder.0.join("identity")).unwrap();
    assert!(matches!(DataFolder::open(&folder.0), Err(StoreError::NoIdentity { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn torn_tail_is_truncated_to_the_last_complete_append(cut in 0_u64..200) {
        let folder = Folder::new();
        let ends = journal_of(&folder, 5);
        let path = folder.0.join("log");
        let length = ends[5].saturating_sub(cut).max(ends[0]);
        fs::File::options().write(true).open(&path).unwrap().set_len(length).unwrap();
        let (_, persisted) = Journal::open(&folder.0).unwrap().unwrap();
        let complete = ends.iter().filter(|end| **end <= length).count() - 1;
        prop_assert_eq!(persisted.entries.len(), complete);
    }

    #[test]
    fn damaged_middle_is_rejected(position in 0_usize..1_000, bit in 0_u8..8) {
        let folder = Folder::new();
        let ends = journal_of(&folder, 5);
        let path = folder.0.join("log");
        let mut bytes = fs::read(&path).unwrap();
        let before_last = usize::try_from(ends[4]).unwrap();
        bytes[position % before_last] ^= 1 << bit;
        fs::write(&path, bytes).unwrap();
        let rejected = matches!(Journal::open(&folder.0), Err(StoreError::Damaged { .. }));
        prop_assert!(rejected);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let folder = Folder::new();
        journal_of(&folder, 1);
        fs::write(folder.0.join("log"), bytes).unwrap();
        let _ = Journal::open(&folder.0);
    }
}
