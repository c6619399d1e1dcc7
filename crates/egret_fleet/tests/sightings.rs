//! Late, reordered and reused announcements.

use std::time::Duration;

use egret_fleet::{
    BackendStatus, Feed, FeedCursor, Fleet, Interest, Life, News, Sighting, SightingKey,
};
use egret_record::DataCentre;

const NOW: Duration = Duration::from_secs(100);

fn backend(id: &str, port: u16, born: u64, seq: u64) -> BackendStatus {
    BackendStatus {
        id: id.to_owned(),
        service: "draft".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: DataCentre::new("xela").expect("a name"),
        slots: 16,
        draining: false,
        cold_ms: 0,
        models: Vec::new(),
        life: Life { born, seq },
    }
}

fn gone(id: &str, born: u64, seq: u64) -> Sighting {
    Sighting::Gone(SightingKey::Backend(id.to_owned()), Life { born, seq })
}

#[test]
fn late_word_does_not_undo_draining() {
    let mut fleet = Fleet::default();
    let draining = BackendStatus { draining: true, ..backend("a", 1, 5, 9) };
    assert_eq!(fleet.observe(&Sighting::Backend(draining), NOW), News::Change);
    assert_eq!(fleet.observe(&Sighting::Backend(backend("a", 1, 5, 8)), NOW), News::Stale);
    assert!(fleet.backends().all(|(one, _)| one.draining));
}

#[test]
fn departure_holds_against_the_same_lifetime_only() {
    let mut fleet = Fleet::default();
    fleet.observe(&Sighting::Backend(backend("a", 1, 5, 3)), NOW);
    assert_eq!(fleet.observe(&gone("a", 5, u64::MAX), NOW), News::Change);
    assert_eq!(fleet.observe(&Sighting::Backend(backend("a", 1, 5, 4)), NOW), News::Stale);
    assert_eq!(fleet.backends().count(), 0);
    // The same id starts again, and counts from one.
    assert_eq!(fleet.observe(&Sighting::Backend(backend("a", 1, 6, 1)), NOW), News::Change);
    assert_eq!(fleet.backends().count(), 1);
}

#[test]
fn address_belongs_to_the_latest_lifetime() {
    let mut fleet = Fleet::default();
    fleet.observe(&Sighting::Backend(backend("old", 1, 5, 3)), NOW);
    assert_eq!(fleet.observe(&Sighting::Backend(backend("new", 1, 9, 1)), NOW), News::Change);
    let ids: Vec<_> = fleet.backends().map(|(one, _)| one.id.clone()).collect();
    assert_eq!(ids, ["new"]);
    // A word of the old lifetime that was held up arrives after all.
    assert_eq!(fleet.observe(&Sighting::Backend(backend("old", 1, 5, 4)), NOW), News::Stale);
}

#[test]
fn silence_ends_and_a_later_word_brings_back() {
    let mut fleet = Fleet::default();
    let limit = Duration::from_secs(5);
    fleet.observe(&Sighting::Backend(backend("a", 1, 5, 3)), NOW);
    assert!(fleet.expire(limit, limit, NOW + limit).is_empty());
    assert_eq!(fleet.expire(limit, limit, NOW + limit * 2).len(), 1);
    assert_eq!(fleet.backends().count(), 0);
    assert_eq!(fleet.observe(&Sighting::Backend(backend("a", 1, 5, 4)), NOW), News::Change);
}

#[test]
fn follower_receives_what_it_lacks() {
    let (mut fleet, mut feed) = (Fleet::default(), Feed::default());
    for seq in 1..=3 {
        let sighting = Sighting::Backend(backend("a", 1, 5, seq));
        let urgent = fleet.observe(&sighting, NOW) == News::Change;
        feed.push(sighting, urgent);
    }
    let whole = feed.since(FeedCursor::default(), &fleet, Interest::All);
    assert_eq!(whole.sightings.len(), 1, "a stranger receives the latest word of each");
    let later = FeedCursor { at: whole.cursor.at - 1, ..whole.cursor };
    assert_eq!(feed.since(later, &fleet, Interest::All).sightings.len(), 1);
    assert!(!feed.is_urgent_after(later, Interest::All), "a refresh can wait");
    assert!(feed.is_urgent_after(FeedCursor::default(), Interest::All));
}

/// Load: all engines start again; agents need only each other, and wake for nothing else.
#[test]
fn agents_learn_of_agents_alone() {
    let (mut fleet, mut feed) = (Fleet::default(), Feed::default());
    let gone = |key| Sighting::Gone(key, Life { born: 1, seq: 1 });
    let start = feed.cursor();
    for sighting in (0..184).map(|at| gone(SightingKey::Backend(format!("i-{at}")))) {
        fleet.observe(&sighting, Duration::ZERO);
        feed.push(sighting, true);
    }
    assert!(feed.is_urgent_after(start, Interest::All));
    assert!(!feed.is_urgent_after(start, Interest::Agents));
    feed.push(gone(SightingKey::Process("side-1".to_owned())), true);
    assert!(feed.is_urgent_after(start, Interest::Agents));
    assert_eq!(feed.since(start, &fleet, Interest::Agents).sightings.len(), 1);
    assert_eq!(feed.since(start, &fleet, Interest::All).sightings.len(), 185);
}
