//! Late and reordered status updates, and reused ids and addresses.

use std::time::Duration;

use egret_fleet::{
    BackendLimit, BackendStatus, Feed, FeedCursor, Fleet, Interest, StatusKey, StatusStamp,
    StatusUpdate, UpdateKind,
};
use egret_record::{DataCentre, RateLimit};

const NOW: Duration = Duration::from_secs(100);

fn backend(id: &str, port: u16, incarnation: u64, seq: u64) -> BackendStatus {
    BackendStatus {
        id: id.to_owned(),
        service: "draft".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: DataCentre::new("xela").expect("a name"),
        slots: 16,
        draining: false,
        cold_ms: 0,
        models: Vec::new(),
        stamp: StatusStamp { incarnation, seq },
    }
}

fn gone(id: &str, incarnation: u64, seq: u64) -> StatusUpdate {
    StatusUpdate::Gone(StatusKey::Backend(id.to_owned()), StatusStamp { incarnation, seq })
}

#[test]
fn late_report_does_not_undo_draining() {
    let mut fleet = Fleet::default();
    let draining = BackendStatus { draining: true, ..backend("a", 1, 5, 9) };
    assert_eq!(fleet.observe(&StatusUpdate::Backend(draining), NOW), UpdateKind::Change);
    assert_eq!(
        fleet.observe(&StatusUpdate::Backend(backend("a", 1, 5, 8)), NOW),
        UpdateKind::Stale
    );
    assert!(fleet.backends().all(|(backend, _)| backend.draining));
}

#[test]
fn departure_ends_only_its_own_incarnation() {
    let mut fleet = Fleet::default();
    fleet.observe(&StatusUpdate::Backend(backend("a", 1, 5, 3)), NOW);
    assert_eq!(fleet.observe(&gone("a", 5, u64::MAX), NOW), UpdateKind::Change);
    assert_eq!(
        fleet.observe(&StatusUpdate::Backend(backend("a", 1, 5, 4)), NOW),
        UpdateKind::Stale
    );
    assert_eq!(fleet.backends().count(), 0);
    // A new incarnation with the same id restarts its sequence.
    assert_eq!(
        fleet.observe(&StatusUpdate::Backend(backend("a", 1, 6, 1)), NOW),
        UpdateKind::Change
    );
    assert_eq!(fleet.backends().count(), 1);
}

#[test]
fn address_belongs_to_the_latest_incarnation() {
    let mut fleet = Fleet::default();
    fleet.observe(&StatusUpdate::Backend(backend("old", 1, 5, 3)), NOW);
    assert_eq!(
        fleet.observe(&StatusUpdate::Backend(backend("new", 1, 9, 1)), NOW),
        UpdateKind::Change
    );
    let ids: Vec<_> = fleet.backends().map(|(backend, _)| backend.id.clone()).collect();
    assert_eq!(ids, ["new"]);
    // A delayed report of the old incarnation arrives.
    assert_eq!(
        fleet.observe(&StatusUpdate::Backend(backend("old", 1, 5, 4)), NOW),
        UpdateKind::Stale
    );
}

#[test]
fn expired_backend_returns_with_its_next_report() {
    let mut fleet = Fleet::default();
    let limit = Duration::from_secs(5);
    fleet.observe(&StatusUpdate::Backend(backend("a", 1, 5, 3)), NOW);
    assert!(fleet.expire(limit, limit, NOW + limit).is_empty());
    assert_eq!(fleet.expire(limit, limit, NOW + limit * 2).len(), 1);
    assert_eq!(fleet.backends().count(), 0);
    assert_eq!(
        fleet.observe(&StatusUpdate::Backend(backend("a", 1, 5, 4)), NOW),
        UpdateKind::Change
    );
}

#[test]
fn follower_receives_the_updates_it_has_not_read() {
    let (mut fleet, mut feed) = (Fleet::default(), Feed::default());
    for seq in 1..=3 {
        let update = StatusUpdate::Backend(backend("a", 1, 5, seq));
        let urgent = fleet.observe(&update, NOW) == UpdateKind::Change;
        feed.push(update, urgent);
    }
    let full = feed.delta_since(FeedCursor::default(), &fleet, Interest::All);
    assert_eq!(full.updates.len(), 1, "a new follower receives the latest status of each");
    let later = FeedCursor { position: full.cursor.position - 1, ..full.cursor };
    assert_eq!(feed.delta_since(later, &fleet, Interest::All).updates.len(), 1);
    assert!(!feed.is_urgent_after(later, Interest::All), "a refresh can wait");
    assert!(feed.is_urgent_after(FeedCursor::default(), Interest::All));
}

/// When all engines restart, agents must not be woken by updates that do not concern them.
#[test]
fn agents_receive_updates_about_agents_only() {
    let (mut fleet, mut feed) = (Fleet::default(), Feed::default());
    let gone = |key| StatusUpdate::Gone(key, StatusStamp { incarnation: 1, seq: 1 });
    let start = feed.cursor();
    for update in (0..184).map(|index| gone(StatusKey::Backend(format!("i-{index}")))) {
        fleet.observe(&update, Duration::ZERO);
        feed.push(update, true);
    }
    assert!(feed.is_urgent_after(start, Interest::All));
    assert!(!feed.is_urgent_after(start, Interest::Agents));
    feed.push(gone(StatusKey::Process("side-1".to_owned())), true);
    assert!(feed.is_urgent_after(start, Interest::Agents));
    assert_eq!(feed.delta_since(start, &fleet, Interest::Agents).updates.len(), 1);
    assert_eq!(feed.delta_since(start, &fleet, Interest::All).updates.len(), 185);
}

fn limit(incarnation: u64, seq: u64, per_second: Option<f64>) -> StatusUpdate {
    StatusUpdate::Limit(BackendLimit {
        backend: "a".to_owned(),
        limit: per_second.and_then(RateLimit::new),
        stamp: StatusStamp { incarnation, seq },
    })
}

// Guards against a limit that comes back after it ended, by a late announcement.
#[test]
fn latest_limit_wins_and_ends_with_its_backend() {
    let mut fleet = Fleet::default();
    let rate = |fleet: &Fleet| fleet.limits().map(|known| known.limit).collect::<Vec<_>>();
    fleet.observe(&StatusUpdate::Backend(backend("a", 1, 5, 1)), NOW);
    assert_eq!(fleet.observe(&limit(5, 2, None), NOW), UpdateKind::Change);
    assert_eq!(fleet.observe(&limit(5, 1, Some(2.0)), NOW), UpdateKind::Stale);
    assert_eq!(rate(&fleet), [None], "it has ended");
    assert_eq!(fleet.observe(&limit(6, 1, Some(3.0)), NOW), UpdateKind::Change);
    assert_eq!(rate(&fleet), [RateLimit::new(3.0)], "a later incarnation has its own");
    fleet.observe(&gone("a", 6, u64::MAX), NOW);
    assert_eq!(rate(&fleet), []);
    fleet.observe(&limit(6, 2, Some(3.0)), NOW);
    fleet.expire(Duration::from_secs(15), Duration::from_secs(4), NOW);
    assert_eq!(rate(&fleet), [], "a late announcement about a backend server that is gone");
}

// Guards against a departure that is forgotten since the backend server had expired before.
#[test]
fn departure_after_expiry_ends_the_incarnation() {
    let mut fleet = Fleet::default();
    let limit = Duration::from_secs(5);
    fleet.observe(&StatusUpdate::Backend(backend("a", 1, 5, 3)), NOW);
    assert_eq!(fleet.expire(limit, limit, NOW + limit * 2).len(), 1);
    assert_eq!(fleet.observe(&gone("a", 5, u64::MAX), NOW + limit * 2), UpdateKind::Change);
    let late = StatusUpdate::Backend(backend("a", 1, 5, 4));
    assert_eq!(fleet.observe(&late, NOW + limit * 2), UpdateKind::Stale);
    assert_eq!(fleet.backends().count(), 0);
    // An expiry that another instance saw before does not undo the departure.
    assert_eq!(fleet.observe(&gone("a", 5, 3), NOW + limit * 2), UpdateKind::Stale);
    assert_eq!(fleet.observe(&late, NOW + limit * 2), UpdateKind::Stale);
}

// Guards against a departure that is forgotten since an earlier incarnation had departed.
#[test]
fn departure_ends_an_incarnation_that_was_never_seen() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.observe(&gone("a", 5, u64::MAX), NOW), UpdateKind::Change);
    assert_eq!(fleet.observe(&gone("a", 6, u64::MAX), NOW), UpdateKind::Change);
    let late = StatusUpdate::Backend(backend("a", 1, 6, 4));
    assert_eq!(fleet.observe(&late, NOW), UpdateKind::Stale);
    assert_eq!(fleet.backends().count(), 0);
}

// Guards against the claim of an address that replaces what is known of its former owner.
#[test]
fn claim_of_an_address_undoes_nothing_of_its_former_owner() {
    let mut fleet = Fleet::default();
    fleet.observe(&StatusUpdate::Backend(backend("a", 1, 5, 3)), NOW);
    fleet.observe(&gone("a", 5, u64::MAX), NOW);
    fleet.observe(&StatusUpdate::Backend(backend("b", 1, 6, 1)), NOW);
    let late = StatusUpdate::Backend(backend("a", 2, 5, 4));
    assert_eq!(fleet.observe(&late, NOW), UpdateKind::Stale, "its departure holds");
    // A later incarnation of the former owner that runs elsewhere stays.
    fleet.observe(&StatusUpdate::Backend(backend("c", 3, 5, 3)), NOW);
    fleet.observe(&StatusUpdate::Backend(backend("c", 4, 7, 1)), NOW);
    fleet.observe(&StatusUpdate::Backend(backend("d", 3, 8, 1)), NOW);
    let mut ids: Vec<_> = fleet.backends().map(|(backend, _)| backend.id.clone()).collect();
    ids.sort();
    assert_eq!(ids, ["b", "c", "d"]);
}
