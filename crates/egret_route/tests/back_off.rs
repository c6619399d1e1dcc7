//! Backend servers that leave or are full, by their own word.

use std::time::Duration;

use egret_route::{BackOff, BackOffs};

const NOW: Duration = Duration::from_secs(100);

#[test]
fn word_belongs_to_one_lifetime() {
    let mut holds = BackOffs::default();
    let mut leaving = BackOff::default();
    leaving.leave();
    holds.note("i-1", 7, leaving, NOW);
    assert!(holds.find("i-1", 7).is_leaving());
    assert!(!holds.find("i-1", 8).is_leaving(), "a later lifetime said nothing");
    assert!(!holds.find("i-2", 7).is_leaving());
}

#[test]
fn shorter_wishes_do_not_end_longer_ones() {
    let mut hold = BackOff::default();
    assert!(!hold.stay_away(Duration::from_secs(5), NOW));
    assert!(!hold.stay_away(Duration::from_millis(100), NOW + Duration::from_secs(1)));
    assert!(!hold.is_open(NOW + Duration::from_millis(4_900)));
    assert!(hold.is_open(NOW + Duration::from_secs(5)));
}

#[test]
fn absurd_wishes_are_bounded() {
    let mut hold = BackOff::default();
    assert!(hold.stay_away(Duration::MAX, NOW));
    assert!(!hold.is_open(NOW + Duration::from_secs(59)));
    assert!(hold.is_open(NOW + Duration::from_secs(60)));
}

#[test]
fn words_are_bounded_and_the_oldest_goes_first() {
    let mut holds = BackOffs::default();
    let mut leaving = BackOff::default();
    leaving.leave();
    for number in 0..5_000_u32 {
        holds.note(&format!("i-{number}"), 1, leaving, NOW + Duration::from_millis(number.into()));
    }
    assert!(holds.find("i-4999", 1).is_leaving());
    assert!(holds.find("i-1000", 1).is_leaving());
    assert!(!holds.find("i-0", 1).is_leaving(), "the oldest word was dropped");
}
