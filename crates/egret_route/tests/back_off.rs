//! Back-offs of backend servers that are leaving or full.

use std::time::Duration;

use egret_route::{BackOff, BackOffs};

const NOW: Duration = Duration::from_secs(100);

#[test]
fn back_off_belongs_to_one_incarnation() {
    let mut back_offs = BackOffs::default();
    let mut leaving = BackOff::default();
    leaving.set_leaving();
    back_offs.insert("i-1", 7, leaving, NOW);
    assert!(back_offs.get("i-1", 7).is_leaving());
    assert!(!back_offs.get("i-1", 8).is_leaving(), "a later incarnation asked for nothing");
    assert!(!back_offs.get("i-2", 7).is_leaving());
}

#[test]
fn shorter_pauses_do_not_end_longer_ones() {
    let mut back_off = BackOff::default();
    assert!(!back_off.pause(Duration::from_secs(5), NOW));
    assert!(!back_off.pause(Duration::from_millis(100), NOW + Duration::from_secs(1)));
    assert!(!back_off.is_available(NOW + Duration::from_millis(4_900)));
    assert!(back_off.is_available(NOW + Duration::from_secs(5)));
}

#[test]
fn excessive_pauses_are_capped() {
    let mut back_off = BackOff::default();
    assert!(back_off.pause(Duration::MAX, NOW));
    assert!(!back_off.is_available(NOW + Duration::from_secs(59)));
    assert!(back_off.is_available(NOW + Duration::from_secs(60)));
}

#[test]
fn back_offs_are_limited_and_the_oldest_is_dropped_first() {
    let mut back_offs = BackOffs::default();
    let mut leaving = BackOff::default();
    leaving.set_leaving();
    for number in 0..5_000_u32 {
        back_offs.insert(
            &format!("i-{number}"),
            1,
            leaving,
            NOW + Duration::from_millis(number.into()),
        );
    }
    assert!(back_offs.get("i-4999", 1).is_leaving());
    assert!(back_offs.get("i-1000", 1).is_leaving());
    assert!(!back_offs.get("i-0", 1).is_leaving(), "the oldest back-off was dropped");
}
